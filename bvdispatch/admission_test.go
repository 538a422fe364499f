package bvdispatch

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
)

// crowd plays programs of three turns that arrive at a pool faster than it can
// serve them in time. As at the users' engines, sixteen calls run at once, each
// takes longer the more run beside it, and the others wait, programs under way
// before new ones. It returns how many programs were in time, late and turned
// away.
func crowd(admit bool, perSecond int) (inTime, late, away int) {
	const (
		turns     = 3
		idleTurn  = 300.0 // ms
		crowded   = 0.5   // added to idleTurn with all slots taken, as a share
		pauseTurn = 60    // ms for tools
		slots     = 16
		aim       = 1.6*turns*(idleTurn+pauseTurn) + 200 // the users' sheets add 200 ms
		length    = 20_000                               // ms
	)
	type program struct {
		begun, wakes int
		turns        int
		endpoint     string
		left         float64 // of the turn, in idle ms
	}
	pool := newTestPool(4)
	var programs []*program
	arrived := 0
	for now := 0; now < length; now++ {
		for ; arrived*1000 < now*perSecond; arrived++ {
			if _, ok := pool.Admit(bvclock.Time(now), NewProgram{Priority: 1}); admit && !ok {
				away++
				continue
			}
			programs = append(programs, &program{begun: now, wakes: now})
		}
		kept := programs[:0]
		slices.SortStableFunc(programs, func(a, b *program) int { return min(b.turns, 1) - min(a.turns, 1) })
		taken := make(map[string]int)
		for _, running := range programs {
			if running.endpoint == "" && running.wakes <= now {
				chosen, _ := pool.Choose(bvclock.Time(now), &Request{})
				pool.BeginCall(0, chosen.Name, &Request{})
				running.endpoint, running.left = chosen.Name, idleTurn
			}
			if running.endpoint != "" && taken[running.endpoint] < slots {
				taken[running.endpoint]++
				beside := float64(min(pool.byID(running.endpoint).running, slots)) / slots
				running.left -= 1 / (1 + crowded*beside)
			}
			if running.endpoint != "" && running.left <= 0 {
				pool.EndCall(bvclock.Time(now), running.endpoint, Result{Outcome: Served, Duration: 300})
				running.endpoint, running.wakes = "", now+pauseTurn
				running.turns++
			}
			switch {
			case running.turns < turns:
				kept = append(kept, running)
			case float64(now-running.begun) <= aim:
				inTime++
			default:
				late++
			}
		}
		programs = kept
	}
	return inTime, late, away
}

// Guards against a crowd in which all programs are served late.
func TestInACrowdMoreProgramsAreInTimeWhenSomeAreTurnedAway(t *testing.T) {
	const perSecond = 60
	without, _, _ := crowd(false, perSecond)
	with, late, away := crowd(true, perSecond)
	require.Greater(t, with, 2*without, "in time without turning away: %d", without)
	require.Less(t, late, with/4)
	require.Positive(t, away)
}

func TestNobodyIsTurnedAwayWithoutACrowd(t *testing.T) {
	inTime, late, away := crowd(true, 20)
	require.Zero(t, away)
	require.Zero(t, late)
	require.Greater(t, inTime, 350)
}

func TestMostUrgentRouteFindsRoomThatOthersLeave(t *testing.T) {
	pool := newTestPool(1)
	for range 20 {
		pool.BeginCall(0, "e0", &Request{})
	}
	_, admitted := pool.Admit(0, NewProgram{Priority: 1})
	require.False(t, admitted)
	_, admitted = pool.Admit(0, NewProgram{Priority: 0})
	require.True(t, admitted)
}

// A crowd that is sent away must not come back as one.
func TestRefusedCallersComeBackSpreadOut(t *testing.T) {
	pool := newTestPool(1)
	for range 26 {
		pool.BeginCall(0, "e0", &Request{})
	}
	seen := make(map[bvclock.Duration]bool)
	for range 100 {
		comeBack, admitted := pool.Admit(0, NewProgram{Priority: 0})
		require.False(t, admitted)
		require.GreaterOrEqual(t, comeBack, leastReturn)
		require.Less(t, comeBack, mostReturn)
		seen[comeBack] = true
	}
	require.Greater(t, len(seen), 50)
}

func TestPoolWithoutEndpointsIsNotACrowd(t *testing.T) {
	_, admitted := NewPool(1, "").Admit(0, NewProgram{Priority: 1})
	require.True(t, admitted)
}
