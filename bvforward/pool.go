// Package bvforward sends one request to one endpoint over HTTP/1.1 and hands
// back its answer. It never sends a request a second time by itself, and says
// of each failure whether the request may have run.
//
// The standard library's client repeats requests on its own when a kept
// connection breaks, and takes whatever answer comes next as the answer. Both
// are wrong here: some requests may run only once, and faulty endpoints send
// late, second and unframed answers. So connections are kept here; parsing is
// left to the standard library.
//
// # Usage
//
//	connections := &bvforward.Connections{Clock: clock, Wire: wire}
//	response, err := connections.Send(ctx, request)
//	if err != nil {
//		// bvverdict.Of(err) says whether it may have run
//	}
//	defer response.Close()
//	_, err = io.Copy(writer, response.Body)
package bvforward

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvroute"
	"balsamvalve.example/bvverdict"
)

const (
	// dialTimeout bounds the wait for a new connection. An opening packet that is
	// dropped comes again after a second; another endpoint can have answered by then.
	dialTimeout = 300 * bvclock.Millisecond
	// unackedTimeout ends a connection whose bytes are not acknowledged: an
	// endpoint without power or behind a cut sends no reset.
	unackedTimeout = 1500 * bvclock.Millisecond
	// defaultKeep is how long an idle connection is used again where the
	// endpoint does not say how long it keeps it.
	defaultKeep = 4 * bvclock.Second
	// keepMargin is taken off the endpoint's own idle timeout, for the way
	// and for timers that fire late.
	keepMargin = 300 * bvclock.Millisecond
	// maxIdle is the most idle connections kept to one endpoint, which bounds those of
	// all hosts together.
	maxIdle = 6
)

// Wire reads what an endpoint says of its answer.
type Wire interface {
	ReadAnswer(status int, header http.Header) bvroute.Answer
}

// Connections keeps the connections to all endpoints. Set Clock and Wire
// before the first call; it is then safe for use by many goroutines.
type Connections struct {
	Clock bvclock.Clock
	Wire  Wire

	mutex sync.Mutex
	pools map[string]*pool // by endpoint ID
	opens int64
}

// pool holds the idle connections to one endpoint, the last used at the end.
type pool struct {
	connections *Connections
	idle        []*connection
	closed      bool
}

// Opened returns how many connections were opened so far.
func (connections *Connections) Opened() int64 {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	return connections.opens
}

// Retain closes the idle connections to all endpoints but the given ones. A
// connection in use ends with its request.
func (connections *Connections) Retain(ids map[string]bool) {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	for id, pool := range connections.pools {
		if !ids[id] {
			pool.close()
			delete(connections.pools, id)
		}
	}
}

// Drop closes the idle connections to an endpoint, as Retain does.
func (connections *Connections) Drop(id string) {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	if pool := connections.pools[id]; pool != nil {
		pool.close()
		delete(connections.pools, id)
	}
}

// Expire closes connections that have been idle for too long.
func (connections *Connections) Expire() {
	now := connections.Clock.Now()
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	for _, pool := range connections.pools {
		pool.expire(now)
	}
}

// Close closes all idle connections.
func (connections *Connections) Close() {
	connections.Retain(nil)
}

func (pool *pool) close() {
	pool.closed = true
	for _, idle := range pool.idle {
		_ = idle.Close() // nothing is under way on it
	}
	pool.idle = nil
}

func (pool *pool) expire(now bvclock.Time) {
	kept := pool.idle[:0]
	for _, idle := range pool.idle {
		if idle.lapsed(now) {
			_ = idle.Close() // nothing is under way on it
			continue
		}
		kept = append(kept, idle)
	}
	clear(pool.idle[len(kept):])
	pool.idle = kept
}

func (connection *connection) lapsed(now bvclock.Time) bool {
	return now.Sub(connection.idleAt) > connection.keep-keepMargin
}

// take returns an idle connection that can still be used, or nil.
func (connections *Connections) take(endpoint string) *connection {
	now := connections.Clock.Now()
	for {
		idle := connections.pop(endpoint)
		if idle == nil {
			return nil
		}
		if !idle.lapsed(now) && !idle.spent() {
			return idle
		}
		_ = idle.Close() // nothing is under way on it
	}
}

func (connections *Connections) pop(endpoint string) *connection {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	found := connections.poolOf(endpoint)
	if len(found.idle) == 0 {
		return nil
	}
	last := found.idle[len(found.idle)-1]
	found.idle = found.idle[:len(found.idle)-1]
	return last
}

func (connections *Connections) poolOf(endpoint string) *pool {
	found := connections.pools[endpoint]
	if found == nil {
		if connections.pools == nil {
			connections.pools = make(map[string]*pool)
		}
		found = &pool{connections: connections}
		connections.pools[endpoint] = found
	}
	return found
}

// open dials the endpoint.
func (connections *Connections) open(ctx context.Context, endpoint bvplatform.Endpoint) (*connection, error) {
	dialer := net.Dialer{Timeout: dialTimeout.Std(), Control: setUnackedTimeout, KeepAliveConfig: probes}
	conn, err := dialer.DialContext(ctx, "tcp", endpoint.Address)
	if err != nil {
		return nil, bvverdict.Refuse(bvverdict.EndpointFailed, "endpoint %s can't be reached", endpoint.Name).WithCause(err)
	}
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	connections.opens++
	return newConnection(conn, connections.poolOf(endpoint.ID())), nil
}

// probes find connections that went silent without a reset. Two seconds
// without an answer end the call, where its deadline is later.
var probes = net.KeepAliveConfig{Enable: true, Idle: bvclock.Second.Std(), Interval: bvclock.Second.Std(), Count: 2}

func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout))
	})
	if err != nil {
		return err
	}
	return failed
}

// put keeps a connection for the next request.
func (connections *Connections) put(connection *connection) {
	connection.idleAt = connections.Clock.Now()
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	if connection.pool.closed || len(connection.pool.idle) >= maxIdle {
		_ = connection.Close() // nothing is under way on it
		return
	}
	connection.pool.idle = append(connection.pool.idle, connection)
}
