package bvdispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
)

// playFaulty simulates calls, one each 20 ms, at six endpoints of which e3 is unhealthy,
// and returns how many of the last half reached it.
func playFaulty(pool *Pool, calls int, faultyResult func(call int) Result) (reached int) {
	for call := range calls {
		now := bvclock.Time(1 + call*20)
		request := &Request{}
		chosen, _ := pool.Choose(now, request)
		pool.BeginCall(now, chosen.Name, request)
		result := Result{Outcome: Served, Duration: 50, AnswerStarted: true, Pace: 50}
		if chosen.Name == "e3" {
			result = faultyResult(call)
			if call >= calls/2 {
				reached++
			}
		}
		pool.EndCall(now, chosen.Name, result)
	}
	return reached
}

// Guards against partial failures, which a count of failures in a row never detects.
func TestEndpointThatFailsPartOfItsCallsGetsFew(t *testing.T) {
	reached := playFaulty(newTestPool(6), 1000, func(call int) Result {
		if call%5 < 2 {
			return Result{Outcome: Served, Duration: 5, AnswerStarted: true, IsError: true}
		}
		return Result{Outcome: Served, Duration: 50, AnswerStarted: true, Pace: 50}
	})
	require.Less(t, reached, 40, "of 500 calls, 83 by an equal share")
}

// Guards against an engine that takes eight times as long for each event but fails no call.
func TestSlowEndpointGetsFewCalls(t *testing.T) {
	reached := playFaulty(newTestPool(6), 1000, func(int) Result {
		return Result{Outcome: Served, Duration: 400, AnswerStarted: true, Pace: 400}
	})
	require.Less(t, reached, 40)
}

// Guards against an engine that never answers, whose calls all end as withdrawn.
func TestEndpointThatHangsGetsFewCalls(t *testing.T) {
	reached := playFaulty(newTestPool(6), 1000, func(int) Result {
		return Result{Outcome: Withdrawn, Duration: 2 * bvclock.Second}
	})
	require.Less(t, reached, 40)
}

// Guards against callers that cancel early and are counted as failures of the engine.
func TestWithdrawnCallsDoNotCountAgainstTheEndpoint(t *testing.T) {
	reached := playFaulty(newTestPool(6), 1000, func(int) Result {
		return Result{Outcome: Withdrawn, Duration: 200}
	})
	require.Greater(t, reached, 60)
}

// Guards against an engine that was unhealthy for a while and gets no calls after it has
// recovered.
func TestRecoveredEndpointGetsItsShare(t *testing.T) {
	reached := playFaulty(newTestPool(6), 2000, func(call int) Result {
		if call < 500 {
			return Result{Outcome: Broken, Duration: 5}
		}
		return Result{Outcome: Served, Duration: 50, AnswerStarted: true, Pace: 50}
	})
	require.Greater(t, reached, 120, "of 1000 calls, 166 by an equal share")
}

// Guards against a pool without a choice when all endpoints fail most calls.
func TestOutlierDetectionNeverEmptiesAPool(t *testing.T) {
	pool := newTestPool(3)
	for call := range 500 {
		now := bvclock.Time(1 + call*20)
		chosen, found := pool.Choose(now, &Request{})
		require.True(t, found)
		pool.BeginCall(now, chosen.Name, &Request{})
		pool.EndCall(now, chosen.Name, Result{Outcome: Served, Duration: 5, AnswerStarted: true, IsError: true})
	}
}

// Guards against a host that sends calls to an unhealthy endpoint which other hosts of its
// zone have already detected.
func TestHostsOfAZoneShareOutcomes(t *testing.T) {
	here, there := newTestPool(6), newTestPool(6)
	for range 20 {
		here.BeginCall(1, "e3", &Request{})
		here.EndCall(1, "e3", Result{Outcome: Served, Duration: 5, IsError: true})
	}
	for endpoint, report := range here.TakeOutcomeReports(1) {
		there.AddPeerReport(1, endpoint, report)
	}
	require.Empty(t, here.TakeOutcomeReports(1), "reported once")
	for range 100 {
		chosen, _ := there.Choose(2, &Request{})
		require.NotEqual(t, "e3", chosen.Name)
	}
}
