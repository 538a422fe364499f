package bvfront

import (
	"context"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvroute"
)

// Server accepts callers' connections for a Front. The limits on what a caller may send
// change with the desired state: new connections get the new limits, and idle connections
// are closed after the newest idle timeout. Make one with NewServer.
type Server struct {
	front *Front
	clock bvclock.Clock
	log   *log.Logger

	mutex   sync.Mutex
	limits  bvroute.Limits
	servers []*limitedServer // the last one serves new connections
	open    map[*callerConn]bool
	idle    map[*callerConn]bvclock.Time // await their next request; since when
	unused  map[*callerConn]bvclock.Time // await their first request; since when they are open
	stopped bool

	shortSince atomic.Int64 // when connections could first not be accepted; 0: they can
}

// limitedServer is an http.Server with one version of the limits.
type limitedServer struct {
	server   *http.Server
	listener *connListener
	done     chan struct{}
}

// NewServer returns a Server. net/http's own log lines are written to log.
func NewServer(front *Front, log *log.Logger) *Server {
	return &Server{
		front: front, clock: front.parts.Clock, log: log,
		open: make(map[*callerConn]bool), idle: make(map[*callerConn]bvclock.Time), unused: make(map[*callerConn]bvclock.Time),
	}
}

// Serve accepts connections until the listener is closed. While the process or its machine
// lacks what a connection requires, it tries again: callers on open connections are served
// meanwhile. After another error, nothing more can be accepted.
func (server *Server) Serve(listener net.Listener) error {
	pause := bvclock.Duration(0)
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			pause = 0
			server.shortSince.Store(0)
			server.deliver(conn)
		case errors.Is(err, net.ErrClosed):
			return nil
		case !isShortage(err):
			return fmt.Errorf("front: accepting: %w", err)
		default:
			pause = min(max(2*pause, minAcceptPause), maxAcceptPause)
			server.recordShortage(err, pause)
			bvclock.Sleep(pause)
		}
	}
}

const (
	// minAcceptPause and maxAcceptPause bound the pause after a connection could not be
	// accepted, which doubles each time.
	minAcceptPause = 5 * bvclock.Millisecond
	maxAcceptPause = 500 * bvclock.Millisecond
	// shortageBound is how long connections may not be accepted until the host counts as
	// unable to serve new callers.
	shortageBound = bvclock.Second
)

// shortages are the errors of accept(2) that end without a change of the listener: of a lack
// of descriptors or memory, of connections that were closed before they were accepted, and
// of the network.
var shortages = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EINTR,
	syscall.EPERM, syscall.EPROTO, syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTDOWN, syscall.EHOSTUNREACH, syscall.ETIMEDOUT,
}

func isShortage(err error) bool {
	var number syscall.Errno
	return errors.As(err, &number) && slices.Contains(shortages, number)
}

// recordShortage records and logs that a connection can't be accepted.
func (server *Server) recordShortage(err error, pause bvclock.Duration) {
	server.shortSince.CompareAndSwap(0, int64(server.clock.Now()))
	server.front.parts.Counters.Add("accept_failures", 1)
	if pause == minAcceptPause || pause == maxAcceptPause {
		server.front.parts.Log.WithError(err).WithField("pause_ms", int64(pause)).Warn("no connection can be accepted now")
	}
}

// Accepts reports whether callers' new connections are accepted.
func (server *Server) Accepts() bool {
	since := bvclock.Time(server.shortSince.Load())
	return since == 0 || server.clock.Now().Sub(since) <= shortageBound
}

// deliver passes a connection on to the server with the newest limits.
func (server *Server) deliver(conn net.Conn) {
	current := server.currentServer()
	if current == nil {
		_ = conn.Close() // no byte was read from it
		return
	}
	accepted := &callerConn{Conn: conn, onClose: server.removeConn}
	server.mutex.Lock()
	server.open[accepted] = true
	server.mutex.Unlock()
	current.listener.deliver(accepted)
}

// removeConn removes a connection that is being closed.
func (server *Server) removeConn(conn *callerConn) {
	reason := conn.closingReason()
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if reason != "" && server.open[conn] {
		server.front.parts.Counters.Count("caller_connections_closed", reason)
	}
	delete(server.open, conn)
	delete(server.idle, conn)
	delete(server.unused, conn)
}

// currentServer returns the server with the newest limits, or nil after Shutdown.
func (server *Server) currentServer() *limitedServer {
	var limits bvroute.Limits
	if table := server.front.parts.State.Current(); table != nil {
		limits = table.Limits()
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.stopped {
		return nil
	}
	if len(server.servers) == 0 || !server.hasSameHeaderLimits(limits) {
		server.servers = append(server.servers, server.startServer(limits))
	}
	server.limits = limits
	return server.servers[len(server.servers)-1]
}

func (server *Server) hasSameHeaderLimits(limits bvroute.Limits) bool {
	return limits.HeaderBytes == server.limits.HeaderBytes && limits.HeaderTimeout == server.limits.HeaderTimeout
}

// defaultHeaderTimeout applies before the first desired state. Without a timeout, callers
// that send nothing would hold connections indefinitely.
const defaultHeaderTimeout = 10 * bvclock.Second

func (server *Server) startServer(limits bvroute.Limits) *limitedServer {
	timeout := limits.HeaderTimeout
	if timeout <= 0 {
		timeout = defaultHeaderTimeout
	}
	started := &limitedServer{
		server: &http.Server{
			Handler:           server.front,
			ReadHeaderTimeout: timeout.Std(),
			MaxHeaderBytes:    limits.HeaderBytes,
			ConnState:         server.trackState,
			ConnContext:       withConn,
			ErrorLog:          server.log,
		},
		listener: newConnListener(),
		done:     make(chan struct{}),
	}
	go func() {
		defer close(started.done)
		_ = started.server.Serve(started.listener) // returns when the listener is closed; the listener has no other error
	}()
	return started
}

// trackState records which connections await a request.
func (server *Server) trackState(tracked net.Conn, state http.ConnState) {
	conn, ok := tracked.(*callerConn)
	if !ok {
		return
	}
	if state == http.StateIdle {
		_ = conn.SetWriteDeadline(time.Time{}) // clears the call's deadline; an error only means that the connection is closed
		conn.awaitRequest()
	}
	if state == http.StateActive {
		conn.beginRequest() // it may have been read together with the request before it
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	delete(server.idle, conn)
	delete(server.unused, conn)
	switch {
	case !server.open[conn]:
	case state == http.StateIdle:
		server.idle[conn] = server.clock.Now()
	case state == http.StateNew:
		server.unused[conn] = server.clock.Now()
	}
}

// CloseIdle closes connections that have been idle for longer than the newest
// limits allow. It is called about once a second.
func (server *Server) CloseIdle() {
	table := server.front.parts.State.Current()
	if table == nil || table.Limits().IdleTimeout <= 0 {
		return
	}
	server.closeOlder("idle", server.idle, table.Limits().IdleTimeout)
}

// closeOlder closes connections that have awaited a request for longer than a time.
func (server *Server) closeOlder(reason string, waiting map[*callerConn]bvclock.Time, limit bvclock.Duration) {
	now := server.clock.Now()
	var due []*callerConn
	server.mutex.Lock()
	for conn, since := range waiting {
		if now.Sub(since) > limit {
			due = append(due, conn)
		}
	}
	server.mutex.Unlock()
	for _, conn := range due {
		conn.closeUnread(reason)
	}
}

// Shutdown closes connections that await a request, and waits until all others have been closed after
// their answer: a request of which a byte was read is served. When ctx ends, it closes the remaining ones.
//
// http.Server.Shutdown is not used, as it drops requests that it has read.
func (server *Server) Shutdown(ctx context.Context) error {
	server.mutex.Lock()
	server.stopped = true
	servers := server.servers
	server.mutex.Unlock()
	for _, limited := range servers {
		_ = limited.listener.Close() // does not fail
	}
	for {
		server.closeOlder("stop", server.idle, -1)
		server.closeUnused()
		if server.OpenConnections() == 0 {
			return nil
		}
		select {
		case <-bvclock.After(unusedInterval):
		case <-ctx.Done():
			return server.closeAll(servers, ctx.Err())
		}
	}
}

// closeAll closes all connections.
func (server *Server) closeAll(servers []*limitedServer, cause error) error {
	open := server.OpenConnections()
	for _, limited := range servers {
		_ = limited.server.Close() // the listener is closed already
	}
	return fmt.Errorf("front: %d connections were open: %w", open, cause)
}

// OpenConnections returns the number of callers' connections.
func (server *Server) OpenConnections() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return len(server.open)
}

const (
	// maxUnusedTime is how long a connection may be unused while the server stops.
	maxUnusedTime = 250 * bvclock.Millisecond
	// unusedInterval is the time between two checks for unused connections.
	unusedInterval = 50 * bvclock.Millisecond
)

// closeUnused closes connections that have been open for some time without a request.
func (server *Server) closeUnused() {
	server.closeOlder("unused", server.unused, maxUnusedTime)
}

// connListener is a net.Listener for connections that another listener has accepted.
type connListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newConnListener() *connListener {
	return &connListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (listener *connListener) deliver(conn net.Conn) {
	select {
	case listener.conns <- conn:
	case <-listener.closed:
		_ = conn.Close() // no byte was read from it
	}
}

// Accept implements net.Listener.
func (listener *connListener) Accept() (net.Conn, error) {
	select {
	case conn := <-listener.conns:
		return conn, nil
	case <-listener.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (listener *connListener) Close() error {
	listener.once.Do(func() { close(listener.closed) })
	return nil
}

// Addr implements net.Listener.
func (listener *connListener) Addr() net.Addr { return &net.TCPAddr{} }
