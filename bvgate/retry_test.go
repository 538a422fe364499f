package bvgate

import (
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
)

// Guards against a spent retry budget that never recovers.
func TestSpentRetryBudgetRecoversWithTime(t *testing.T) {
	engines := newEngines(1, 4)
	repeat := Request{Member: "m", AttainedService: 1, Fingerprint: 7, OutputTokens: 50, Attempt: 1}
	refused := false
	for range 200 {
		refused = refused || !submitAndCancel(engines, repeat)
		engines.now += 100
	}
	require.True(t, refused, "the budget bounds repeats while the failure lasts")
	engines.now = engines.now.Add(2 * bvclock.Minute)
	engines.submit(repeat)
	require.Empty(t, refusals(engines.tick()))
}

// submitAndCancel submits a request, cancels its call after it was sent, and reports
// whether the request was accepted.
func submitAndCancel(engines *engines, request Request) bool {
	id := engines.submit(request)
	if len(refusals(engines.pool.Tick(engines.now))) > 0 {
		return false
	}
	if engines.pool.calls[id] == nil {
		engines.pool.Withdraw(engines.now, id)
		return true
	}
	engines.pool.MarkUsed(engines.now, id)
	engines.pool.Finish(engines.now, Finish{ID: id, Outcome: Canceled})
	return true
}
