package bvdispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvmechanism"
)

// fakeTrackers answer with fixed counts and note what they are told.
type fakeTrackers struct {
	counts map[uint64]int
	asked  [][]uint64
	used   map[uint64]int
	held   map[uint64]HeldPrefix
	wanted []uint64
}

func (trackers *fakeTrackers) QueryHolding(_, conversation uint64) (endpoint uint64, tokens int, found bool) {
	trackers.wanted = append(trackers.wanted, conversation)
	held, found := trackers.held[conversation]
	return held.Endpoint, held.Tokens, found
}

func (trackers *fakeTrackers) ReportHolding(_, conversation, endpoint uint64, tokens int) {
	if trackers.held == nil {
		trackers.held = make(map[uint64]HeldPrefix)
	}
	trackers.held[conversation] = HeldPrefix{Endpoint: endpoint, Tokens: tokens}
}

func (trackers *fakeTrackers) QueryRunning(endpoints []uint64) map[uint64]int {
	trackers.asked = append(trackers.asked, endpoints)
	counts := make(map[uint64]int)
	for _, endpoint := range endpoints {
		if count, found := trackers.counts[endpoint]; found {
			counts[endpoint] = count
		}
	}
	return counts
}

func (trackers *fakeTrackers) ReportRunning(endpoint uint64, running int) {
	if trackers.used == nil {
		trackers.used = make(map[uint64]int)
	}
	trackers.used[endpoint] = running
}

// crowdedDispatcher is a dispatcher with engines that are thought to have ten of sixteen slots
// taken each.
func crowdedDispatcher(trackers Trackers) *Dispatcher {
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

// Guards against old digests by which hosts meet at full engines at a quarter of the load.
func TestTrackersAreAskedLongBeforeACrowd(t *testing.T) {
	trackers := &fakeTrackers{}
	dispatcher := crowdedDispatcher(trackers)
	loads := make(map[uint64]int)
	for _, engine := range engines(5) {
		loads[HashID(engine.ID())] = 4
	}
	dispatcher.SetPeerLoads(loads)
	_, found := dispatcher.Choose("model", prompt(1, 2))
	require.True(t, found)
	require.Len(t, trackers.asked, 1)
}

// Guards against a call that ignores the one engine with room.
func TestCallInACrowdGoesWhereTrackersTellOfRoom(t *testing.T) {
	trackers := &fakeTrackers{counts: make(map[uint64]int)}
	for _, engine := range engines(5) {
		trackers.counts[HashID(engine.ID())] = 16
	}
	trackers.counts[HashID("e3")] = 2
	dispatcher := crowdedDispatcher(trackers)
	for range 5 {
		chosen, found := dispatcher.Choose("model", prompt(1, 2))
		require.True(t, found)
		require.Equal(t, "e3", chosen.Name)
	}
	require.Equal(t, 5, trackers.used[HashID("e3")])
	dispatcher.EndCall("model", "e3", prompt(1, 2), Result{Outcome: Served, Duration: 300})
	require.Equal(t, 4, trackers.used[HashID("e3")])
}

// All trackers are cut off. Calls go by what digests told.
func TestCallIsSentThoughNoTrackerAnswers(t *testing.T) {
	dispatcher := crowdedDispatcher(&fakeTrackers{})
	reached := make(map[string]bool)
	for range 20 {
		chosen, found := dispatcher.Choose("model", &Request{})
		require.True(t, found)
		reached[chosen.Name] = true
	}
	require.Greater(t, len(reached), 1)
}

// Guards against a tracker's late word that sends a call to an endpoint that left or refused.
func TestTrackersWordDoesNotOpenAnEndpoint(t *testing.T) {
	pool := newTestPool(3)
	request := prompt(1, 2)
	request.Excluded = map[string]bool{"e0": true}
	request.PeerCalls = map[uint64]int{HashID("e0"): 0, HashID("gone"): 0}
	chosen, found := pool.Choose(1, request)
	require.True(t, found)
	require.NotEqual(t, "e0", chosen.Name)
}

// While nearly all engines are idle, any will do, and asking would only cost time.
func TestNobodyIsAskedWhileEnginesAreIdle(t *testing.T) {
	trackers := &fakeTrackers{}
	dispatcher := crowdedDispatcher(trackers)
	dispatcher.SetPeerLoads(nil)
	_, found := dispatcher.Choose("model", prompt(1, 2))
	require.True(t, found)
	require.Empty(t, trackers.asked)
}

func TestWithoutProbesNobodyIsAskedOrTold(t *testing.T) {
	trackers := &fakeTrackers{}
	dispatcher := crowdedDispatcher(trackers)
	dispatcher.Disable(bvmechanism.Set(0).With(bvmechanism.Probes))
	_, found := dispatcher.Choose("model", prompt(1, 2))
	require.True(t, found)
	require.Empty(t, trackers.asked)
	require.Empty(t, trackers.used)
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
		require.LessOrEqual(t, len(shortlist), shortlisted)
		require.Contains(t, shortlist, HashID("e7"))
	}
}

// Guards against a conversation that is read again since no digest has told of it yet.
func TestTurnFollowsItsConversationThroughAnotherHost(t *testing.T) {
	trackers := &fakeTrackers{}
	here, there := crowdedDispatcher(trackers), crowdedDispatcher(trackers)
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

// Guards against asking a tracker again that has already said that it knows nothing.
func TestTrackerOfANewProgramIsAskedOnce(t *testing.T) {
	trackers := &fakeTrackers{}
	dispatcher := crowdedDispatcher(trackers)
	request := prompt(1, 2)
	request.Program, request.Conversation = 7, 7
	require.False(t, dispatcher.HasEarlierTurns(request))
	for range 2 {
		_, found := dispatcher.Choose("model", request)
		require.True(t, found)
	}
	require.Len(t, trackers.wanted, 1)
}

// Calls of plain services belong to no conversation that an engine has.
func TestCallsOfServicesAskForNoHolder(t *testing.T) {
	trackers := &fakeTrackers{}
	dispatcher := crowdedDispatcher(trackers)
	_, found := dispatcher.Choose("model", &Request{})
	require.True(t, found)
	require.Empty(t, trackers.wanted)
}
