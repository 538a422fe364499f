// Package bvstandin holds small stand-ins of what lies around the daemons:
// the platform, a model engine and a plain service. Each is an http.Handler,
// so a test runs it in its own process, or embedded, or on a test server.
//
// The stand-ins carry only what a decision or a test uses. Their faults are
// set by a method, or by POST /faults with the same fields as JSON.
//
// # Usage
//
//	platform := &bvstandin.Platform{}
//	server := httptest.NewServer(platform)
//	platform.SetFaults(bvstandin.PlatformFaults{LoseAnswers: 3})
//	client := &bvplatform.Client{Address: server.Listener.Addr().String()}
package bvstandin
