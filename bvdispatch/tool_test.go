package bvdispatch

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvroute"
)

// newToolPool returns a pool of tools that have reported a pace.
func newToolPool(count int) *Pool {
	pool := newTestPool(count)
	for _, row := range pool.rows {
		row.entry.Slots = 2
		pool.SetLoad(1, row.entry.ID(), bvroute.Load{Slots: 2, Pace: 100})
	}
	pool.tools.isTool = true
	return pool
}

func sendTool(pool *Pool, now bvclock.Time, request *Request) bvplatform.Endpoint {
	chosen, found := pool.Choose(now, request)
	if found {
		pool.BeginCall(now, chosen.ID(), request)
	}
	return chosen
}

// Guards against a call at an endpoint that is known to be full while another has a free slot.
func TestFullToolIsNotChosenWhileAnotherHasAFreeSlot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool, now := newToolPool(rapid.IntRange(2, 12).Draw(t, "endpoints")), bvclock.Time(1000)
		for _, row := range pool.rows {
			row.running = rapid.IntRange(0, 3).Draw(t, "own calls")
			row.setPeerCalls(now-bvclock.Time(rapid.IntRange(0, 50).Draw(t, "age")), rapid.IntRange(0, 3).Draw(t, "calls of others"))
			if rapid.Bool().Draw(t, "rejected") {
				pool.recordToolEnd(now, row, Full)
			}
			pool.setPace(now, now, row, rapid.IntRange(0, 900).Draw(t, "pace"), true)
		}
		chosen, found := pool.Choose(now, &Request{Tool: true, Once: rapid.Bool().Draw(t, "once")})
		require.True(t, found)
		if pool.byName[chosen.Name].isFull(now) {
			for _, row := range pool.rows {
				require.True(t, row.isFull(now))
			}
		}
	})
}

// Guards against rules that affect services whose endpoints report no pace, and model engines.
func TestChoicesWithoutToolsAreAsBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		isTool := rapid.Bool().Draw(t, "tool")
		pools := []*Pool{newTestPool(6), newTestPool(6)}
		pools[1].Disable(withoutTools)
		if !isTool {
			for _, pool := range pools {
				pool.SetLoad(1, "e0", bvroute.Load{Slots: 6, Pace: 250})
			}
		}
		for now := bvclock.Time(1); now < 60; now++ {
			outcome := rapid.SampledFrom([]Outcome{Served, Full, Unreachable, Broken}).Draw(t, "outcome")
			once, running := rapid.Bool().Draw(t, "once"), rapid.IntRange(0, 16).Draw(t, "running")
			var chosen [2]bvplatform.Endpoint
			for i, pool := range pools {
				request := &Request{Tool: isTool, Once: once}
				chosen[i] = sendTool(pool, now, request)
				pool.SetLoad(now, chosen[i].ID(), bvroute.Load{Running: running, Slots: 6})
				request.RecordSend(chosen[i].Name, outcome)
				require.True(t, request.Excluded[chosen[i].Name])
				pool.EndCall(now, chosen[i].ID(), Result{Outcome: outcome, Duration: 20})
			}
			require.Equal(t, chosen[1], chosen[0])
		}
	})
}

func TestRejectionMakesAToolFullUntilACallEnds(t *testing.T) {
	pool := newToolPool(1)
	sendTool(pool, 10, &Request{Tool: true})
	sendTool(pool, 10, &Request{Tool: true})
	pool.EndCall(12, "e0", Result{Outcome: Full})
	require.True(t, pool.isFullTool(13, pool.rows[0]))
	pool.EndCall(14, "e0", Result{Outcome: Served, Duration: 4})
	require.False(t, pool.isFullTool(14, pool.rows[0]))
}

// Guards against an endpoint that stays full because the calls there are those of other hosts.
func TestFewerCallsOfOtherHostsEndAToolsFullState(t *testing.T) {
	pool := newToolPool(1)
	pool.rows[0].entry.Slots = 6
	pool.rows[0].setPeerCalls(10, 5)
	sendTool(pool, 10, &Request{Tool: true})
	pool.EndCall(12, "e0", Result{Outcome: Full})
	pool.rows[0].setPeerCalls(13, 5)
	require.True(t, pool.isFullTool(13, pool.rows[0]))
	pool.rows[0].setPeerCalls(14, 4)
	require.False(t, pool.isFullTool(14, pool.rows[0]))
}

// Guards against an endpoint that stays full because no call of this host ends there.
func TestToolIsFullForABoundedTime(t *testing.T) {
	pool := newToolPool(1)
	sendTool(pool, 10, &Request{Tool: true})
	pool.EndCall(12, "e0", Result{Outcome: Full})
	require.True(t, pool.isFullTool(111, pool.rows[0]))
	require.False(t, pool.isFullTool(112, pool.rows[0]))
}

// Guards against a call that must not run twice and is sent to the last free slot of a fast endpoint.
func TestCallThatRunsOnceAvoidsRejectionsFirst(t *testing.T) {
	pool := newToolPool(2)
	pool.rows[0].setPeerCalls(1000, 1)
	pool.rows[1].setPeerCalls(1000, 0)
	pool.setPace(1000, 1000, pool.rows[0], 30, true)
	require.Equal(t, "e1", sendTool(pool, 1000, &Request{Tool: true, Once: true}).Name)
	pool.EndCall(1000, "e1", Result{Outcome: Withdrawn})
	require.Equal(t, "e0", sendTool(pool, 1000, &Request{Tool: true}).Name)
}

// Guards against calls that are sent again and again while all endpoints are full.
func TestRejectedCallWaitsAndIsThenRejected(t *testing.T) {
	pool, request, now := newToolPool(2), &Request{Tool: true}, bvclock.Time(10)
	for range 2 {
		chosen := sendTool(pool, now, request)
		request.RecordSend(chosen.Name, Full)
		require.True(t, request.MaySendAgain())
		pool.EndCall(now, chosen.ID(), Result{Outcome: Full})
	}
	for range 10 {
		_, found := pool.Choose(now, request)
		require.False(t, found)
		require.Equal(t, toolWait, request.SlotWait())
	}
	_, found := pool.Choose(now, request)
	require.False(t, found)
	require.Zero(t, request.SlotWait())
}

// Guards against unlimited sends, and against four rejections that end a call although other tools have free slots.
func TestOnlyUnexpectedRejectionsByToolsDoNotCountAsSends(t *testing.T) {
	sends := func(call toolCall, outcome Outcome) (sends int) {
		request := &Request{tool: call}
		for sent := true; sent; sent = request.MaySendAgain() {
			request.RecordSend("e", outcome)
			sends++
		}
		return sends
	}
	require.Equal(t, maxToolSends, sends(toolCall{byRules: true}, Full))
	require.Equal(t, maxSends, sends(toolCall{byRules: true, knownFull: true}, Full))
	require.Equal(t, maxSends, sends(toolCall{byRules: true}, Unreachable))
	require.Equal(t, maxSends, sends(toolCall{}, Full))
}

// Guards against a risk that falls with the number of calls.
func TestRiskOfARejectionGrowsWithCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots, variance := rapid.Float64Range(1, 64).Draw(t, "slots"), rapid.Float64Range(toolCountVariance, 100).Draw(t, "variance")
		calls := rapid.Float64Range(0, 100).Draw(t, "calls")
		risk, more := riskOfNoSlot(calls, slots, variance), riskOfNoSlot(calls+1, slots, variance)
		require.LessOrEqual(t, risk, more)
		require.GreaterOrEqual(t, risk, 0.0)
		require.LessOrEqual(t, more, 1.0)
	})
}
