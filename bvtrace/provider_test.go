package bvtrace_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvloopback"
	"balsamvalve.example/bvsetting"
	"balsamvalve.example/bvtrace"
)

// recordSpan starts and ends a span of a new provider, shuts the provider down and returns
// the trace id.
func recordSpan(t *testing.T, config bvtrace.Config) (id string) {
	provider, err := bvtrace.New(t.Context(), config)
	require.NoError(t, err)
	ctx, root := provider.TracerProvider().Tracer("test").Start(context.Background(), "root")
	ctx, span := bvtrace.Start(ctx, "hop")
	span.SetEndpoint("engine-1")
	id = bvtrace.ID(ctx)
	span.End(nil)
	root.End()
	require.NoError(t, provider.Shutdown(t.Context()))
	return id
}

func TestSpansReachAnOTLPCollectorAtTheShutdown(t *testing.T) {
	var path string
	var body []byte
	collector := bvloopback.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		path = request.URL.Path
		body, _ = io.ReadAll(request.Body)
	}))
	defer collector.Close()
	recordSpan(t, bvtrace.Config{Exporter: bvsetting.TraceOTLP, Address: collector.Listener.Addr().String(), Host: "host-1"})
	require.Equal(t, "/v1/traces", path)
	require.Contains(t, string(body), "hop")
	require.Contains(t, string(body), "host-1")
}

func TestSpansAreWrittenAsJSON(t *testing.T) {
	var output bytes.Buffer
	id := recordSpan(t, bvtrace.Config{Exporter: bvsetting.TraceStdout, Output: &output})
	require.Contains(t, output.String(), id)
	require.Contains(t, output.String(), "bv.endpoint")
}

func TestRequestsHaveAnIdWithoutAnExporter(t *testing.T) {
	require.Len(t, recordSpan(t, bvtrace.Config{}), 32)
}
