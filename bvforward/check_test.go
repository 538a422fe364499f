package bvforward

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvplatform"
)

func TestEndpointWithAnOpenConnectionRuns(t *testing.T) {
	endpoint := newEndpoint(t, func(conn net.Conn, _ *http.Request, number int) bool {
		writeAnswer(conn, fmt.Sprint(number), "x")
		return true
	})
	connections := newConnections()
	_, err := fetch(t, connections, endpoint.request("1"))
	require.NoError(t, err)
	require.NoError(t, endpoint.listener.Close())
	require.Equal(t, Running, connections.Check(t.Context(), endpoint.request("a").Endpoint), "its connection is open")
	_, err = fetch(t, connections, endpoint.request("2"))
	require.NoError(t, err, "the check leaves the connection as it was")
	require.EqualValues(t, 1, endpoint.dials.Load())
}

// Guards against a lost answer of a sound endpoint that counts as its crash.
func TestEndpointThatAcceptsAConnectionRuns(t *testing.T) {
	endpoint := newEndpoint(t, func(net.Conn, *http.Request, int) bool { return false })
	connections := newConnections()
	_, err := fetch(t, connections, endpoint.request("a"))
	require.Error(t, err)
	require.Equal(t, Running, connections.Check(t.Context(), endpoint.request("a").Endpoint))
	require.EqualValues(t, 1, endpoint.requests.Load(), "no request is sent for the check")
}

func TestEndpointWhosePortIsClosedHasEnded(t *testing.T) {
	endpoint := newEndpoint(t, func(net.Conn, *http.Request, int) bool { return false })
	require.NoError(t, endpoint.listener.Close())
	_, err := fetch(t, newConnections(), endpoint.request("a"))
	require.True(t, IsRefused(err))
	require.Equal(t, Refused, newConnections().Check(t.Context(), endpoint.request("a").Endpoint))
}

// Guards against an endpoint behind a cut link that counts as crashed.
func TestEndpointThatDoesNotAnswerIsUnknown(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.Equal(t, Unknown, newConnections().Check(ctx, bvplatform.Endpoint{Name: "e", Address: "127.0.0.1:1"}))
}
