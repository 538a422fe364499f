package bvfleet

import (
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvmechanism"
)

func TestTwoPlaysOfOneLoadAreTheSame(t *testing.T) {
	load := SurgeLoad(30)
	load.GlobalDigests, load.Trackers = true, true
	require.Equal(t, Simulate(load), Simulate(load))
}

func TestCalmLoadIsServedInTime(t *testing.T) {
	load := SurgeLoad(30)
	load.GlobalDigests, load.Surges = true, nil
	result := Simulate(load)
	require.Greater(t, result.ShareInTime(), 0.98)
	require.Zero(t, result.Refusals)
}

// Guards against hosts that send a crowd to full engines since they know a part of the load.
func TestCrowdIsServedInTimeByHostsThatKnowTheEnginesLoad(t *testing.T) {
	load := SurgeLoad(150)
	blind := Simulate(load)
	load.GlobalDigests = true
	told := Simulate(load)
	load.Trackers = true
	asked := Simulate(load)
	require.Less(t, blind.ShareInTime(), 0.9)
	require.Greater(t, told.ShareInTime(), blind.ShareInTime()+0.05)
	require.Greater(t, asked.ShareInTime(), 0.98)
	require.Less(t, asked.ShareWaited(), told.ShareWaited())
	require.Less(t, asked.Read/asked.Sent, blind.Read/blind.Sent, "conversations stay where they are cached")
}

// Guards against decisions by digests that are older than calls last.
func TestTrackersMakeUpForOldDigests(t *testing.T) {
	load := SurgeLoad(60)
	load.GlobalDigests, load.DigestInterval = true, 600
	without := Simulate(load)
	load.Trackers = true
	with := Simulate(load)
	require.Greater(t, with.ShareInTime(), without.ShareInTime()+0.05)
	require.Greater(t, with.ShareInTime(), 0.97)
}

// Guards against a crowd beyond all engines that nobody is sent away from.
func TestOfACrowdThatIsTooLargeSomeAreSentAway(t *testing.T) {
	load := SurgeLoad(60)
	load.GlobalDigests, load.Trackers = true, true
	load.Surges[0].Factor = 3.5
	with := Simulate(load)
	load.Disabled = load.Disabled.With(bvmechanism.Admission)
	without := Simulate(load)
	require.Positive(t, with.Refusals)
	require.Zero(t, without.Refusals)
	t.Log(with)
	t.Log(without)
}

// Guards against a flood of one workspace that costs the others their programs.
func TestFloodOfAWorkspaceLeavesTheOthersMoreOfTheirPrograms(t *testing.T) {
	load := SurgeLoad(85)
	load.GlobalDigests, load.Trackers = true, true
	load.Workspaces, load.SingleWorkspaceSurge = 20, true
	load.Surges[0].Factor = 3.5
	fair := Simulate(load)
	load.Disabled = load.Disabled.With(bvmechanism.Fairness)
	none := Simulate(load)
	require.Greater(t, fair.ShareOthersInTime(), none.ShareOthersInTime()+0.05)
	require.Greater(t, fair.ShareInTime(), none.ShareInTime()-0.02)
}
