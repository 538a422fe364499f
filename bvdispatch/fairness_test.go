package bvdispatch

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvmechanism"
)

// flooded returns a pool with one endpoint of 16 places, at which as many calls are under
// way, and with programs that flood has begun among those of others.
func flooded(running, floods int) *Pool {
	pool := newTestPool(1)
	for i := range 4 {
		pool.Admit(0, NewProgram{Priority: 1, Workspace: fmt.Sprint("calm-", i)})
	}
	for range floods {
		pool.Admit(0, NewProgram{Priority: 1, Workspace: "flood"})
	}
	for range running {
		pool.BeginCall(0, "e0", &Request{})
	}
	return pool
}

// Guards against a workspace that starves the others by its number of programs.
func TestWorkspaceThatFloodsIsTurnedAwayFirst(t *testing.T) {
	pool := flooded(20, 10)
	_, admitted := pool.Admit(0, NewProgram{Priority: 1, Workspace: "flood"})
	require.False(t, admitted)
	_, admitted = pool.Admit(0, NewProgram{Priority: 1, Workspace: "calm-0"})
	require.True(t, admitted)
	pool.Disable(bvmechanism.Set(0).With(bvmechanism.Fairness))
	_, admitted = pool.Admit(0, NewProgram{Priority: 1, Workspace: "calm-0"})
	require.False(t, admitted)
}

func TestAllWorkspacesAreTurnedAwayWhereNoneDominates(t *testing.T) {
	pool := flooded(20, 1)
	for _, workspace := range []string{"flood", "calm-0", "new"} {
		_, admitted := pool.Admit(0, NewProgram{Priority: 1, Workspace: workspace})
		require.False(t, admitted, workspace)
	}
}

func TestOtherWorkspacesAreTurnedAwayAtTheirOwnLimit(t *testing.T) {
	pool := flooded(24, 10)
	_, admitted := pool.Admit(0, NewProgram{Priority: 1, Workspace: "calm-0"})
	require.False(t, admitted)
}

func TestFloodIsForgottenWithTime(t *testing.T) {
	pool := flooded(20, 10)
	_, admitted := pool.Admit(bvclock.Time(5*begunDecay), NewProgram{Priority: 1, Workspace: "calm-0"})
	require.False(t, admitted, "no workspace dominates any more")
	_, admitted = pool.Admit(bvclock.Time(20*begunDecay), NewProgram{Priority: 1, Workspace: "calm-0"})
	require.False(t, admitted)
	require.Empty(t, pool.begun.programs)
}
