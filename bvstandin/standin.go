// Package bvstandin provides small stand-ins of the systems around the daemons: the
// platform, a model engine and a plain service. Each is an http.Handler, so a test can
// run it as a separate process, embedded, or on a test server.
//
// The stand-ins implement only what a decision or a test uses. Faults are set with
// SetFaults, or with POST /faults and the same fields as JSON.
//
// # Usage
//
//	platform := &bvstandin.Platform{}
//	server := httptest.NewServer(platform)
//	platform.SetFaults(bvstandin.PlatformFaults{LoseAnswers: 3})
//	client := &bvplatform.Client{Address: server.Listener.Addr().String()}
package bvstandin
