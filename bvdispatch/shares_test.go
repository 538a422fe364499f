package bvdispatch

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvmechanism"
	"balsamvalve.example/bvroute"
	"balsamvalve.example/bvshare"
)

// sharedPool returns a pool with one endpoint of 16 slots and the given number of calls in
// flight. Another host has reported that the workspace "flood" uses most of the engines.
func sharedPool(running int) *Pool {
	pool := newTestPool(1)
	pool.Shares().SetHosts(1, 400)
	pool.Shares().SetPeerUsage(0, 1, []bvshare.Usage{
		{Workspace: bvshare.HashWorkspace("flood"), Asked: 0.9, Used: 0.8},
		{Workspace: bvshare.HashWorkspace("calm"), Asked: 0.1, Used: 0.1},
	})
	for range running {
		pool.BeginCall(0, "e0", &Request{})
	}
	return pool
}

func admits(pool *Pool, workspace string) bool {
	_, admitted := pool.Admit(0, NewProgram{Priority: 1, Workspace: workspace})
	return admitted
}

// Guards against a flood that no single host sees as one.
func TestWorkspaceAboveItsShareIsRejectedFirst(t *testing.T) {
	for _, workspace := range []string{"calm", "new"} {
		require.True(t, admits(sharedPool(15), "flood"))
		require.False(t, admits(sharedPool(17), "flood"))
		require.True(t, admits(sharedPool(22), workspace))
		require.False(t, admits(sharedPool(23), workspace))
	}
}

func TestPresentRuleDecidesWithoutShares(t *testing.T) {
	pool := sharedPool(18)
	pool.Disable(bvmechanism.Set(0).With(bvmechanism.Shares))
	require.True(t, admits(pool, "flood"))
}

// Guards against shares by the counts of a host that few others reach.
func TestPresentRuleDecidesWhileFewHostsReport(t *testing.T) {
	pool := floodedPool(20, 10)
	pool.Shares().SetHosts(3, 400)
	require.False(t, admits(pool, "flood"))
	require.True(t, admits(pool, "calm-0"))
}

// Guards against shares that change the admission of requests without a workspace.
func TestProgramsWithoutWorkspaceAreAdmittedAsBefore(t *testing.T) {
	for running := range 24 {
		with, without := sharedPool(running), sharedPool(running)
		without.Disable(bvmechanism.Set(0).With(bvmechanism.Shares))
		for priority := range 3 {
			retryAfter, admitted := with.Admit(0, NewProgram{Priority: priority})
			expectedRetryAfter, expected := without.Admit(0, NewProgram{Priority: priority})
			require.Equal(t, expected, admitted)
			require.Equal(t, expectedRetryAfter, retryAfter)
		}
		require.Len(t, with.Shares().Report(0), 1, "no work is counted")
	}
}

func TestRejectedProgramCountsAsDemandOfItsWorkspace(t *testing.T) {
	pool := sharedPool(17)
	var standing bvshare.Standing
	pool.Admit(0, NewProgram{Priority: 1, Workspace: "flood", Standing: &standing})
	require.True(t, standing.Over)
	require.InDelta(t, defaultProgramWork/float64(bvshare.Window), pool.Shares().Report(0)[0].Asked, 1e-9)
	require.Zero(t, pool.Shares().Report(0)[0].Used)
}

// Guards against a decision and its demand and log line that rest on different samples of the load.
func TestShareDecidesOnTheLoadThatAdmissionCompares(t *testing.T) {
	const endpoints, slots = 2 * loadSampleRows, 16
	pool := newTestPool(endpoints)
	pool.Shares().SetHosts(1, 400)
	pool.Shares().SetPeerUsage(0, 1, []bvshare.Usage{
		{Workspace: bvshare.HashWorkspace("flood"), Asked: 0.9, Used: 0.8},
		{Workspace: bvshare.HashWorkspace("calm"), Asked: 0.1, Used: 0.1},
	})
	for number := 0; number < endpoints; number += 2 {
		for range 2 * slots {
			pool.BeginCall(0, fmt.Sprint("e", number), &Request{})
		}
	}
	for range 50 {
		var standing bvshare.Standing
		_, admitted := pool.Admit(0, NewProgram{Priority: 1, Workspace: "flood", Standing: &standing})
		require.Equal(t, !admitted, standing.Over)
	}
}

func TestCallCountsAsWorkOfItsWorkspace(t *testing.T) {
	pool := newTestPool(1)
	request := &Request{Workspace: "calm", Prefix: []bvroute.Part{{Key: 1, Tokens: 5000}}, PromptTokens: 5000, CachedTokens: 1640}
	pool.BeginCall(0, "e0", request)
	pool.RecordOutputWork(0, "e0", request, Result{OutputTokens: 100, Duration: 300, TimeToFirstEvent: 140})
	work := 3360/pool.ReadingRate() + 160.0/16
	require.InDelta(t, work/float64(bvshare.Window), pool.Shares().Report(0)[0].Used, 1e-9)
}
