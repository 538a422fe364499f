package bvgate

import (
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
)

// failNextCall submits a request and fails the call if it is granted.
func failNextCall(engines *engines, outcome Outcome) []Effect {
	id := engines.submit(Request{Member: "m", AttainedService: 1, OutputTokens: 1})
	effects := engines.pool.Tick(engines.now)
	if engines.pool.calls[id] == nil {
		engines.pool.Withdraw(engines.now, id)
		return nil
	}
	engines.pool.Finish(engines.now, Finish{ID: id, Outcome: outcome})
	return effects
}

func TestSilentEndpointIsEjectedForAGrowingBoundedTime(t *testing.T) {
	// An engine accepts calls and answers none. It always has the fewest calls in
	// flight, so all callers would be sent there and time out.
	engines := newEngines(1, 8)
	require.NotEmpty(t, failNextCall(engines, Silent))
	require.NotEmpty(t, failNextCall(engines, Silent), "one silent connection is not a failed endpoint")
	var waits []bvclock.Duration
	for range 9 {
		require.Empty(t, failNextCall(engines, Silent))
		probe := engines.pool.NextTick()
		waits = append(waits, probe.Sub(engines.now))
		engines.now = probe
		require.NotEmpty(t, failNextCall(engines, Silent))
	}
	require.Equal(t, []bvclock.Duration{1000, 2000, 4000, 8000, 16000, 32000, 60000, 60000, 60000}, waits)
}

func TestEjectedEndpointIsProbedByOneCall(t *testing.T) {
	engines := newEngines(1, 8)
	failNextCall(engines, Crashed)
	for range 4 {
		engines.submit(Request{Member: "m", AttainedService: 1, OutputTokens: 10})
	}
	require.Empty(t, engines.tick())
	engines.now = engines.pool.NextTick()
	require.Len(t, engines.tick(), 1)
	engines.finishNext()
	require.Len(t, engines.tick(), 3)
}

func TestLateFailuresOfOldCallsDoNotLengthenTheEjection(t *testing.T) {
	engines := newEngines(1, 8)
	for range 8 {
		engines.submit(Request{Member: "m", AttainedService: 1, OutputTokens: 10})
	}
	engines.tick()
	for id := RequestID(1); id <= 8; id++ {
		engines.pool.Finish(engines.now, Finish{ID: id, Outcome: Silent})
	}
	require.Equal(t, bvclock.Time(minEjection), engines.pool.NextTick())
}

func TestCallsOfOthersTakeSlotsUntilReportsStop(t *testing.T) {
	// Two hosts decide for an endpoint for a while, because their lists differ. Its
	// report contains calls that this host did not grant. When its reports stop, it
	// must not count as full permanently.
	pool := &Pool{}
	pool.UpdateEndpoint(0, EndpointReport{Name: "a", Slots: 2, Running: 2})
	pool.Submit(0, Request{ID: 1, Member: "m"})
	require.Empty(t, pool.Tick(0))
	require.Equal(t, bvclock.Time(peakWindow), pool.NextTick())
	require.Len(t, pool.Tick(bvclock.Time(peakWindow)), 1)
}
