// Package bvprocess holds the tests that run daemons and stand-ins as
// processes of their own, and kill, freeze and replace them.
//
// # Usage
//
//	go test ./bvprocess
//
// The test binary starts itself again as the balsamvalve command, so that the
// tests run what they were built from.
package bvprocess
