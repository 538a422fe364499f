package bvforward

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvverdict"
)

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
