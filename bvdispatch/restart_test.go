package bvdispatch

import (
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvlog"
	"balsamvalve.example/bvmeasure"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvroute"
	"balsamvalve.example/bvsuspect"
)

// start returns the entry of one start of an engine, which keeps its name.
func start(name, incarnation, address string) bvplatform.Endpoint {
	return bvplatform.Endpoint{Name: name, Incarnation: incarnation, Address: address, Slots: 16, CacheTokens: 400_000}
}

// Guards against a cache, load and failures of an engine's earlier start that still count
// after its restart.
func TestRestartedEngineHasNoCacheAndNoFailures(t *testing.T) {
	pool := NewPool(1, "")
	before := start("e0", "100", "10.0.0.1:1")
	pool.SetEndpoints([]bvplatform.Endpoint{before})
	pool.BeginCall(0, before.ID(), prompt(1, 2))
	for range 3 {
		pool.EndCall(0, before.ID(), Result{Outcome: Unreachable, Duration: 1})
	}
	pool.SetLoad(0, before.ID(), bvroute.Load{Running: 16, Waiting: 20, Slots: 16})
	after := start("e0", "200", "10.0.0.1:1")
	replaced := pool.SetEndpoints([]bvplatform.Endpoint{after})
	require.Equal(t, []Loss{{HashID(before.ID()), bvsuspect.Restarted}}, replaced)
	row := pool.byID(after.ID())
	require.Zero(t, row.cache.cachedTokens(prompt(1, 2).Prefix))
	require.Zero(t, row.load(1))
	require.True(t, row.isOpen(1))
}

// Guards against the end of a call to an earlier start that counts for the new start.
func TestLateEndOfACallBeforeTheRestartIsIgnored(t *testing.T) {
	pool := NewPool(1, "")
	before, after := start("e0", "100", "10.0.0.1:1"), start("e0", "200", "10.0.0.1:1")
	pool.SetEndpoints([]bvplatform.Endpoint{before})
	pool.BeginCall(0, before.ID(), prompt(1))
	pool.SetEndpoints([]bvplatform.Endpoint{after})
	pool.BeginCall(0, after.ID(), prompt(2))
	pool.SetLoad(1, before.ID(), bvroute.Load{Running: 16, Slots: 16})
	pool.EndCall(1, before.ID(), Result{Outcome: Unreachable, Duration: 1})
	row := pool.byID(after.ID())
	require.Equal(t, 1, row.running)
	require.True(t, row.isOpen(1))
	require.Zero(t, row.reportedOthers)
}

// Guards against a late digest of another host, with placements and calls at an earlier
// start, that counts for the new start.
func TestLatePlacementBeforeTheRestartIsIgnored(t *testing.T) {
	pool := NewPool(1, "")
	before, after := start("e0", "100", "10.0.0.1:1"), start("e0", "200", "10.0.0.1:1")
	pool.SetEndpoints([]bvplatform.Endpoint{after})
	pool.AddPeerPlacement(HashID(before.ID()), prompt(1).Prefix)
	pool.SetPeerLoads(1, map[uint64]int{HashID(before.ID()): 9})
	require.Zero(t, pool.byID(after.ID()).cache.cachedTokens(prompt(1).Prefix))
	require.Zero(t, pool.byID(after.ID()).load(1))
}

// Guards against a restart that is missed because the entry has no incarnation: another
// address under the same name indicates it.
func TestEngineAtAnotherAddressCountsAsRestarted(t *testing.T) {
	pool := NewPool(1, "")
	before, after := start("e0", "", "10.0.0.1:1"), start("e0", "", "10.0.0.2:1")
	pool.SetEndpoints([]bvplatform.Endpoint{before})
	pool.BeginCall(0, before.ID(), prompt(1))
	pool.SetEndpoints([]bvplatform.Endpoint{after})
	require.Zero(t, pool.byID(after.ID()).cache.cachedTokens(prompt(1).Prefix))
}

// Guards against a missed crash that only the list of endpoints shows.
func TestEngineThatRestartsDuringARequestCountsAsCrashed(t *testing.T) {
	clock := &bvclock.Manual{}
	dispatcher := NewDispatcher(clock, 1, "")
	suspects := bvsuspect.New(clock, nil, bvmeasure.New(), bvlog.New(io.Discard))
	dispatcher.SetObserver(suspects)
	content := bvsuspect.Content{Request: bvsuspect.Fingerprint{Exact: 7, AnyQuery: 7}}
	for number := range 3 {
		name := string(rune('a' + number))
		before, after := start(name, "100", "10.0.0.1:1"), start(name, "200", "10.0.0.1:1")
		before.Serves, after.Serves = "s", "s"
		dispatcher.SetEndpoints([]bvplatform.Endpoint{before})
		suspects.RecordBrokenCall(bvsuspect.BrokenCall{Content: content, Endpoint: HashID(before.ID())})
		require.NotEqual(t, bvsuspect.Denied, suspects.Decide(content).Access)
		dispatcher.SetEndpoints([]bvplatform.Endpoint{after})
	}
	require.Equal(t, bvsuspect.Denied, suspects.Decide(content).Access)
}
