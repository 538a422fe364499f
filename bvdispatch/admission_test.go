package bvdispatch

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
)

// playOverload simulates programs of three turns that arrive at a pool at the given rate. As
// at the users' engines, sixteen calls run at once, each takes longer the more run beside
// it, and the others wait, started programs before new ones. It returns how many programs
// were in time, late and rejected.
func playOverload(admit bool, perSecond int) (inTime, late, rejected int) {
	const (
		turns     = 3
		idleTurn  = 300.0 // ms
		slowdown  = 0.5   // added to idleTurn with all slots taken, as a share
		pauseTurn = 60    // ms for tools
		slots     = 16
		goal      = 1.6*turns*(idleTurn+pauseTurn) + 200 // the users' sheets add 200 ms
		length    = 20_000                               // ms
	)
	type program struct {
		begunAt, nextTurnAt int
		doneTurns           int
		endpoint            string
		left                float64 // of the turn, in idle ms
	}
	pool := newTestPool(4)
	var programs []*program
	arrived := 0
	for now := 0; now < length; now++ {
		for ; arrived*1000 < now*perSecond; arrived++ {
			if _, ok := pool.Admit(bvclock.Time(now), NewProgram{Priority: 1}); admit && !ok {
				rejected++
				continue
			}
			programs = append(programs, &program{begunAt: now, nextTurnAt: now})
		}
		kept := programs[:0]
		slices.SortStableFunc(programs, func(a, b *program) int { return min(b.doneTurns, 1) - min(a.doneTurns, 1) })
		taken := make(map[string]int)
		for _, running := range programs {
			if running.endpoint == "" && running.nextTurnAt <= now {
				chosen, _ := pool.Choose(bvclock.Time(now), &Request{})
				pool.BeginCall(0, chosen.Name, &Request{})
				running.endpoint, running.left = chosen.Name, idleTurn
			}
			if running.endpoint != "" && taken[running.endpoint] < slots {
				taken[running.endpoint]++
				beside := float64(min(pool.byID(running.endpoint).running, slots)) / slots
				running.left -= 1 / (1 + slowdown*beside)
			}
			if running.endpoint != "" && running.left <= 0 {
				pool.EndCall(bvclock.Time(now), running.endpoint, Result{Outcome: Served, Duration: 300})
				running.endpoint, running.nextTurnAt = "", now+pauseTurn
				running.doneTurns++
			}
			switch {
			case running.doneTurns < turns:
				kept = append(kept, running)
			case float64(now-running.begunAt) <= goal:
				inTime++
			default:
				late++
			}
		}
		programs = kept
	}
	return inTime, late, rejected
}

// Guards against an overload in which all programs finish late: without admission control,
// new programs slow down the started ones, until none meets its goal.
func TestRejectionsKeepMoreProgramsInTimeUnderOverload(t *testing.T) {
	const perSecond = 60
	without, _, _ := playOverload(false, perSecond)
	with, late, rejected := playOverload(true, perSecond)
	require.Greater(t, with, 2*without, "in time without rejections: %d", without)
	require.Less(t, late, with/4)
	require.Positive(t, rejected)
}

func TestNoProgramIsRejectedWithoutOverload(t *testing.T) {
	inTime, late, rejected := playOverload(true, 20)
	require.Zero(t, rejected)
	require.Zero(t, late)
	require.Greater(t, inTime, 350)
}

func TestMostUrgentRouteHasReservedCapacity(t *testing.T) {
	pool := newTestPool(1)
	for range 20 {
		pool.BeginCall(0, "e0", &Request{})
	}
	_, admitted := pool.Admit(0, NewProgram{Priority: 1})
	require.False(t, admitted)
	_, admitted = pool.Admit(0, NewProgram{Priority: 0})
	require.True(t, admitted)
}

// Guards against rejected callers that all retry at the same time and overload the pool
// again.
func TestRetriesOfRejectedCallersAreSpreadOut(t *testing.T) {
	pool := newTestPool(1)
	for range 26 {
		pool.BeginCall(0, "e0", &Request{})
	}
	seen := make(map[bvclock.Duration]bool)
	for range 100 {
		retryAfter, admitted := pool.Admit(0, NewProgram{Priority: 0})
		require.False(t, admitted)
		require.GreaterOrEqual(t, retryAfter, minRetryAfter)
		require.Less(t, retryAfter, maxRetryAfter)
		seen[retryAfter] = true
	}
	require.Greater(t, len(seen), 50)
}

func TestPoolWithoutEndpointsIsNotOverloaded(t *testing.T) {
	_, admitted := NewPool(1, "").Admit(0, NewProgram{Priority: 1})
	require.True(t, admitted)
}
