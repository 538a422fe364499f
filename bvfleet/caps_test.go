package bvfleet

import (
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
)

func capLoad() CapLoad {
	return CapLoad{
		Seed: 1, Hosts: 20, Workspaces: 20, RatePerHost: 12, Headroom: 1.6, Duration: 24 * bvclock.Second,
		SurgeFactor: 2.1, ReportLag: 400 * bvclock.Millisecond,
	}
}

// Guards against windows above the cap, and against refusals below it, during a surge.
func TestAllocatorsEnforceCapsInASurgeAndRefuseFewBelowThem(t *testing.T) {
	allocated := SimulateCaps(capLoad(), AllocatedCaps)
	require.LessOrEqual(t, allocated.WorstWindow, 1.0)
	split := SimulateCaps(capLoad(), SplitCaps)
	require.Less(t, 5*(allocated.RefusedBelow-allocated.GrantedAbove), split.RefusedBelow-split.GrantedAbove)
	require.Less(t, allocated.AllocatorRequests, allocated.Requests)
}

// Guards against caps that are granted twice after all hosts fail.
func TestAllocatorsEnforceCapsAfterAllHostsFail(t *testing.T) {
	load := capLoad()
	load.HostsFail = true
	require.LessOrEqual(t, SimulateCaps(load, AllocatedCaps).WorstWindow, 1.0)
}

// Guards against a WorstWindow that does not show a strategy that grants too much.
func TestWorstWindowShowsCapsThatAreExceeded(t *testing.T) {
	load := capLoad()
	load.SurgeFactor = 6
	load.ReportLag = 4 * bvclock.Second
	require.Greater(t, SimulateCaps(load, ReportedCaps).WorstWindow, 1.0)
}

// Guards against a standby allocator that does not know the first one's grants.
func TestCapsHoldWhereDigestsAreSlow(t *testing.T) {
	for seed := range uint64(4) {
		result := SimulateCaps(CapLoad{
			Seed: seed + 1, Hosts: 300, Workspaces: 40, RatePerHost: 1.2, Headroom: 1.6, Duration: 15 * bvclock.Second,
			SurgeFactor: 8, ReportLag: 1800 * bvclock.Millisecond, UnansweredShare: 0.5,
		}, AllocatedCaps)
		require.LessOrEqual(t, result.WorstWindow, 1.0)
	}
}
