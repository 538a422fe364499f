package bvdaemon

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvloopback"
	"balsamvalve.example/bvstandin"
)

// Guards against a leaving endpoint that gets calls for as long as requests for the list of hosts get no answer.
func TestListOfEndpointsDoesNotWaitForTheListOfHosts(t *testing.T) {
	var hostsRequests, overlaps atomic.Int64
	platform := &bvstandin.Platform{}
	server := bvloopback.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		switch {
		case strings.HasPrefix(request.URL.Path, "/hosts"):
			hostsRequests.Add(1)
			_, _ = io.Copy(io.Discard, request.Body) // the server detects a closed connection only after the body
			<-request.Context().Done()
			hostsRequests.Add(-1)
			return
		case request.URL.Path == "/endpoints" && hostsRequests.Load() > 0:
			overlaps.Add(1)
		}
		platform.ServeHTTP(writer, request)
	}))
	t.Cleanup(server.Close)
	startDaemon(t, server.Listener.Addr().String())
	require.Eventually(t, func() bool { return overlaps.Load() > 2 }, 30*time.Second, 5*time.Millisecond)
}
