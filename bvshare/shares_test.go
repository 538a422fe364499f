package bvshare

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
)

// newShares returns the shares of a host among others, where workspace 1 has asked for and
// used all of one engine, and workspace 2 has asked for half of one.
func newShares(others int) *Shares {
	shares := &Shares{}
	shares.SetHosts(others, 400)
	shares.RecordAsk(0, 1, float64(Window))
	shares.RecordWork(0, 1, float64(Window))
	shares.RecordAsk(0, 2, float64(Window)/2)
	return shares
}

func TestWorkspaceAboveItsShareIsOver(t *testing.T) {
	shares := newShares(0)
	require.Equal(t, Standing{Share: 0.5, Use: 1, Asked: 1, Over: true, Known: true}, shares.Standing(0, 1, 1))
	require.Equal(t, Standing{Share: 0.5, Asked: 0.5, Below: true, Known: true}, shares.Standing(0, 2, 1))
	require.Len(t, shares.Largest(0), 2)
}

// Guards against capacity that is withheld although no other workspace has demand.
func TestUnusedCapacityIsLentAtOnce(t *testing.T) {
	shares := &Shares{}
	shares.SetHosts(0, 400)
	shares.RecordAsk(0, 1, 9*float64(Window))
	shares.RecordWork(0, 1, 3*float64(Window))
	require.False(t, shares.Standing(0, 1, 2).Over)
}

// Guards against lent capacity that a workspace gets back late.
func TestLentCapacityIsReturnedWithinTwoSeconds(t *testing.T) {
	shares, used := newShares(0), 0.0
	for now := bvclock.Time(1); now <= bvclock.Time(Window); now++ {
		for _, workspace := range []uint32{1, 2} { // each asks for all of the engine
			shares.RecordAsk(now, workspace, 1)
			if !shares.Standing(now, workspace, 1).Over {
				shares.RecordWork(now, workspace, 0.5)
			}
		}
		used = shares.Standing(now, 2, 1).Use
	}
	require.InDelta(t, 0.5*(1-math.Exp(-1)), used, 0.05, "it was admitted all the time")
	require.InDelta(t, 0.5, shares.Standing(bvclock.Time(Window), 1, 1).Use, 0.01)
}

// Guards against decisions by the counts of too few hosts.
func TestStandingIsUnknownWhileFewerThanHalfOfTheHostsReport(t *testing.T) {
	shares := newShares(5)
	for host := range uint64(3) {
		require.False(t, shares.Standing(bvclock.Time(200*host), 1, 1).Known)
		shares.SetPeerUsage(bvclock.Time(200*host), host, []Usage{{}})
	}
	require.True(t, shares.Standing(600, 1, 1).Over)
}

func TestStandingIsUnknownBeforeTheHostsAreKnown(t *testing.T) {
	var shares Shares
	shares.RecordWork(0, 1, 1000)
	require.False(t, shares.Standing(0, 1, 0.1).Known)
}

// Guards against the counts of a lost host that stay, and against the loss of other counts.
func TestLostHostLosesOnlyItsOwnCounts(t *testing.T) {
	shares := newShares(2)
	shares.SetPeerUsage(0, 1, []Usage{{Workspace: 3, Asked: 1, Used: 1}})
	shares.SetPeerUsage(1000, 2, []Usage{{Workspace: 4, Asked: 1, Used: 1}})
	require.Equal(t, 1.0, shares.Standing(1000, 3, 1).Use)
	require.Equal(t, 1000*bvclock.Millisecond, shares.Standing(1000, 3, 1).Age)
	require.Zero(t, shares.Standing(1600, 3, 1).Use)
	require.Equal(t, 1.0, shares.Standing(1600, 4, 1).Use)
	require.Positive(t, shares.Standing(1600, 1, 1).Use)
}

func TestInvalidWeightsCountAsOne(t *testing.T) {
	for _, weight := range []float64{0, -1, math.NaN(), math.Inf(1), 1.1e9} {
		shares := newShares(0)
		shares.SetWeights(map[uint32]float64{1: weight})
		require.Equal(t, 0.5, shares.Standing(0, 1, 1).Share, weight)
	}
}

// Guards against sums that the wrong report of one host makes unusable.
func TestInvalidRatesCountAsZero(t *testing.T) {
	shares := newShares(1)
	shares.SetPeerUsage(0, 1, []Usage{{Workspace: 1, Asked: math.NaN(), Used: math.Inf(1)}, {Workspace: 2, Asked: -1, Used: -1}})
	require.Equal(t, 0.5, shares.Standing(0, 1, 1).Share)
}

// Guards against memory and digests that grow with the number of workspaces.
func TestTenThousandWorkspacesStayWithinTheBounds(t *testing.T) {
	shares := newShares(1)
	for workspace := range uint32(10_000) {
		shares.RecordAsk(0, workspace+1, 10)
		shares.SetPeerUsage(0, uint64(workspace%5000), []Usage{{Workspace: workspace + 20_000, Asked: 1}})
	}
	report := shares.Report(0)
	require.Len(t, report, maxReported+1)
	require.Equal(t, uint32(1), report[0].Workspace, "the largest demand is kept")
	require.Equal(t, Remainder, report[maxReported].Workspace)
	require.True(t, shares.Standing(1000, 1, 1).Known)
	require.Len(t, shares.own, maxWorkspaces)
	require.Len(t, shares.totals.rows, maxWorkspaces)
	require.Len(t, shares.peers, maxPeers)
}
