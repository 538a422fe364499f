package bvfront

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvroute"
)

// idleState is a desired state with an idle timeout and no routes.
type idleState struct{ table *bvroute.Table }

func (state idleState) Current() *bvroute.Table { return state.table }

func (state idleState) View() View { return View{Table: state.table} }

// readingListener calls read for each read of its connections that has returned bytes, before the
// server gets them.
type readingListener struct {
	net.Listener
	read func()
}

func (listener readingListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	return &readingConn{conn, listener.read}, err
}

type readingConn struct {
	net.Conn
	read func()
}

func (conn *readingConn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	if count > 0 {
		conn.read()
	}
	return count, err
}

// newReading returns a server that calls read while it reads a request, and its address.
func newReading(t *testing.T, clock bvclock.Clock, read func(server *Server)) (*Server, string) {
	t.Helper()
	server, _, _ := newServing(t, clock)
	table, err := bvroute.NewTable(bvroute.Rows{Version: 1, Limits: bvroute.Limits{IdleTimeout: bvclock.Second}})
	require.NoError(t, err)
	server.front.parts.State = idleState{table}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(readingListener{listener, func() { read(server) }}) }()
	t.Cleanup(func() { _ = listener.Close() })
	return server, listener.Addr().String()
}

// exchange sends a request over a connection and returns the status of the answer.
func exchange(t *testing.T, conn net.Conn) (int, error) {
	t.Helper()
	require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err := fmt.Fprint(conn, "GET /none HTTP/1.1\r\nHost: h.example\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// Guards against a kept connection that is closed as idle while its next request is read.
func TestConnectionIsNotIdleWhileItsRequestIsRead(t *testing.T) {
	clock := &bvclock.Manual{}
	_, address := newReading(t, clock, func(server *Server) {
		clock.Advance(2 * bvclock.Second)
		server.CloseIdle()
	})
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	for range 3 {
		status, err := exchange(t, conn)
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, status)
	}
}

// Guards against a new connection that a stop closes as unused while its first request is read.
func TestConnectionIsNotUnusedWhileItsRequestIsRead(t *testing.T) {
	clock := &bvclock.Manual{}
	_, address := newReading(t, clock, func(server *Server) {
		clock.Advance(2 * bvclock.Second)
		server.closeUnused()
	})
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	status, err := exchange(t, conn)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
}

// Guards against a request that a stop drops after it was read.
func TestRequestThatIsReadAsTheStopBeginsIsAnswered(t *testing.T) {
	stopped := make(chan error, 2)
	_, address := newReading(t, bvclock.Boot(), func(server *Server) {
		go func() { stopped <- server.Shutdown(t.Context()) }()
		time.Sleep(50 * time.Millisecond)
	})
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	status, err := exchange(t, conn)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.NoError(t, <-stopped)
}

// Guards against a stop that waits for a connection whose caller sends nothing more.
func TestKeptConnectionDoesNotDelayTheStop(t *testing.T) {
	server, address := newReading(t, bvclock.Boot(), func(*Server) {})
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = exchange(t, conn)
	require.NoError(t, err)
	started := time.Now()
	require.NoError(t, server.Shutdown(t.Context()))
	require.Less(t, time.Since(started), 5*time.Second)
}

// Guards against a request that was read with the one before it, on a connection that is closed in between.
func TestRequestThatWasReadEarlierKeepsItsConnection(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	conn := &callerConn{Conn: near, onClose: func(*callerConn) {}}
	conn.awaitRequest()
	conn.closeUnread("stop")
	conn.beginRequest()
	go func() { _, _ = far.Write([]byte("x")) }()
	count, err := conn.Read(make([]byte, 1))
	require.NoError(t, err)
	require.Equal(t, 1, count)
	require.NoError(t, conn.Close())
}
