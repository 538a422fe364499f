// Package bvprocess contains the tests that run daemons and stand-ins as separate processes,
// and kill, freeze and replace them.
//
// # Usage
//
//	go test ./bvprocess
//
// The test binary runs itself as the balsamvalve command, so that the tests always run the
// code that they were built from.
package bvprocess
