package bvforward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvverdict"
)

// identityTimeout is only reached by a failing test.
const identityTimeout = 10 * time.Second

// sendBounded is Send with a deadline that only a failing test reaches.
func sendBounded(t *testing.T, connections *Connections, request *Request) (*Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), identityTimeout)
	t.Cleanup(cancel)
	return connections.Send(ctx, request)
}

// newStrayEndpoint returns an endpoint that sends a stray answer before its second one.
func newStrayEndpoint(t *testing.T, stray string) *endpoint {
	return newEndpoint(t, func(conn net.Conn, _ *http.Request, number int) bool {
		if number == 2 {
			_, _ = io.WriteString(conn, stray)
		}
		writeAnswer(conn, fmt.Sprint(number), fmt.Sprint("body", number))
		return true
	})
}

// Guards against a stray refusal without an id that has a request sent again while it runs.
func TestRefusalWithoutAnIDIsSkipped(t *testing.T) {
	server := newStrayEndpoint(t, "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	connections := newConnections()
	_, err := fetch(t, connections, server.request("1"))
	require.NoError(t, err)
	response, err := sendBounded(t, connections, server.request("2"))
	require.NoError(t, err)
	defer response.Close()
	require.False(t, response.Answer.NotRun, "it runs")
	require.Equal(t, "2", response.Answer.ID)
	require.EqualValues(t, 1, connections.Skipped()[WithoutID])
}

// Guards against the failure of another request that is passed on because it has no id.
func TestFailureWithoutAnIDIsSkipped(t *testing.T) {
	for _, status := range []int{400, 500, 421} {
		server := newStrayEndpoint(t, fmt.Sprintf("HTTP/1.1 %d Failed\r\nId:\r\nContent-Length: 4\r\n\r\nlate", status))
		connections := newConnections()
		_, err := fetch(t, connections, server.request("1"))
		require.NoError(t, err)
		body, err := fetch(t, connections, server.request("2"))
		require.NoError(t, err)
		require.Equal(t, "body2", body)
	}
}

// Guards against a refusal that is believed although nothing shows which request it is for, and
// against a wait for another answer that does not come.
func TestOnlyAnswerWithoutAnIDPromisesNothing(t *testing.T) {
	server := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	ctx, cancel := context.WithTimeout(t.Context(), identityTimeout)
	defer cancel()
	_, err := newConnections().Send(ctx, server.request("1"))
	require.NoError(t, ctx.Err(), "it is not waited for")
	require.Equal(t, bvverdict.MayHaveRun, bvverdict.Of(err))
	requireDefect(t, Unidentified, err)
}

// Guards against a wait for an answer after one that ends its connection.
func TestAnswerWithoutAnIDThatEndsItsConnectionPromisesNothing(t *testing.T) {
	server := newEndpoint(t, func(conn net.Conn, _ *http.Request, number int) bool {
		if number == 1 {
			writeAnswer(conn, "1", "body")
			return true
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		_, _ = conn.Read(make([]byte, 1)) // until the host closes the connection
		return false
	})
	connections := newConnections()
	_, err := fetch(t, connections, server.request("1"))
	require.NoError(t, err)
	_, err = sendBounded(t, connections, server.request("2"))
	require.Equal(t, bvverdict.MayHaveRun, bvverdict.Of(err))
	requireDefect(t, Unidentified, err)
}

// Guards against an endpoint without ids in its answers that holds each request to its deadline.
func TestEndpointWithoutIDsGetsOneRequestAConnection(t *testing.T) {
	server := newEndpoint(t, func(conn net.Conn, _ *http.Request, number int) bool {
		if number == 1 || number > 3 {
			writeAnswer(conn, fmt.Sprint(number), "body")
			return true
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	connections := newConnections()
	_, err := fetch(t, connections, server.request("1"))
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = connections.Send(ctx, server.request("2"))
	require.Equal(t, bvverdict.EndpointTimeout, bvverdict.From(err).Code(), "its own answer may follow")
	_, err = sendBounded(t, connections, server.request("3"))
	requireDefect(t, Unidentified, err)
	for _, id := range []string{"4", "5"} {
		_, err = fetch(t, connections, server.request(id))
		require.NoError(t, err)
	}
	require.EqualValues(t, 4, server.dials.Load())
}

// Guards against an id that is used again, by which a late copy of an answer passes for another.
func TestConnectionCarriesAnIDOnce(t *testing.T) {
	server := newEndpoint(t, func(conn net.Conn, _ *http.Request, number int) bool {
		if number == 3 {
			writeAnswer(conn, "1", "late copy")
		}
		writeAnswer(conn, []string{"1", "2", "1"}[number-1], fmt.Sprint("body", number))
		return true
	})
	connections := newConnections()
	for number, id := range []string{"1", "2"} {
		body, err := fetch(t, connections, server.request(id))
		require.NoError(t, err)
		require.Equal(t, fmt.Sprint("body", number+1), body)
	}
	require.EqualValues(t, 1, server.dials.Load())
	taken := connections.takeIdle(server.request("1").Endpoint.ID(), "1")
	require.Nil(t, taken)
	require.NotNil(t, connections.takeIdle(server.request("3").Endpoint.ID(), "3"))
}

// Guards against ids of requests that are kept without end.
func TestConnectionIsReplacedAfterManyRequests(t *testing.T) {
	server := newEndpoint(t, func(conn net.Conn, _ *http.Request, number int) bool {
		writeAnswer(conn, fmt.Sprint(number), "")
		return true
	})
	connections := newConnections()
	for number := range maxRequests + 1 {
		_, err := fetch(t, connections, server.request(fmt.Sprint(number+1)))
		require.NoError(t, err)
	}
	require.EqualValues(t, 2, server.dials.Load())
}

func TestRequestWithoutAnIDIsNotSent(t *testing.T) {
	server := newEndpoint(t, nil)
	_, err := fetch(t, newConnections(), server.request(""))
	require.Equal(t, bvverdict.NotRun, bvverdict.Of(err))
	require.Zero(t, server.dials.Load())
}

// Guards against a cut stray answer whose missing bytes are taken from the request's own answer.
func TestCutStrayAnswerIsAnError(t *testing.T) {
	server := newStrayEndpoint(t, "HTTP/1.1 500 Failed\r\nContent-Length: 1000\r\n\r\ncut")
	connections := newConnections()
	_, err := fetch(t, connections, server.request("1"))
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err = connections.Send(ctx, server.request("2"))
	require.Equal(t, bvverdict.MayHaveRun, bvverdict.Of(err))
	require.True(t, errors.Is(context.Cause(ctx), context.DeadlineExceeded))
}
