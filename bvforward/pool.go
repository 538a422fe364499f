// Package bvforward sends a request to an endpoint over HTTP/1.1 and returns the
// answer. It never resends a request, and each error states whether the request may
// have run.
//
// The standard library's client resends requests when a reused connection breaks, and
// takes the next answer on the connection as the answer to its request. Both are wrong
// here: some requests must run at most once, and faulty endpoints send late, second and
// unframed answers. So this package pools connections itself and uses the standard
// library only for parsing.
//
// # Which request an answer belongs to
//
// An answer belongs to the request whose ID it repeats, and no connection carries two
// requests with the same ID. An answer with another ID is skipped. An answer without an ID,
// or with several, belongs to no request: nothing in it is believed or passed on. If the
// request's own answer can still follow on the connection, it is waited for; if not, the
// request may have run, and the error's cause is an AnswerError.
//
// # Usage
//
//	connections := &bvforward.Connections{Clock: clock, Wire: wire}
//	response, err := connections.Send(ctx, request)
//	if err != nil {
//		// bvverdict.Of(err) states whether it may have run
//	}
//	defer response.Close()
//	_, err = io.Copy(writer, response.Body)
package bvforward

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvroute"
	"balsamvalve.example/bvverdict"
)

const (
	// dialTimeout bounds the wait for a new connection. A lost SYN is retransmitted
	// after one second; another endpoint can have answered by then.
	dialTimeout = 300 * bvclock.Millisecond
	// unackedTimeout closes a connection whose bytes are not acknowledged: an endpoint
	// that lost power or is behind a network partition sends no reset.
	unackedTimeout = 1500 * bvclock.Millisecond
	// defaultIdleTimeout is how long an idle connection may be reused if the endpoint
	// does not announce its own idle timeout.
	defaultIdleTimeout = 4 * bvclock.Second
	// maxIdleTimeout bounds the idle timeout that an endpoint announces: until then, bytes
	// that belong to no request stay in the socket's buffer.
	maxIdleTimeout = bvclock.Minute
	// idleTimeoutMargin is subtracted from the endpoint's idle timeout to allow for
	// network latency and for timers that fire late.
	idleTimeoutMargin = 300 * bvclock.Millisecond
	// maxIdle is the maximum number of idle connections to one endpoint. It also bounds
	// the idle connections that an endpoint has from all hosts together.
	maxIdle = 6
)

// Wire parses the metadata that an endpoint sends with its answer.
type Wire interface {
	ReadAnswer(status int, header http.Header) bvroute.Answer
}

// Connections pools the connections to all endpoints. Set Clock and Wire before the
// first call; it is then safe for concurrent use.
type Connections struct {
	Clock bvclock.Clock
	Wire  Wire

	mutex     sync.Mutex
	pools     map[string]*pool // by endpoint ID
	dialCount int64
	skipped   [skipReasons]atomic.Int64
}

// pool holds the idle connections to one endpoint, the most recently used one last.
type pool struct {
	connections *Connections
	idle        []*connection
	closed      bool
	noReuse     bvclock.Time // until then, connections carry one request each
}

// noReuseTime is how long an endpoint's connections carry one request each after it has sent
// an answer without an ID. On a connection that carries only one request, such an answer
// can't belong to another one, and nothing is waited for after it.
const noReuseTime = 10 * bvclock.Second

// stopReuse has each of the endpoint's connections carry one request for some time.
func (connections *Connections) stopReuse(pool *pool) {
	now := connections.Clock.Now()
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	pool.noReuse = now.Add(noReuseTime)
	pool.closeIdle()
}

// Opened returns the number of connections opened so far.
func (connections *Connections) Opened() int64 {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	return connections.dialCount
}

// Retain closes the idle connections to all endpoints except the given ones. A
// connection in use is closed after its request.
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

// Expire closes connections whose idle timeout has passed.
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
	pool.closeIdle()
}

func (pool *pool) closeIdle() {
	for _, idle := range pool.idle {
		_ = idle.Close() // no request is in flight on it
	}
	pool.idle = nil
}

func (pool *pool) expire(now bvclock.Time) {
	kept := pool.idle[:0]
	for _, idle := range pool.idle {
		if idle.isExpired(now) {
			_ = idle.Close() // no request is in flight on it
			continue
		}
		kept = append(kept, idle)
	}
	clear(pool.idle[len(kept):])
	pool.idle = kept
}

func (connection *connection) isExpired(now bvclock.Time) bool {
	return now.Sub(connection.idleSince) > connection.idleTimeout-idleTimeoutMargin
}

// takeIdle returns an idle connection that can be reused and has not carried a request with
// the ID, or nil.
func (connections *Connections) takeIdle(endpoint, id string) *connection {
	now := connections.Clock.Now()
	var skipped []*connection
	defer func() {
		for _, connection := range skipped {
			connections.returnIdle(connection)
		}
	}()
	for {
		idle := connections.popIdle(endpoint)
		switch {
		case idle == nil:
			return nil
		case idle.isExpired(now) || idle.isStale():
			_ = idle.Close() // no request is in flight on it
		case idle.hasCarried(id):
			skipped = append(skipped, idle)
		default:
			return idle
		}
	}
}

func (connections *Connections) popIdle(endpoint string) *connection {
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

func (connections *Connections) dial(ctx context.Context, endpoint bvplatform.Endpoint) (*connection, error) {
	dialer := net.Dialer{Timeout: dialTimeout.Std(), Control: setUnackedTimeout, KeepAliveConfig: keepAliveProbes}
	conn, err := dialer.DialContext(ctx, "tcp", endpoint.Address)
	if err != nil {
		return nil, dialError(endpoint, err)
	}
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	connections.dialCount++
	return newConnection(conn, connections.poolOf(endpoint.ID())), nil
}

// ErrNoResources means that this host lacks what a new connection requires; it shows nothing
// about the endpoint.
var ErrNoResources = errors.New("this host can't open another connection")

// resourceErrors are the errors of a lack of descriptors, memory or local ports.
var resourceErrors = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL}

func dialError(endpoint bvplatform.Endpoint, cause error) error {
	var number syscall.Errno
	if errors.As(cause, &number) && slices.Contains(resourceErrors, number) {
		return bvverdict.Refuse(bvverdict.Overloaded, "no connection to endpoint %s", endpoint.Name).WithCause(errors.Join(ErrNoResources, cause))
	}
	return bvverdict.Refuse(bvverdict.EndpointFailed, "endpoint %s can't be reached", endpoint.Name).WithCause(cause)
}

// keepAliveProbes detect connections that fail without a reset. Two seconds without an
// acknowledgement end the call, if its deadline is later than that.
var keepAliveProbes = net.KeepAliveConfig{Enable: true, Idle: bvclock.Second.Std(), Interval: bvclock.Second.Std(), Count: 2}

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

// putIdle adds a connection to its pool for the next request.
func (connections *Connections) putIdle(connection *connection) {
	connection.idleSince = connections.Clock.Now()
	connections.returnIdle(connection)
}

// returnIdle adds a connection to its pool that has been idle for some time.
func (connections *Connections) returnIdle(connection *connection) {
	now := connections.Clock.Now()
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	pool := connection.pool
	if pool.closed || len(pool.idle) >= maxIdle || len(connection.carried) >= maxRequests || now.Before(pool.noReuse) {
		_ = connection.Close() // no request is in flight on it
		return
	}
	pool.idle = append(pool.idle, connection)
}
