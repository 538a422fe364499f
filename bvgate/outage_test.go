package bvgate

import (
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvverdict"
)

// Guards against a request without a deadline that waits indefinitely for an engine.
func TestRequestIsRefusedWhenNoEndpointReturns(t *testing.T) {
	pool := &Pool{}
	pool.UpdateEndpoint(0, EndpointReport{Name: "engine-1", Slots: 1})
	pool.Submit(0, Request{ID: 1, Member: "piran", Program: "p"})
	require.IsType(t, Grant{}, pool.Tick(0)[0])
	pool.MarkUsed(0, 1)
	pool.Submit(1, Request{ID: 2, Member: "piran", Program: "q"})
	pool.RemoveEndpoint(2, "engine-1")
	require.Empty(t, refusals(pool.Tick(2)))
	require.NotZero(t, pool.NextTick())
	refused := refusals(pool.Tick(2 + 5000))
	require.Len(t, refused, 1)
	require.Equal(t, RequestID(2), refused[0].Request)
	require.Equal(t, bvverdict.NotRun, refused[0].Err.Verdict())
	require.Positive(t, refused[0].Err.RetryAfter())
}
