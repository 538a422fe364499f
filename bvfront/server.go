package bvfront

import (
	"context"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvroute"
)

// Server accepts callers' connections for a Front. The limits of what a caller
// may send change with the desired state: new connections get new ones, and
// idle connections are closed by the newest idle timeout. Make one with
// NewServer.
type Server struct {
	front *Front
	clock bvclock.Clock
	log   *log.Logger

	mutex  sync.Mutex
	limits bvroute.Limits
	serves []*serving // the last one takes new connections
	idle   map[net.Conn]bvclock.Time
}

// serving is an http.Server with one version of the limits.
type serving struct {
	server *http.Server
	feed   *feed
	ended  chan struct{}
}

// NewServer returns a Server. Lines that net/http writes by itself go to log.
func NewServer(front *Front, log *log.Logger) *Server {
	return &Server{front: front, clock: front.parts.Clock, log: log, idle: make(map[net.Conn]bvclock.Time)}
}

// Serve accepts connections until the listener is closed.
func (server *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("front: accepting: %w", err)
		}
		server.current().feed.hand(conn)
	}
}

// current returns the serving of the newest limits.
func (server *Server) current() *serving {
	var limits bvroute.Limits
	if table := server.front.parts.State.Current(); table != nil {
		limits = table.Limits()
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if len(server.serves) == 0 || !server.sameHead(limits) {
		server.serves = append(server.serves, server.start(limits))
	}
	server.limits = limits
	return server.serves[len(server.serves)-1]
}

func (server *Server) sameHead(limits bvroute.Limits) bool {
	return limits.HeaderBytes == server.limits.HeaderBytes && limits.HeaderTimeout == server.limits.HeaderTimeout
}

// defaultHeaderTimeout holds before the first desired state. Without a bound,
// callers that send nothing would hold connections for ever.
const defaultHeaderTimeout = 10 * bvclock.Second

func (server *Server) start(limits bvroute.Limits) *serving {
	timeout := limits.HeaderTimeout
	if timeout <= 0 {
		timeout = defaultHeaderTimeout
	}
	started := &serving{
		server: &http.Server{
			Handler:           server.front,
			ReadHeaderTimeout: timeout.Std(),
			MaxHeaderBytes:    limits.HeaderBytes,
			ConnState:         server.watch,
			ErrorLog:          server.log,
		},
		feed:  newFeed(),
		ended: make(chan struct{}),
	}
	go func() {
		defer close(started.ended)
		_ = started.server.Serve(started.feed) // ends with the feed, which has no other error
	}()
	return started
}

// watch keeps the table of idle connections.
func (server *Server) watch(conn net.Conn, state http.ConnState) {
	if state == http.StateIdle {
		_ = conn.SetWriteDeadline(time.Time{}) // a call's bound; on a closed connection nothing is written
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if state == http.StateIdle {
		server.idle[conn] = server.clock.Now()
		return
	}
	delete(server.idle, conn)
}

// CloseIdle closes connections that have been idle for longer than the newest
// limits allow. It is called about once a second.
func (server *Server) CloseIdle() {
	table := server.front.parts.State.Current()
	if table == nil || table.Limits().IdleTimeout <= 0 {
		return
	}
	now := server.clock.Now()
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for conn, since := range server.idle {
		if now.Sub(since) > table.Limits().IdleTimeout {
			_ = conn.Close() // nothing is under way on it
			delete(server.idle, conn)
		}
	}
}

// Shutdown closes idle connections, waits for requests in flight, and then
// closes theirs. The end of ctx cuts off what is left.
func (server *Server) Shutdown(ctx context.Context) error {
	server.mutex.Lock()
	serves := server.serves
	server.mutex.Unlock()
	group, ctx := errgroup.WithContext(ctx)
	for _, serving := range serves {
		group.Go(func() error { return serving.server.Shutdown(ctx) })
	}
	return group.Wait()
}

// feed is a listener whose connections are handed to it.
type feed struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newFeed() *feed {
	return &feed{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (feed *feed) hand(conn net.Conn) {
	select {
	case feed.conns <- conn:
	case <-feed.closed:
		_ = conn.Close() // nothing was read from it
	}
}

// Accept implements net.Listener.
func (feed *feed) Accept() (net.Conn, error) {
	select {
	case conn := <-feed.conns:
		return conn, nil
	case <-feed.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (feed *feed) Close() error {
	feed.once.Do(func() { close(feed.closed) })
	return nil
}

// Addr implements net.Listener.
func (feed *feed) Addr() net.Addr { return &net.TCPAddr{} }
