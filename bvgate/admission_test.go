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

func TestFloodOfOneMemberIsRefusedAndDoesNotFillTheQueueOfAnother(t *testing.T) {
	// A rival sends thousands of calls at once. Its excess calls are refused with a
	// retry time; a call of the other member is served as its share allows. With one
	// bounded queue for all members, the other member would be refused too.
	engines := newEngines(4, 4)
	engines.pool.SetLimits(Limits{MaxQueued: 100, MaxBacklog: bvclock.Hour})
	for range 500 {
		engines.submit(Request{Member: "rival", OutputTokens: 50})
	}
	victim := engines.submit(Request{Member: "victim", OutputTokens: 50})
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
		engines.submit(Request{Member: "m", OutputTokens: 100})
	}
	engines.tick()
	engines.submit(Request{Member: "m", OutputTokens: 100, Deadline: 5000})
	refused := refusals(engines.tick())
	require.Len(t, refused, 1)
	require.Equal(t, bvverdict.Overloaded, refused[0].Err.Code())
	require.Zero(t, engines.now)
}

func TestNewProgramsAreRefusedBeforeRunningOnes(t *testing.T) {
	engines := newEngines(1, 1)
	engines.pool.SetLimits(Limits{MaxBacklog: 5 * bvclock.Second})
	for range 20 {
		engines.submit(Request{Member: "m", AttainedService: 10, OutputTokens: 100})
	}
	require.Empty(t, refusals(engines.tick()))
	engines.submit(Request{Member: "m", OutputTokens: 100})
	require.Len(t, refusals(engines.tick()), 1)
}

func TestRetryAfterIsWithinHalfOfTheActualWait(t *testing.T) {
	engines := newEngines(4, 4)
	for range 400 {
		engines.submit(Request{Member: "m", OutputTokens: 100})
	}
	engines.tick()
	for range 100 {
		engines.finishNext()
		engines.tick()
	}
	engines.pool.SetLimits(Limits{MaxQueued: 1})
	engines.submit(Request{Member: "m", OutputTokens: 100})
	estimated := refusals(engines.tick())[0].Err.RetryAfter()
	submitted := engines.now
	for len(engines.pool.waiting) > 0 {
		engines.finishNext()
		engines.tick()
	}
	actual := float64(engines.now.Sub(submitted))
	require.InDelta(t, 1, float64(estimated)/actual, 0.5)
}

func TestRateLimitSpreadsGrants(t *testing.T) {
	engines := newEngines(1, 100)
	engines.pool.SetMembers([]MemberShare{{Member: "m", Rate: 2}})
	engines.now = 10_000
	for range 10 {
		engines.submit(Request{Member: "m", AttainedService: 1, OutputTokens: 1})
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
		engines.submit(Request{Member: "a", OutputTokens: 10})
		engines.submit(Request{Member: "b", OutputTokens: 10})
	}
	engines.tick()
	running := map[string]int{}
	for _, request := range engines.started {
		running[request.Member]++
	}
	require.Equal(t, map[string]int{"a": 1, "b": 3}, running)
}

func TestRetriesAreBoundedToATenthOfTheWork(t *testing.T) {
	// Answers are lost in transit, and callers retry each call. Without a retry budget
	// every call would run twice, which doubles the load for as long as answers are
	// lost.
	engines := newEngines(4, 4)
	repeated, refused := 0, 0
	for range 4000 {
		first := engines.submit(Request{Member: "m", OutputTokens: 100})
		engines.tick()
		engines.pool.Finish(engines.now, Finish{ID: first, OutputTokens: 100})
		again := engines.submit(Request{Member: "m", OutputTokens: 100, Attempt: 1})
		refused += len(refusals(engines.tick()))
		if engines.pool.calls[again] != nil {
			repeated++
			engines.pool.Finish(engines.now, Finish{ID: again, OutputTokens: 100})
		}
		engines.now += 100
	}
	require.Equal(t, 4000, repeated+refused)
	require.InDelta(t, 400+initialRetryCalls, repeated, 2)
}

func TestCallOfAContentThatFailedCountsAsRetry(t *testing.T) {
	engines := newEngines(1, 4)
	first := engines.submit(Request{Member: "m", Fingerprint: 1, OutputTokens: 100})
	engines.tick()
	engines.pool.Finish(engines.now, Finish{ID: first, Outcome: Silent})
	require.True(t, engines.pool.isRetry(engines.now, &Request{Member: "m", Fingerprint: 1}))
	require.False(t, engines.pool.isRetry(engines.now, &Request{Member: "m", Fingerprint: 2}))
	later := engines.now.Add(failureTTL + 1)
	require.False(t, engines.pool.isRetry(later, &Request{Member: "m", Fingerprint: 1}))
}

func TestRejectedProgramsAreServedWhenTheyRetry(t *testing.T) {
	// Twice as many programs arrive as can be served. When rejected programs retried,
	// new programs had taken their capacity; they were rejected again and again until
	// their callers stopped retrying.
	engines := newEngines(4, 4)
	engines.pool.SetLimits(Limits{MaxBacklog: 5 * bvclock.Second})
	arrived, retried, refusedAgain := 0, 0, 0
	var retries []end
	submitted := map[RequestID]Request{}
	submit := func(request Request) {
		submitted[engines.submit(request)] = request
		for _, refusal := range refusals(engines.tick()) {
			if submitted[refusal.Request].Deadline > 0 {
				refusedAgain++
			}
			retries = append(retries, end{at: engines.now.Add(refusal.Err.RetryAfter()), id: refusal.Request})
		}
	}
	for ; engines.now < 120_000; engines.now += 50 {
		for len(engines.ends) > 0 && engines.ends[0].at <= engines.now {
			engines.finishNext()
		}
		for i := 0; i < len(retries); i++ {
			if retries[i].at <= engines.now {
				request := submitted[retries[i].id]
				request.Deadline = bvclock.Time(bvclock.Hour) // marks a retry
				retries = slices.Delete(retries, i, i+1)
				retried++
				submit(request)
			}
		}
		if engines.now%100 == 0 {
			arrived++
			submit(Request{Member: "m", Program: fmt.Sprint("p", arrived), OutputTokens: 100})
		}
	}
	require.Greater(t, retried, 100)
	require.Less(t, float64(refusedAgain), 0.2*float64(retried))
}
