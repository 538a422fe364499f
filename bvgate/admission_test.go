package bvgate

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvverdict"
)

func refusals(effects []Effect) []Refusal {
	var refusals []Refusal
	for _, effect := range effects {
		if refusal, ok := effect.(Refusal); ok {
			refusals = append(refusals, refusal)
		}
	}
	return refusals
}

func TestFloodOfARivalIsTurnedAwayAndLeavesTheOthersQueueAlone(t *testing.T) {
	// A rival sends thousands of calls at once. Its own callers are told to
	// come back; a caller of the other member is served as its share allows.
	// In one bounded queue for all, the other member would be refused.
	engines := newEngines(4, 4)
	engines.pool.SetLimits(Limits{MaxQueued: 100, MaxBacklog: bvclock.Hour})
	for range 500 {
		engines.ask(Request{Member: "rival", OutputTokens: 50})
	}
	victim := engines.ask(Request{Member: "victim", OutputTokens: 50})
	refused := refusals(engines.tick())
	require.Len(t, refused, 400)
	require.Equal(t, bvverdict.Overloaded, refused[0].Err.Code())
	require.Equal(t, bvverdict.NotRun, refused[0].Err.Verdict())
	require.Positive(t, refused[0].Err.RetryAfter())
	require.Equal(t, "victim", engines.pool.calls[victim].request.Member)
}

func TestRequestThatCannotMakeItsDeadlineIsRefusedAtOnce(t *testing.T) {
	engines := newEngines(1, 1)
	for range 10 {
		engines.ask(Request{Member: "m", OutputTokens: 100})
	}
	engines.tick()
	engines.ask(Request{Member: "m", OutputTokens: 100, Deadline: 5000})
	refused := refusals(engines.tick())
	require.Len(t, refused, 1)
	require.Equal(t, bvverdict.Overloaded, refused[0].Err.Code())
	require.Zero(t, engines.now)
}

func TestNewProgramsAreTurnedAwayBeforeThoseUnderWay(t *testing.T) {
	engines := newEngines(1, 1)
	engines.pool.SetLimits(Limits{MaxBacklog: 5 * bvclock.Second})
	for range 20 {
		engines.ask(Request{Member: "m", AttainedService: 10, OutputTokens: 100})
	}
	require.Empty(t, refusals(engines.tick()))
	engines.ask(Request{Member: "m", OutputTokens: 100})
	require.Len(t, refusals(engines.tick()), 1)
}

func TestToldTimeToComeBackIsWithinTwiceTheWait(t *testing.T) {
	engines := newEngines(4, 4)
	for range 400 {
		engines.ask(Request{Member: "m", OutputTokens: 100})
	}
	engines.tick()
	for range 100 {
		engines.run()
		engines.tick()
	}
	engines.pool.SetLimits(Limits{MaxQueued: 1})
	engines.ask(Request{Member: "m", OutputTokens: 100})
	told := refusals(engines.tick())[0].Err.RetryAfter()
	asked := engines.now
	for len(engines.pool.waiting) > 0 {
		engines.run()
		engines.tick()
	}
	took := float64(engines.now.Sub(asked))
	require.InDelta(t, 1, float64(told)/took, 0.5)
}

func TestRateLimitSpreadsGrants(t *testing.T) {
	engines := newEngines(1, 100)
	engines.pool.SetMembers([]MemberShare{{Member: "m", Rate: 2}})
	engines.now = 10_000
	for range 10 {
		engines.ask(Request{Member: "m", AttainedService: 1, OutputTokens: 1})
	}
	engines.tick()
	require.Len(t, engines.started, 2)
	for engines.now < 12_000 {
		engines.now = engines.pool.NextTick()
		engines.tick()
	}
	require.Len(t, engines.started, 6)
}

func TestConcurrencyLimitLeavesSlotsToOthers(t *testing.T) {
	engines := newEngines(1, 4)
	engines.pool.SetMembers([]MemberShare{{Member: "a", Concurrency: 1}})
	for range 5 {
		engines.ask(Request{Member: "a", OutputTokens: 10})
		engines.ask(Request{Member: "b", OutputTokens: 10})
	}
	engines.tick()
	running := map[string]int{}
	for _, request := range engines.started {
		running[request.Member]++
	}
	require.Equal(t, map[string]int{"a": 1, "b": 3}, running)
}

func TestRepeatedCallsTakeATenthOfTheWork(t *testing.T) {
	// Answers are lost on their way, and the callers send each call again.
	// Unbounded, every call would be run twice and the load doubled for as
	// long as this goes on.
	engines := newEngines(4, 4)
	repeated, refused := 0, 0
	for range 4000 {
		first := engines.ask(Request{Member: "m", OutputTokens: 100})
		engines.tick()
		engines.pool.Finish(engines.now, Finish{ID: first, OutputTokens: 100})
		again := engines.ask(Request{Member: "m", OutputTokens: 100, Attempt: 1})
		refused += len(refusals(engines.tick()))
		if engines.pool.calls[again] != nil {
			repeated++
			engines.pool.Finish(engines.now, Finish{ID: again, OutputTokens: 100})
		}
		engines.now += 100
	}
	require.Equal(t, 4000, repeated+refused)
	require.InDelta(t, 400+retryCalls, repeated, 2)
}

func TestCallOfAContentThatFailedCountsAsRepeated(t *testing.T) {
	engines := newEngines(1, 4)
	first := engines.ask(Request{Member: "m", Fingerprint: 1, OutputTokens: 100})
	engines.tick()
	engines.pool.Finish(engines.now, Finish{ID: first, Outcome: Silent})
	require.True(t, engines.pool.repeats(engines.now, &Request{Member: "m", Fingerprint: 1}))
	require.False(t, engines.pool.repeats(engines.now, &Request{Member: "m", Fingerprint: 2}))
	later := engines.now.Add(failedKept + 1)
	require.False(t, engines.pool.repeats(later, &Request{Member: "m", Fingerprint: 1}))
}

func TestProgramsThatAreSentAwayFindTheirPlaceWhenTheyComeBack(t *testing.T) {
	// Twice as many programs begin as can be served. Callers are told when to
	// come back; they came back to find newcomers in their place, again and
	// again, until they gave up.
	engines := newEngines(4, 4)
	engines.pool.SetLimits(Limits{MaxBacklog: 5 * bvclock.Second})
	begun, returned, refusedAgain := 0, 0, 0
	var away []end
	asked := map[RequestID]Request{}
	begin := func(request Request) {
		asked[engines.ask(request)] = request
		for _, refusal := range refusals(engines.tick()) {
			if asked[refusal.Request].Deadline > 0 {
				refusedAgain++
			}
			away = append(away, end{at: engines.now.Add(refusal.Err.RetryAfter()), id: refusal.Request})
		}
	}
	for ; engines.now < 120_000; engines.now += 50 {
		for len(engines.ends) > 0 && engines.ends[0].at <= engines.now {
			engines.run()
		}
		for i := 0; i < len(away); i++ {
			if away[i].at <= engines.now {
				request := asked[away[i].id]
				request.Deadline = bvclock.Time(bvclock.Hour) // marks the return
				away = slices.Delete(away, i, i+1)
				returned++
				begin(request)
			}
		}
		if engines.now%100 == 0 {
			begun++
			begin(Request{Member: "m", Program: fmt.Sprint("p", begun), OutputTokens: 100})
		}
	}
	require.Greater(t, returned, 100)
	require.Less(t, float64(refusedAgain), 0.2*float64(returned))
}
