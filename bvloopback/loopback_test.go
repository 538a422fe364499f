package bvloopback_test

import (
	"net/http"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvloopback"
)

// Guards against servers of tests that clients of other processes reach.
func TestServersAreNotReachedAtTheSharedAddress(t *testing.T) {
	server := bvloopback.NewServer(http.NotFoundHandler())
	defer server.Close()
	response, err := http.Get(server.URL)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusNotFound, response.StatusCode)
	address, err := netip.ParseAddrPort(server.Listener.Addr().String())
	require.NoError(t, err)
	require.True(t, address.Addr().IsLoopback())
	require.NotEqual(t, netip.MustParseAddr("127.0.0.1"), address.Addr())
}
