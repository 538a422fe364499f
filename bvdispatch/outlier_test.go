package bvdispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
)

// judged plays calls, one each 20 ms, at six endpoints of which e3 is ill, and
// returns how many of the last half reached it.
func judged(pool *Pool, calls int, ill func(call int) Result) (reached int) {
	for call := range calls {
		now := bvclock.Time(1 + call*20)
		request := &Request{}
		chosen, _ := pool.Choose(now, request)
		pool.BeginCall(now, chosen.Name, request)
		result := Result{Outcome: Served, Duration: 50, AnswerStarted: true, Pace: 50}
		if chosen.Name == "e3" {
			result = ill(call)
			if call >= calls/2 {
				reached++
			}
		}
		pool.EndCall(now, chosen.Name, result)
	}
	return reached
}

// Guards against partial failures that counting failures in a row never finds.
func TestEndpointThatFailsPartOfItsCallsGetsFew(t *testing.T) {
	reached := judged(newTestPool(6), 1000, func(call int) Result {
		if call%5 < 2 {
			return Result{Outcome: Served, Duration: 5, AnswerStarted: true, IsError: true}
		}
		return Result{Outcome: Served, Duration: 50, AnswerStarted: true, Pace: 50}
	})
	require.Less(t, reached, 40, "of 500 calls, 83 by an equal share")
}

// An engine takes eight times as long for each event, and fails nothing.
func TestSlowEndpointGetsFewCalls(t *testing.T) {
	reached := judged(newTestPool(6), 1000, func(int) Result {
		return Result{Outcome: Served, Duration: 400, AnswerStarted: true, Pace: 400}
	})
	require.Less(t, reached, 40)
}

// Guards against an engine that never answers, whose calls all end as withdrawn.
func TestEndpointThatHangsGetsFewCalls(t *testing.T) {
	reached := judged(newTestPool(6), 1000, func(int) Result {
		return Result{Outcome: Withdrawn, Duration: 2 * bvclock.Second}
	})
	require.Less(t, reached, 40)
}

// Callers that leave soon are no fault of the engine.
func TestCallersThatLeaveSayNothingOfTheEndpoint(t *testing.T) {
	reached := judged(newTestPool(6), 1000, func(int) Result {
		return Result{Outcome: Withdrawn, Duration: 200}
	})
	require.Greater(t, reached, 60)
}

// An engine that was ill for a while is well again and must get its share.
func TestEndpointThatIsWellAgainGetsItsShare(t *testing.T) {
	reached := judged(newTestPool(6), 2000, func(call int) Result {
		if call < 500 {
			return Result{Outcome: Broken, Duration: 5}
		}
		return Result{Outcome: Served, Duration: 50, AnswerStarted: true, Pace: 50}
	})
	require.Greater(t, reached, 120, "of 1000 calls, 166 by an equal share")
}

// All endpoints fail most calls: somebody still has to be asked.
func TestJudgementNeverEmptiesAPool(t *testing.T) {
	pool := newTestPool(3)
	for call := range 500 {
		now := bvclock.Time(1 + call*20)
		chosen, found := pool.Choose(now, &Request{})
		require.True(t, found)
		pool.BeginCall(now, chosen.Name, &Request{})
		pool.EndCall(now, chosen.Name, Result{Outcome: Served, Duration: 5, AnswerStarted: true, IsError: true})
	}
}

// A host that has no calls at an endpoint learns from those of its zone.
func TestHostsOfAZoneJudgeTogether(t *testing.T) {
	here, there := newTestPool(6), newTestPool(6)
	for range 20 {
		here.BeginCall(1, "e3", &Request{})
		here.EndCall(1, "e3", Result{Outcome: Served, Duration: 5, IsError: true})
	}
	for endpoint, report := range here.TakeOutcomeReports() {
		there.AddPeerReport(1, endpoint, report)
	}
	require.Empty(t, here.TakeOutcomeReports(), "told once")
	for range 100 {
		chosen, _ := there.Choose(2, &Request{})
		require.NotEqual(t, "e3", chosen.Name)
	}
}
