package bvbudget

import (
	"context"
	"maps"
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"balsamvalve.example/bvclock"
)

// testPause is a pause between two turns that is shorter than the retention time of the tests'
// turns.
const testPause = 50 * bvclock.Second

// pause lets time pass as between two turns: all hosts release idle budgets, and rows are swept.
func (cluster *cluster) pause(t require.TestingT, duration bvclock.Duration) {
	cluster.clock.Advance(duration)
	for _, host := range slices.Sorted(maps.Keys(cluster.allocators)) {
		cluster.allocators[host].ReleaseIdle(context.Background())
	}
	cluster.sweepAll(t)
}

// sweepAll removes expired rows of all parts.
func (cluster *cluster) sweepAll(t require.TestingT) {
	rows, err := cluster.store.Memory.Scan(context.Background(), "budget/", "", math.MaxInt)
	require.NoError(t, err)
	for _, row := range rows {
		record, err := decodeRecord(row.Value)
		require.NoError(t, err)
		for record.Expires < cluster.allocators["a"].wallTime().Unix() && cluster.rowCount(t) > 0 {
			_, err = cluster.allocators["a"].Sweep(context.Background()) // of a part drawn at random
			require.NoError(t, err)
		}
	}
}

func (cluster *cluster) rowCount(t require.TestingT) int {
	rows, err := cluster.store.Memory.Scan(context.Background(), "budget/", "", math.MaxInt)
	require.NoError(t, err)
	return len(rows)
}

// turn has a program's turn deliver some events, and reports whether it got its tokens.
func (cluster *cluster) turn(host string, events int) bool {
	if cluster.reserve(host, "p") != nil {
		return false
	}
	cluster.spendAndClose(len(cluster.reservations)-1, events)
	return true
}

const wholeTurn = testMaxTokens / testEventTokens

// Guards against a row that a host removes though its program goes on elsewhere.
func TestRowOfAProgramThatGoesOnElsewhereIsKept(t *testing.T) {
	cluster, _ := newGrantorCluster()
	cluster.isolated = true // the grantor can't be reached
	for cluster.turn("b", wholeTurn) {
	}
	cluster.isolated = false
	for range 2 {
		require.True(t, cluster.turn("c", wholeTurn))
		cluster.pause(t, testPause)
	}
	for cluster.turn("c", wholeTurn) {
	}
	require.LessOrEqual(t, cluster.delivered["p"], testBudget+testMaxTokens)
}

// Guards against a host that is credited again with what it had reserved and spent.
func TestHostIsNotCreditedAgainAfterAPause(t *testing.T) {
	cluster := newCluster()
	for range 2 {
		require.True(t, cluster.turn("a", wholeTurn))
	}
	cluster.pause(t, testPause)
	require.True(t, cluster.turn("b", wholeTurn))
	cluster.pause(t, testPause)
	for cluster.turn("a", wholeTurn) {
	}
	require.LessOrEqual(t, cluster.delivered["p"], testBudget)
}

// Guards against rows and accounts that are never removed.
func TestRowIsRemovedAfterItsRetention(t *testing.T) {
	cluster := newCluster()
	require.True(t, cluster.turn("a", wholeTurn))
	require.Equal(t, 1, cluster.rowCount(t))
	turn := Turn{Budget: testBudget, MaxTokens: testMaxTokens, MinTokens: testEventTokens, Retain: bvclock.Minute}
	cluster.pause(t, turn.rowRetention()-bvclock.Second)
	require.Equal(t, 1, cluster.rowCount(t))
	require.Equal(t, 1, cluster.allocators["a"].Len())
	cluster.pause(t, 3*bvclock.Second)
	require.Zero(t, cluster.rowCount(t))
	require.Zero(t, cluster.allocators["a"].Len())
}

// Guards against rows without an entry, which say nothing, that are kept as long as others.
func TestRowWithoutEntriesIsRemovedSoon(t *testing.T) {
	cluster := newCluster()
	require.True(t, cluster.turn("a", 0))
	cluster.pause(t, bvclock.Second) // returns the unspent tokens
	require.Equal(t, 1, cluster.rowCount(t))
	cluster.pause(t, bvclock.Minute+expiryMargin+bvclock.Second)
	require.Zero(t, cluster.rowCount(t))
	require.Zero(t, cluster.allocators["a"].Len())
}

// Guards against a grantor that forgets what it has granted while a host still spends it.
func TestGrantOfAProgramThatGoesOnElsewhereIsKept(t *testing.T) {
	cluster, _ := newGrantorCluster()
	const budget = 20 * testMaxTokens // large enough for a block of several turns
	turn := func(host string, events int) bool {
		reservation, err := cluster.allocators[host].Reserve(context.Background(), Turn{
			Program: "p", Budget: budget, MaxTokens: testMaxTokens, MinTokens: testEventTokens, Retain: bvclock.Minute,
		})
		if err != nil {
			return false
		}
		cluster.reservations = append(cluster.reservations, reservation)
		cluster.spendAndClose(len(cluster.reservations)-1, events)
		return true
	}
	require.True(t, turn("c", 1)) // a block of several turns
	for range 4 {
		require.True(t, turn("b", wholeTurn))
	}
	for range 6 {
		require.True(t, turn("c", 1))
		cluster.pause(t, testPause)
	}
	for turn("c", wholeTurn) {
	}
	require.LessOrEqual(t, cluster.delivered["p"], budget+testMaxTokens)
}

// Guards against a budget of any size whose row's retention overflows, and expires at once.
func TestRetentionOfAnEnormousBudgetIsBounded(t *testing.T) {
	turn := Turn{Budget: math.MaxInt, MaxTokens: math.MaxInt, Retain: bvclock.Minute}
	require.Equal(t, (2*maxRowTurns+3)*(bvclock.Minute+expiryMargin), turn.rowRetention())
	turn = Turn{Budget: -math.MaxInt, MaxTokens: 0, Retain: bvclock.Minute}
	require.Positive(t, turn.rowRetention())
}

// Guards against budgets that are given out again over pauses, restarts and outages.
func TestBudgetHoldsOverPauses(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cluster := newCluster()
		playPauses(rt, cluster, cluster.restart, testBudget)
	})
}

// Guards against the same where a host grants one half from memory.
func TestHalvesHoldOverPauses(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cluster, grantor := newGrantorCluster()
		cluster.retained["p"] = rapid.Bool().Draw(rt, "retained")
		restart := func(host string) { grantor.restart(host, rapid.Bool().Draw(rt, "planned")) }
		playPauses(rt, cluster, restart, testBudget+testMaxTokens)
	})
}

// playPauses has a program pause and return through any host, and checks what it gets.
func playPauses(rt *rapid.T, cluster *cluster, restart func(host string), limit int) {
	hosts := rapid.SampledFrom([]string{"a", "b", "c"})
	rt.Repeat(map[string]func(*rapid.T){
		"turn": func(rt *rapid.T) {
			cluster.turn(hosts.Draw(rt, "host"), rapid.SampledFrom([]int{1, wholeTurn / 2, wholeTurn, wholeTurn}).Draw(rt, "events"))
		},
		"pause": func(rt *rapid.T) {
			cluster.pause(rt, testPause)
			cluster.turn(hosts.Draw(rt, "host"), wholeTurn) // the program returns in time
		},
		"restart": func(rt *rapid.T) {
			restart(hosts.Draw(rt, "host"))
		},
		"isolate": func(*rapid.T) {
			cluster.isolated = !cluster.isolated
		},
		"": func(rt *rapid.T) {
			require.LessOrEqual(rt, cluster.delivered["p"], limit)
		},
	})
}
