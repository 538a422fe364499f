// Package bvloopback gives tests a loopback address that no other test process listens at.
//
// Tests of several packages run at once. A client of one test calls the ports of a server that has
// ended, and on a shared address the kernel may have given such a port to another test's server. It then
// receives a request that is not its test's, or answers in place of a server that is down.
//
// # Usage
//
//	server := bvloopback.NewServer(handler)
//	defer server.Close()
//	listener, err := net.Listen("tcp", bvloopback.Address())
package bvloopback

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
)

const (
	firstNetwork = 64 // second byte of the address; small ones are left to tests that use them directly
	networks     = 128
	hostByte     = 251
)

// Address returns an address of this process with the port 0, which stands for any free one.
func Address() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:0", firstNetwork+pid/256%networks, pid%256, hostByte)
}

// NewServer starts a server at Address. Like httptest.NewServer, it panics if it can't listen.
func NewServer(handler http.Handler) *httptest.Server {
	listener, err := net.Listen("tcp", Address())
	if err != nil {
		panic(fmt.Sprintf("loopback: can't listen: %v", err))
	}
	server := &httptest.Server{Listener: listener, Config: &http.Server{Handler: handler}}
	server.Start()
	return server
}
