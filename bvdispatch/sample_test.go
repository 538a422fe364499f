package bvdispatch

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against many hosts that all send to the one engine that is reported idle.
func TestSurgeDoesNotGoToOneIdleEndpoint(t *testing.T) {
	const hosts, calls = 80, 100
	pools := make([]*Pool, hosts)
	loads := make(map[uint64]int)
	listed := engines(40)
	for i := range listed {
		loads[HashID(listed[i].Name)] = 12
	}
	loads[HashID(listed[17].Name)] = 1
	for i := range pools {
		pools[i] = NewPool(uint64(i), "")
		pools[i].SetEndpoints(listed)
		pools[i].SetPeerLoads(1, loads)
	}
	reached := make(map[string]int)
	for i := range calls {
		pool, request := pools[i%hosts], prompt(uint64(i%5), uint64(1000+i))
		chosen, found := pool.Choose(1, request)
		require.True(t, found)
		pool.BeginCall(1, chosen.Name, request)
		reached[chosen.Name]++
	}
	require.Positive(t, reached[listed[17].Name])
	for name, count := range reached {
		require.Less(t, count, 30, name)
	}
}

// Guards against conversations that leave the engine where they are cached because, under
// contention, it is not drawn.
func TestContentionDoesNotMoveConversations(t *testing.T) {
	pool := newTestPool(40)
	loads := make(map[uint64]int)
	for _, row := range pool.rows {
		loads[row.hash] = 12
	}
	pool.SetPeerLoads(1, loads)
	for session := range uint64(30) {
		request := prompt(session%5, 1000+session)
		first, _ := pool.Choose(1, request)
		pool.BeginCall(1, first.Name, request)
		next, _ := pool.Choose(1, request)
		require.Equal(t, first.Name, next.Name)
	}
}

// Guards against an empty sample after which a call goes to any endpoint, also a busy one.
func TestEmptySampleStillChoosesACheapEndpoint(t *testing.T) {
	pool := newTestPool(5)
	loads := make(map[uint64]int)
	for i, row := range pool.rows {
		loads[row.hash] = 40 - 5*i
	}
	pool.SetPeerLoads(1, loads)
	reached := make(map[string]int)
	for range 1000 {
		chosen, found := pool.Choose(1, &Request{})
		require.True(t, found)
		reached[chosen.Name]++
	}
	require.Less(t, reached["e0"], reached["e4"]/3)
}

// Samples are drawn as soon as the pool is contended.
func TestPoolIsContendedWhenHalfOfItsSlotsAreTaken(t *testing.T) {
	pool := newTestPool(1)
	for range 7 {
		pool.BeginCall(0, "e0", &Request{})
	}
	require.False(t, snapshot{loadShare: pool.loadShare(0)}.isContended())
	pool.BeginCall(0, "e0", &Request{})
	require.True(t, snapshot{loadShare: pool.loadShare(0)}.isContended())
}
