package bvdispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
)

// manyEngines returns the engines of a fleet in six availability zones.
func manyEngines(count int) []bvplatform.Endpoint {
	listed := make([]bvplatform.Endpoint, count)
	for i := range listed {
		listed[i] = bvplatform.Endpoint{Name: fmt.Sprintf("e%05d", i), Zone: fmt.Sprintf("z%d", i%6), Slots: 6, CacheTokens: 190_000}
	}
	return listed
}

// Guards against decisions whose cost grows with the fleet.
func TestDecisionComparesFewOfManyEndpoints(t *testing.T) {
	for _, count := range []int{2000, 20_000} {
		pool := NewPool(1, "z1")
		pool.SetEndpoints(manyEngines(count))
		request := prompt(1, 2)
		chosen, found := pool.Choose(0, request)
		require.True(t, found)
		pool.BeginCall(0, chosen.ID(), request)
		require.LessOrEqual(t, len(pool.candidates(request)), zoneSampleSize+fleetSampleSize+rendezvousRows+maxRecentRows)
	}
}

// Guards against a conversation that moves because its engine is not among the candidates.
func TestConversationStaysAtItsEngineAmongMany(t *testing.T) {
	pool := NewPool(1, "z1")
	listed := manyEngines(8000)
	pool.SetEndpoints(listed)
	for i := range 50 {
		engine := listed[i*151]
		request := prompt(uint64(i), uint64(1000+i))
		request.PromptTokens = 14_000
		request.HeldPrefix = HeldPrefix{Endpoint: HashID(engine.ID()), Tokens: 14_000}
		chosen, found := pool.Choose(0, request)
		require.True(t, found)
		require.Equal(t, engine.Name, chosen.Name)
	}
}

// Guards against calls that pile up at one engine of a fleet that is nearly idle.
func TestCallsOfManyHostsSpreadOverAFleet(t *testing.T) {
	const hosts, seconds = 200, 10
	listed := manyEngines(1600)
	pools := make([]*Pool, hosts)
	for i := range pools {
		pools[i] = NewPool(uint64(i), fmt.Sprintf("z%d", i%6))
		pools[i].SetEndpoints(listed)
	}
	random := rand.New(rand.NewPCG(1, 1))
	running, most := make(map[string]int), 0
	type call struct {
		host int
		name string
	}
	var inFlight []call // each for half a second
	for step := range seconds * 200 {
		now := bvclock.Time(1000 + 5*step)
		host := random.IntN(hosts)
		request := prompt(uint64(random.IntN(16)), uint64(step)+1000)
		request.PromptTokens = 14_000
		chosen, found := pools[host].Choose(now, request)
		require.True(t, found)
		pools[host].BeginCall(now, chosen.ID(), request)
		running[chosen.Name]++
		most = max(most, running[chosen.Name])
		inFlight = append(inFlight, call{host, chosen.ID()})
		if len(inFlight) > 100 {
			ended := inFlight[0]
			inFlight = inFlight[1:]
			running[ended.name]--
			pools[ended.host].EndCall(now, ended.name, Result{Outcome: Served, Duration: 500})
		}
	}
	require.LessOrEqual(t, most, 6, "no engine has more calls than slots")
}

// Guards against a new connection for each call where many endpoints are idle.
func TestHostCallsWhereItHasConnections(t *testing.T) {
	pool := NewPool(1, "z1")
	pool.SetEndpoints(manyEngines(8000))
	opened, lastCall := 0, make(map[string]bvclock.Time)
	for step := range 200 {
		now := bvclock.Time(1000 + 500*step)
		request := &Request{}
		chosen, found := pool.Choose(now, request)
		require.True(t, found)
		if last, found := lastCall[chosen.ID()]; !found || now.Sub(last) > connectionLifetime {
			opened++
		}
		pool.BeginCall(now, chosen.ID(), request)
		pool.EndCall(now, chosen.ID(), Result{Outcome: Served, Duration: 50})
		lastCall[chosen.ID()] = now
	}
	require.LessOrEqual(t, opened, 10)
}

// Guards against an endpoint that is chosen after it was removed from a long list.
func TestEndpointThatLeftALongListIsNotChosen(t *testing.T) {
	pool := NewPool(1, "z1")
	pool.SetEndpoints(manyEngines(2000))
	request := prompt(1)
	for range 100 {
		chosen, found := pool.Choose(0, request)
		require.True(t, found)
		pool.BeginCall(0, chosen.ID(), request)
		pool.RemoveEndpoint(chosen.Name)
		require.NotContains(t, pool.recent, pool.byName[chosen.Name])
		for _, row := range pool.candidates(request) {
			require.NotEqual(t, chosen.Name, row.entry.Name)
		}
	}
}
