package bvfront

import (
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvlog"
	"balsamvalve.example/bvmeasure"
	"balsamvalve.example/bvroute"
)

// noState is the state of a host that knows no desired state yet.
type noState struct{ State }

func (noState) Current() *bvroute.Table { return nil }

func (noState) View() View { return View{} }

// plainWire reads no headers.
type plainWire struct{ Wire }

func (plainWire) ReadCall(http.Header) bvroute.Call { return bvroute.Call{} }

func (plainWire) SetID(http.Header, string) {}

func (plainWire) SetRetryAfter(http.Header, bvclock.Duration) {}

// shortListener returns errors, one for each element received, before it accepts connections.
type shortListener struct {
	net.Listener
	errors chan error
}

func (listener *shortListener) Accept() (net.Conn, error) {
	if err, more := <-listener.errors; more {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: err}
	}
	return listener.Listener.Accept()
}

// newServing returns a server that serves with a listener that fails first, and the channel
// that receives the error of Serve.
func newServing(t *testing.T, clock bvclock.Clock) (*Server, *shortListener, <-chan error) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	front := New(Parts{Clock: clock, Wire: plainWire{}, State: noState{}, Counters: bvmeasure.New(), Log: log})
	server := NewServer(front, bvlog.ForServer(log))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	short := &shortListener{Listener: listener, errors: make(chan error)}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(short) }()
	t.Cleanup(func() {
		_ = listener.Close()
		_ = server.Shutdown(t.Context())
	})
	return server, short, ended
}

// Guards against a lack of descriptors that ends the process and cuts its requests.
func TestConnectionsAreAcceptedAfterALackOfDescriptors(t *testing.T) {
	clock := &bvclock.Manual{}
	clock.Advance(bvclock.Second)
	server, listener, ended := newServing(t, clock)
	for _, shortage := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENOMEM} {
		listener.errors <- shortage
		require.True(t, server.Accepts(), "a short lack moves no callers")
	}
	clock.Advance(2 * shortageBound)
	require.False(t, server.Accepts())
	close(listener.errors)
	response, err := http.Get("http://" + listener.Addr().String() + "/")
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.True(t, server.Accepts())
	require.NoError(t, listener.Listener.Close())
	require.NoError(t, <-ended)
}

// Guards against a listener that can accept nothing any longer and is not reported.
func TestBrokenListenerIsAnError(t *testing.T) {
	_, listener, ended := newServing(t, bvclock.Boot())
	listener.errors <- syscall.EINVAL
	require.ErrorIs(t, <-ended, syscall.EINVAL)
}

// Guards against a connection that is accepted during the stop and then cut.
func TestConnectionAfterTheStopIsClosed(t *testing.T) {
	server, listener, _ := newServing(t, bvclock.Boot())
	require.NoError(t, server.Shutdown(t.Context()))
	close(listener.errors)
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err = conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}
