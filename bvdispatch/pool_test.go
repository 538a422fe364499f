package bvdispatch

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvroute"
)

func engines(count int) []bvplatform.Endpoint {
	listed := make([]bvplatform.Endpoint, count)
	for i := range listed {
		listed[i] = bvplatform.Endpoint{Name: fmt.Sprintf("e%d", i), Slots: 16, CacheTokens: 400_000}
	}
	return listed
}

func newTestPool(count int) *Pool {
	pool := NewPool(1, "")
	pool.SetEndpoints(engines(count))
	return pool
}

func prompt(keys ...uint64) *Request {
	request := &Request{}
	for _, key := range keys {
		request.Prefix = append(request.Prefix, bvroute.Part{Key: key, Tokens: 5000})
		request.PromptTokens += 5000
	}
	return request
}

func TestCallsSpreadOverIdleEndpoints(t *testing.T) {
	pool := newTestPool(4)
	for range 40 {
		chosen, found := pool.Choose(0, &Request{})
		require.True(t, found)
		pool.BeginCall(0, chosen.Name, &Request{})
	}
	for _, row := range pool.rows {
		require.InDelta(t, 10, row.running, 1)
	}
}

func TestCallGoesWhereItsPromptIsCached(t *testing.T) {
	pool := newTestPool(4)
	pool.BeginCall(0, "e2", prompt(1, 2))
	pool.EndCall(0, "e2", Result{Outcome: Served, Duration: 300})
	for range 20 {
		chosen, _ := pool.Choose(0, prompt(1, 2, 3))
		require.Equal(t, "e2", chosen.Name)
	}
}

// Guards against cached parts that count although a part before them is missing.
func TestPartBehindAMissingOneIsNotCached(t *testing.T) {
	pool := newTestPool(1)
	pool.BeginCall(0, "e0", prompt(2))
	require.Zero(t, pool.rows[0].cache.cachedTokens(prompt(1, 2).Prefix))
}

// Guards against a call that waits at a full engine for its cached prompt.
func TestCachedPromptDoesNotOutweighAFullEndpoint(t *testing.T) {
	pool := newTestPool(2)
	pool.duration.add(400)
	pool.BeginCall(0, "e0", prompt(1))
	for range 30 {
		pool.BeginCall(0, "e0", &Request{})
	}
	chosen, _ := pool.Choose(0, prompt(1))
	require.Equal(t, "e1", chosen.Name)
}

// Guards against an engine that looks idle although other hosts have filled it.
func TestOtherHostsCallsCount(t *testing.T) {
	pool := newTestPool(2)
	pool.SetPeerLoads(1, map[uint64]int{HashID("e0"): 12})
	for range 8 {
		chosen, _ := pool.Choose(1, &Request{})
		require.Equal(t, "e1", chosen.Name)
		pool.BeginCall(0, chosen.Name, &Request{})
	}
}

// Guards against prompts that are read again because this host ignores which endpoint got
// them from another host.
func TestPlacementOfAnotherHostIsUsed(t *testing.T) {
	pool := newTestPool(4)
	for _, part := range prompt(1, 2).Prefix {
		pool.AddPeerPlacement(HashID("e3"), []bvroute.Part{part})
	}
	chosen, _ := pool.Choose(0, prompt(1, 2, 3))
	require.Equal(t, "e3", chosen.Name)
}

func TestLeavingEndpointIsNotChosen(t *testing.T) {
	listed := engines(2)
	listed[0].State = bvplatform.HostLeaving
	pool := NewPool(1, "")
	pool.SetEndpoints(listed)
	for range 10 {
		chosen, found := pool.Choose(0, &Request{})
		require.True(t, found)
		require.Equal(t, "e1", chosen.Name)
	}
}

// Guards against a failing engine that attracts all calls because it has the fewest.
func TestFailingEndpointIsPaused(t *testing.T) {
	pool := newTestPool(2)
	for range 3 {
		pool.BeginCall(0, "e0", &Request{})
		pool.EndCall(0, "e0", Result{Outcome: Unreachable, Duration: 1})
	}
	for range 10 {
		chosen, _ := pool.Choose(1, &Request{})
		require.Equal(t, "e1", chosen.Name)
	}
	require.True(t, pool.byID("e0").isOpen(bvclock.Time(0).Add(maxPause+1)))
}

// Guards against a host that refuses all calls because all endpoints failed recently.
func TestPausesNeverEmptyAPool(t *testing.T) {
	pool := newTestPool(2)
	for _, name := range []string{"e0", "e1"} {
		for range 4 {
			pool.BeginCall(0, name, &Request{})
			pool.EndCall(0, name, Result{Outcome: Unreachable, Duration: 1})
		}
	}
	_, found := pool.Choose(1, &Request{})
	require.True(t, found)
}

func TestAvoidedEndpointsAreNotChosenAgain(t *testing.T) {
	pool := newTestPool(2)
	_, found := pool.Choose(0, &Request{Excluded: map[string]bool{"e0": true, "e1": true}})
	require.False(t, found)
}

func TestCacheEstimateStaysWithinTheEndpointsMemory(t *testing.T) {
	var cache cache
	for key := range uint64(100) {
		cache.recordPrompt(prompt(key).Prefix, 50_000)
		require.LessOrEqual(t, cache.tokens, 50_000)
	}
	require.Equal(t, 5000, cache.cachedTokens(prompt(99).Prefix))
	require.Zero(t, cache.cachedTokens(prompt(1).Prefix))
}

func TestMoreUrgentRouteAndRunningProgramGoFirst(t *testing.T) {
	require.Less(t, Urgency(0, false), Urgency(1, true))
	require.Less(t, Urgency(1, true), Urgency(1, false))
	require.LessOrEqual(t, Urgency(50, false), maxUrgency)
}

// Guards against a loss of the endpoints' state with each update of the list.
func TestNewListKeepsTheStateOfEndpoints(t *testing.T) {
	pool := newTestPool(2)
	pool.BeginCall(0, "e0", prompt(1))
	pool.SetEndpoints(engines(1))
	require.Equal(t, 1, pool.Len())
	require.Equal(t, 1, pool.byID("e0").running)
	pool.EndCall(0, "e1", Result{Outcome: Served, Duration: 1}) // its call ends after it was removed
}

// Guards against a conversation that is read again although its turn names the engine.
func TestTurnGoesWhereThePreviousOneRan(t *testing.T) {
	pool := newTestPool(8)
	request := prompt(1, 2, 3)
	request.HeldPrefix = HeldPrefix{Endpoint: HashID("e5"), Tokens: 12_000}
	chosen, _ := pool.Choose(0, request)
	require.Equal(t, "e5", chosen.Name)
	require.Equal(t, 12_000, request.CachedTokens)
}

// Guards against a turn without an endpoint after the engine of the previous turn was
// removed or has restarted.
func TestTurnWhoseFormerEngineIsGoneGoesAnywhere(t *testing.T) {
	pool := newTestPool(2)
	request := prompt(1, 2)
	request.HeldPrefix = HeldPrefix{Endpoint: HashID("gone"), Tokens: 5000}
	_, found := pool.Choose(0, request)
	require.True(t, found)
	require.Zero(t, request.CachedTokens)
}

// Guards against conversations that move to any engine that is idle for a moment.
func TestConversationDoesNotLeaveItsEngineForOneThatIsIdleAtTheMoment(t *testing.T) {
	pool := newTestPool(8)
	loads := make(map[uint64]int)
	for _, row := range pool.rows {
		loads[row.hash] = 3
	}
	loads[HashID("e6")] = 0
	pool.SetPeerLoads(1, loads)
	pool.reading.rate = 110 // the rate of these engines, once it is estimated
	request := prompt(1, 2)
	request.Prefix[1].Tokens, request.PromptTokens = 1500, 7100
	pool.AddPeerPlacement(HashID("e1"), request.Prefix)
	pool.AddPeerPlacement(HashID("e6"), request.Prefix[:1])
	chosen, _ := pool.Choose(1, request)
	require.Equal(t, "e1", chosen.Name)
}

// Guards against calls to an endpoint that is missing from the list for too long, while the list can't be read.
func TestRetainedEndpointIsNotChosenAfterItsTime(t *testing.T) {
	pool := NewPool(1, "z")
	pool.SetEndpoints([]bvplatform.Endpoint{{Name: "a", Address: "at-a", RetainedUntil: 100}})
	_, found := pool.Choose(99, &Request{})
	require.True(t, found)
	_, found = pool.Choose(100, &Request{})
	require.False(t, found, "neither regularly nor as the last resort")
}
