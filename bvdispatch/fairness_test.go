package bvdispatch

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvmechanism"
)

// floodedPool returns a pool with one endpoint of 16 slots and the given number of calls in
// flight, where the workspace "flood" has started the given number of programs beside four
// of other workspaces.
func floodedPool(running, floods int) *Pool {
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

// Guards against a workspace that starves the others by starting many programs.
func TestDominantWorkspaceIsRejectedFirst(t *testing.T) {
	pool := floodedPool(20, 10)
	_, admitted := pool.Admit(0, NewProgram{Priority: 1, Workspace: "flood"})
	require.False(t, admitted)
	_, admitted = pool.Admit(0, NewProgram{Priority: 1, Workspace: "calm-0"})
	require.True(t, admitted)
	pool.Disable(bvmechanism.Set(0).With(bvmechanism.Fairness))
	_, admitted = pool.Admit(0, NewProgram{Priority: 1, Workspace: "calm-0"})
	require.False(t, admitted)
}

func TestAllWorkspacesAreRejectedWhereNoneDominates(t *testing.T) {
	pool := floodedPool(20, 1)
	for _, workspace := range []string{"flood", "calm-0", "new"} {
		_, admitted := pool.Admit(0, NewProgram{Priority: 1, Workspace: workspace})
		require.False(t, admitted, workspace)
	}
}

func TestOtherWorkspacesAreRejectedAtTheirOwnLimit(t *testing.T) {
	pool := floodedPool(24, 10)
	_, admitted := pool.Admit(0, NewProgram{Priority: 1, Workspace: "calm-0"})
	require.False(t, admitted)
}

func TestDominanceDecaysWithTime(t *testing.T) {
	pool := floodedPool(20, 10)
	_, admitted := pool.Admit(bvclock.Time(5*programCountDecay), NewProgram{Priority: 1, Workspace: "calm-0"})
	require.False(t, admitted, "no workspace dominates after the decay")
	_, admitted = pool.Admit(bvclock.Time(20*programCountDecay), NewProgram{Priority: 1, Workspace: "calm-0"})
	require.False(t, admitted)
	require.Empty(t, pool.startedPrograms.programs)
}
