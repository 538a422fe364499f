package bvdispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvadmission"
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvmechanism"
)

// fakeTrackers answers with fixed counts and records queries and reports.
type fakeTrackers struct {
	refusals      map[uint64]bvadmission.Refusal
	counts        map[uint64]int
	queries       [][]uint64
	reported      map[uint64]int
	held          map[uint64]HeldPrefix
	holderQueries []uint64
	silent        bool // they don't answer queries for holders
}

func (trackers *fakeTrackers) QueryHolding(program, conversation uint64) (endpoint uint64, tokens int, found, answered bool, refusal bvadmission.Refusal) {
	trackers.holderQueries = append(trackers.holderQueries, conversation)
	held, found := trackers.held[conversation]
	return held.Endpoint, held.Tokens, found, !trackers.silent, trackers.refusals[program]
}

func (trackers *fakeTrackers) ReportRefusal(program uint64, refusal bvadmission.Refusal) {
	trackers.refusals = map[uint64]bvadmission.Refusal{program: refusal}
}

func (trackers *fakeTrackers) ReportHolding(_, conversation, endpoint uint64, tokens int) {
	if trackers.held == nil {
		trackers.held = make(map[uint64]HeldPrefix)
	}
	trackers.held[conversation] = HeldPrefix{Endpoint: endpoint, Tokens: tokens}
}

func (trackers *fakeTrackers) QueryRunning(endpoints []uint64) map[uint64]int {
	trackers.queries = append(trackers.queries, endpoints)
	counts := make(map[uint64]int)
	for _, endpoint := range endpoints {
		if count, found := trackers.counts[endpoint]; found {
			counts[endpoint] = count
		}
	}
	return counts
}

func (trackers *fakeTrackers) ReportRunning(endpoint uint64, running int) {
	if trackers.reported == nil {
		trackers.reported = make(map[uint64]int)
	}
	trackers.reported[endpoint] = running
}

// busyDispatcher returns a dispatcher with engines that are reported to have ten of sixteen
// slots taken each.
func busyDispatcher(trackers Trackers) *Dispatcher {
	clock := &bvclock.Manual{}
	clock.Advance(bvclock.Minute)
	dispatcher := NewDispatcher(clock, 1, "")
	listed := engines(5)
	loads := make(map[uint64]int)
	for i := range listed {
		listed[i].Serves = "model"
		loads[HashID(listed[i].ID())] = 10
	}
	dispatcher.SetTrackers(trackers)
	dispatcher.SetEndpoints(listed)
	dispatcher.SetPeerLoads(loads)
	return dispatcher
}

// Guards against hosts that, because digests are old, send their calls to the same engines
// and fill them at a quarter of the load.
func TestTrackersAreQueriedLongBeforeContention(t *testing.T) {
	trackers := &fakeTrackers{}
	dispatcher := busyDispatcher(trackers)
	loads := make(map[uint64]int)
	for _, engine := range engines(5) {
		loads[HashID(engine.ID())] = 4
	}
	dispatcher.SetPeerLoads(loads)
	_, found := dispatcher.Choose("model", prompt(1, 2))
	require.True(t, found)
	require.Len(t, trackers.queries, 1)
}

// Guards against a call that ignores the one engine with free slots.
func TestCallGoesWhereTrackersReportFreeSlots(t *testing.T) {
	trackers := &fakeTrackers{counts: make(map[uint64]int)}
	for _, engine := range engines(5) {
		trackers.counts[HashID(engine.ID())] = 16
	}
	trackers.counts[HashID("e3")] = 2
	dispatcher := busyDispatcher(trackers)
	for range 5 {
		chosen, found := dispatcher.Choose("model", prompt(1, 2))
		require.True(t, found)
		require.Equal(t, "e3", chosen.Name)
	}
	require.Equal(t, 5, trackers.reported[HashID("e3")])
	dispatcher.EndCall("model", "e3", prompt(1, 2), Result{Outcome: Served, Duration: 300})
	require.Equal(t, 4, trackers.reported[HashID("e3")])
}

// Guards against a call without an endpoint when no tracker is reachable: decisions then
// use the counts from digests.
func TestCallIsSentThoughNoTrackerAnswers(t *testing.T) {
	dispatcher := busyDispatcher(&fakeTrackers{})
	reached := make(map[string]bool)
	for range 20 {
		chosen, found := dispatcher.Choose("model", &Request{})
		require.True(t, found)
		reached[chosen.Name] = true
	}
	require.Greater(t, len(reached), 1)
}

// Guards against a tracker's late count that sends a call to an endpoint which was removed
// or has refused the call.
func TestTrackerCountsDoNotReopenAnEndpoint(t *testing.T) {
	pool := newTestPool(3)
	request := prompt(1, 2)
	request.Excluded = map[string]bool{"e0": true}
	request.PeerCalls = map[uint64]int{HashID("e0"): 0, HashID("gone"): 0}
	chosen, found := pool.Choose(1, request)
	require.True(t, found)
	require.NotEqual(t, "e0", chosen.Name)
}

// Guards against needless queries: while nearly all engines are idle, any of them will do,
// and a query only costs time.
func TestNoTrackerIsQueriedWhileEnginesAreIdle(t *testing.T) {
	trackers := &fakeTrackers{}
	dispatcher := busyDispatcher(trackers)
	dispatcher.SetPeerLoads(nil)
	_, found := dispatcher.Choose("model", prompt(1, 2))
	require.True(t, found)
	require.Empty(t, trackers.queries)
}

func TestWithoutProbesTrackersAreNotUsed(t *testing.T) {
	trackers := &fakeTrackers{}
	dispatcher := busyDispatcher(trackers)
	dispatcher.Disable(bvmechanism.Set(0).With(bvmechanism.Probes))
	_, found := dispatcher.Choose("model", prompt(1, 2))
	require.True(t, found)
	require.Empty(t, trackers.queries)
	require.Empty(t, trackers.reported)
}

// Guards against a shortlist that misses the engine with the conversation.
func TestEngineWithTheConversationIsShortlisted(t *testing.T) {
	pool := newTestPool(40)
	loads := make(map[uint64]int)
	for _, row := range pool.rows {
		loads[row.hash] = 12
	}
	pool.SetPeerLoads(1, loads)
	pool.BeginCall(1, "e7", prompt(1, 2))
	for range 50 {
		shortlist := pool.Shortlist(1, prompt(1, 2, 3))
		require.LessOrEqual(t, len(shortlist), shortlistSize)
		require.Contains(t, shortlist, HashID("e7"))
	}
}

// Guards against a conversation that is read again because no digest has reported its
// engine yet.
func TestTurnFollowsItsConversationThroughAnotherHost(t *testing.T) {
	trackers := &fakeTrackers{}
	here, there := busyDispatcher(trackers), busyDispatcher(trackers)
	for conversation := uint64(1); conversation < 30; conversation++ {
		first := prompt(conversation%3, 1000+conversation)
		first.Program, first.Conversation = conversation, conversation
		chosen, _ := here.Choose("model", first)
		here.EndCall("model", chosen.Name, first, Result{Outcome: Served, Duration: 300, OutputTokens: 200})
		require.False(t, there.HasEarlierTurns(&Request{Program: 1000, Conversation: 1000}))
		next := prompt(conversation%3, 1000+conversation, 2000+conversation)
		next.Program, next.Conversation = conversation, conversation
		require.True(t, there.HasEarlierTurns(next))
		followed, _ := there.Choose("model", next)
		require.Equal(t, chosen.Name, followed.Name)
		there.EndCall("model", followed.Name, next, Result{Outcome: Served, Duration: 300})
	}
}

// Guards against a started program that counts as new because its tracker was slow.
func TestProgramWhoseTrackerDoesNotAnswerMayHaveEarlierTurns(t *testing.T) {
	for _, silent := range []bool{false, true} {
		dispatcher := busyDispatcher(&fakeTrackers{silent: silent})
		request := prompt(1, 2)
		request.Program, request.Conversation = 7, 7
		require.Equal(t, silent, dispatcher.MayHaveEarlierTurns(request))
		require.False(t, dispatcher.HasEarlierTurns(request))
	}
}

// Guards against a second query to a tracker that has answered that it knows no holder.
func TestTrackerOfANewProgramIsQueriedOnce(t *testing.T) {
	trackers := &fakeTrackers{}
	dispatcher := busyDispatcher(trackers)
	request := prompt(1, 2)
	request.Program, request.Conversation = 7, 7
	require.False(t, dispatcher.HasEarlierTurns(request))
	for range 2 {
		_, found := dispatcher.Choose("model", request)
		require.True(t, found)
	}
	require.Len(t, trackers.holderQueries, 1)
}

// Guards against needless queries: calls to plain services belong to no conversation.
func TestCallsOfPlainServicesQueryNoHolder(t *testing.T) {
	trackers := &fakeTrackers{}
	dispatcher := busyDispatcher(trackers)
	_, found := dispatcher.Choose("model", &Request{})
	require.True(t, found)
	require.Empty(t, trackers.holderQueries)
}
