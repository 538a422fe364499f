package bvdispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
)

// Guards against long common prefixes that every engine reads again and again: spread
// evenly, they evict each other from the engines' memory.
func TestPromptsWithACommonPrefixGoToFewEndpoints(t *testing.T) {
	const prefixes, calls = 16, 900
	pool := newTestPool(45)
	for i := range pool.rows {
		pool.rows[i].entry.Slots = 12
		pool.rows[i].entry.CacheTokens = 233_774
	}
	endpointsByPrefix := make(map[uint64]map[string]bool)
	var inFlight []string
	for i := range uint64(calls) {
		request := prompt(1+i%prefixes, 1000+i)
		request.Prefix[0].Tokens, request.PromptTokens = 12_600, 17_600
		chosen, _ := pool.Choose(0, request)
		pool.BeginCall(0, chosen.Name, request)
		if endpointsByPrefix[i%prefixes] == nil {
			endpointsByPrefix[i%prefixes] = make(map[string]bool)
		}
		endpointsByPrefix[i%prefixes][chosen.Name] = true
		if inFlight = append(inFlight, chosen.Name); len(inFlight) > 270 {
			pool.EndCall(0, inFlight[0], Result{Outcome: Served, Duration: 350})
			inFlight = inFlight[1:]
		}
	}
	total := 0
	for _, endpoints := range endpointsByPrefix {
		total += len(endpoints)
	}
	require.Less(t, total/prefixes, 15, "endpoints that a prefix was sent to, of 45")
}

// Guards against hosts that send prompts with a common prefix to different engines.
func TestHostsAgreeOnTheRendezvousOrder(t *testing.T) {
	here, there := NewPool(1, ""), NewPool(2, "")
	for _, pool := range []*Pool{here, there} {
		pool.SetEndpoints(engines(10))
		for key := range uint64(80) { // prefixes that fill an engine's memory
			pool.recordPrefix(0, prompt(key))
		}
	}
	for key := range uint64(20) {
		a, _ := here.Choose(0, prompt(key, 100))
		b, _ := there.Choose(0, prompt(key, 200))
		require.Equal(t, a.Name, b.Name)
	}
}

// Guards against gathering prompts on few engines where the memory of each holds all
// prefixes.
func TestAffinityIsOffWhereMemoryHoldsAllPrefixes(t *testing.T) {
	pool := NewPool(1, "near")
	listed := engines(10)
	listed[7].Zone = "near"
	pool.SetEndpoints(listed)
	for key := range uint64(20) {
		pool.recordPrefix(0, prompt(key))
		chosen, _ := pool.Choose(0, prompt(key, 100))
		require.Equal(t, "e7", chosen.Name)
	}
}

// Guards against calls for one object that spread over endpoints which don't have it cached.
func TestCallsForOneObjectGoToOneEndpoint(t *testing.T) {
	here, there := newTestPool(6), NewPool(2, "")
	there.SetEndpoints(engines(6))
	used, same := make(map[string]bool), 0
	for object := range uint64(60) {
		a, _ := here.Choose(0, &Request{Object: 1 + object*7919})
		b, _ := there.Choose(0, &Request{Object: 1 + object*7919})
		used[a.Name] = true
		if a.Name == b.Name {
			same++
		}
	}
	require.Len(t, used, 6)
	require.Equal(t, 60, same)
}

func TestIdlePrefixesAreDropped(t *testing.T) {
	pool := newTestPool(1)
	for key := range uint64(80) {
		pool.recordPrefix(0, prompt(key))
	}
	require.Positive(t, pool.affinityWeight(pool.rows[0]))
	pool.recordPrefix(bvclock.Time(prefixRetention)+1, prompt(500))
	require.Equal(t, 5000, pool.prefixTokens)
	require.Zero(t, pool.affinityWeight(pool.rows[0]))
}
