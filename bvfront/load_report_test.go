package bvfront

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an endpoint that fills the log by an invalid report with each answer.
func TestInvalidReportsAreLoggedOnceAMinuteForEachEndpoint(t *testing.T) {
	var limiter logLimiter
	require.True(t, limiter.mayLog(5, "e1"))
	require.False(t, limiter.mayLog(59_000, "e1"))
	require.True(t, limiter.mayLog(59_000, "e2"))
	require.True(t, limiter.mayLog(60_005, "e1"))
}

// Guards against a table that grows with each restart of an endpoint.
func TestLoggedEndpointsAreBounded(t *testing.T) {
	var limiter logLimiter
	for i := range 3 * maxLoggedEndpoints {
		require.True(t, limiter.mayLog(0, fmt.Sprint(i)))
	}
	require.Equal(t, maxLoggedEndpoints, limiter.logged.Len())
}
