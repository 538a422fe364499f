package bvendpoint_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvendpoint"
	"balsamvalve.example/bvgate"
	"balsamvalve.example/bvloopback"
	"balsamvalve.example/bvstandin"
	"balsamvalve.example/bvverdict"
)

// closingService answers the first request of each connection. It runs the second
// and then closes the connection without an answer.
type closingService struct {
	listener     net.Listener
	runs         atomic.Int64
	closesAtOnce atomic.Bool // it closes each connection without an answer
}

func newClosingService(t *testing.T) *closingService {
	listener, err := net.Listen("tcp", bvloopback.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	service := &closingService{listener: listener}
	go service.accept()
	return service
}

func (service *closingService) accept() {
	for {
		connection, err := service.listener.Accept()
		if err != nil {
			return
		}
		go service.serve(connection)
	}
}

func (service *closingService) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	requests := bufio.NewReader(connection)
	for i := range 2 {
		request, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		service.runs.Add(1)
		if service.closesAtOnce.Load() {
			return
		}
		if i == 0 {
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}
}

func (service *closingService) address() string { return service.listener.Addr().String() }

// sendTwoWithHTTPClient makes two calls with the standard http.Client.
func sendTwoWithHTTPClient(t *testing.T, service *closingService, method string, header http.Header) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for range 2 {
		request, err := http.NewRequestWithContext(t.Context(), method, "http://"+service.address()+"/book", bytes.NewReader([]byte("{}")))
		require.NoError(t, err)
		request.Header = header.Clone()
		response, err := client.Do(request)
		if err == nil {
			_ = response.Body.Close()
		}
	}
}

func sendTwo(t *testing.T, service *closingService, call bvendpoint.ServiceCall) (second error) {
	client := newTestClient(t)
	call.Path = "/book"
	_, err := client.Invoke(t.Context(), service.address(), call)
	require.NoError(t, err)
	_, second = client.Invoke(t.Context(), service.address(), call)
	return second
}

var replayHeader = http.Header{"Idempotency-Key": {"r1"}}

// Shows the fault that the next tests guard against: http.Client sends a call twice.
func TestPlainClientSendsReplayableCallTwice(t *testing.T) {
	withKey, withGet := newClosingService(t), newClosingService(t)
	sendTwoWithHTTPClient(t, withKey, http.MethodPost, replayHeader)
	require.Equal(t, int64(3), withKey.runs.Load())
	sendTwoWithHTTPClient(t, withGet, http.MethodGet, nil)
	require.Equal(t, int64(3), withGet.runs.Load())
}

// Guards against a call that is lost, or sent twice, on a connection that a service closes after
// its first answer.
func TestInvokeDoesNotReuseConnections(t *testing.T) {
	service := newClosingService(t)
	require.NoError(t, sendTwo(t, service, bvendpoint.ServiceCall{Body: []byte("{}"), Header: replayHeader}))
	require.Equal(t, int64(2), service.runs.Load())
}

// Guards against an automatic retry of a replayable call, or a GET without a body, by http.Transport.
func TestInvokeNeverSendsTwiceWhenItsConnectionDies(t *testing.T) {
	service := newClosingService(t)
	service.closesAtOnce.Store(true)
	for number, call := range []bvendpoint.ServiceCall{{Body: []byte("{}"), Header: replayHeader}, {Method: http.MethodGet}} {
		call.Path = "/book"
		_, err := newTestClient(t).Invoke(t.Context(), service.address(), call)
		require.EqualValues(t, number+1, service.runs.Load())
		require.Equal(t, bvverdict.MayHaveRun, bvverdict.Of(err))
		require.Equal(t, bvgate.Silent, bvendpoint.OutcomeOf(err), "the service still runs")
	}
}

// Guards against a service that has crashed during a call and does not count as crashed.
func TestServiceThatRefusesConnectionsAfterACallHasCrashed(t *testing.T) {
	listener, err := net.Listen("tcp", bvloopback.Address())
	require.NoError(t, err)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			_ = listener.Close()
			_ = conn.Close()
		}
	}()
	_, err = newTestClient(t).Invoke(t.Context(), listener.Addr().String(), bvendpoint.ServiceCall{Path: "/book", Unrepeatable: true})
	require.Equal(t, bvverdict.MayHaveRun, bvverdict.Of(err))
	require.Equal(t, bvgate.Crashed, bvendpoint.OutcomeOf(err))
}

// Guards against a crash that does not count because the service still accepted a connection.
func TestServiceThatEndsJustAfterACallBrokeHasCrashed(t *testing.T) {
	listener, err := net.Listen("tcp", bvloopback.Address())
	require.NoError(t, err)
	go func() {
		for number := range 2 { // the call, and a check
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if number == 1 {
				_ = listener.Close()
			}
			_ = conn.Close()
		}
	}()
	client := newTestClient(t)
	client.CheckTimeout = bvclock.Minute
	_, err = client.Invoke(t.Context(), listener.Addr().String(), bvendpoint.ServiceCall{Path: "/book", Unrepeatable: true})
	require.Equal(t, bvverdict.MayHaveRun, bvverdict.Of(err))
	require.Equal(t, bvgate.Crashed, bvendpoint.OutcomeOf(err))
}

// Guards against an unrepeatable call on a connection that is about to be closed.
func TestUnrepeatableCallsHaveConnectionsOfTheirOwn(t *testing.T) {
	service := newClosingService(t)
	require.NoError(t, sendTwo(t, service, bvendpoint.ServiceCall{Body: []byte("{}"), Header: replayHeader, Unrepeatable: true}))
	require.Equal(t, int64(2), service.runs.Load())
}

func newTestService(t *testing.T) (*bvstandin.Service, string) {
	service := &bvstandin.Service{Name: "s", Serves: "book"}
	server := bvloopback.NewServer(service)
	t.Cleanup(server.Close)
	return service, server.Listener.Addr().String()
}

func TestInvokePassesRequestAndAnswerOn(t *testing.T) {
	service, address := newTestService(t)
	result, err := newTestClient(t).Invoke(t.Context(), address, bvendpoint.ServiceCall{Path: "/book", Body: []byte("x"), Request: "r1"})
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, result.Status)
	require.Contains(t, string(result.Body), bvstandin.BodyDigest([]byte("x")))
	require.Equal(t, 1, service.Runs("r1"))
}

// Guards against "not run" for a call whose answer was lost.
func TestCallWhoseAnswerIsLostMayHaveRun(t *testing.T) {
	service, address := newTestService(t)
	service.SetFaults(bvstandin.ServiceFaults{FailAfter: true})
	_, err := newTestClient(t).Invoke(t.Context(), address, bvendpoint.ServiceCall{Path: "/book", Request: "r1", Unrepeatable: true})
	require.Equal(t, bvverdict.MayHaveRun, bvverdict.Of(err))
	require.Equal(t, 1, service.Runs("r1"))
}

func TestRefusalOfServiceIsNotRun(t *testing.T) {
	service, address := newTestService(t)
	service.SetFaults(bvstandin.ServiceFaults{FailBefore: true})
	_, err := newTestClient(t).Invoke(t.Context(), address, bvendpoint.ServiceCall{Path: "/book", Request: "r1"})
	require.Equal(t, bvverdict.NotRun, bvverdict.Of(err))
	require.Zero(t, service.Runs("r1"))
}

// Guards against a bare 503 that counts as "not run".
func TestBareUnavailableIsPassedOnAsAnswer(t *testing.T) {
	server := bvloopback.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(server.Close)
	result, err := newTestClient(t).Invoke(t.Context(), server.Listener.Addr().String(), bvendpoint.ServiceCall{Path: "/book"})
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, result.Status)
}

// Guards against a call that waits indefinitely for a service that never answers.
func TestHangingServiceTimesOut(t *testing.T) {
	service, address := newTestService(t)
	service.SetFaults(bvstandin.ServiceFaults{Hang: true})
	client := &bvendpoint.Client{ServiceTimeout: 100 * bvclock.Millisecond}
	t.Cleanup(client.Close)
	_, err := client.Invoke(t.Context(), address, bvendpoint.ServiceCall{Path: "/book"})
	require.Equal(t, bvverdict.EndpointTimeout, bvverdict.From(err).Code())
	require.Equal(t, bvverdict.MayHaveRun, bvverdict.Of(err))
	require.Equal(t, bvgate.Silent, bvendpoint.OutcomeOf(err))
}

func TestCallersDeadlineIsDistinguishedFromHangingService(t *testing.T) {
	service, address := newTestService(t)
	service.SetFaults(bvstandin.ServiceFaults{Hang: true})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := newTestClient(t).Invoke(ctx, address, bvendpoint.ServiceCall{Path: "/book"})
	require.Equal(t, bvverdict.DeadlinePassed, bvverdict.From(err).Code())
}

func TestAnswerAboveTheLimitIsRan(t *testing.T) {
	_, address := newTestService(t)
	client := &bvendpoint.Client{MaxBodyBytes: 10}
	t.Cleanup(client.Close)
	_, err := client.Invoke(t.Context(), address, bvendpoint.ServiceCall{Path: "/book"})
	require.Equal(t, bvverdict.TooLarge, bvverdict.From(err).Code())
	require.Equal(t, bvverdict.Ran, bvverdict.Of(err))
}
