package bvfleet

import (
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvmechanism"
)

func TestTwoPlaysOfOneLoadAreTheSame(t *testing.T) {
	load := Crowded(30)
	load.Totals, load.Trackers = true, true
	require.Equal(t, Play(load), Play(load))
}

func TestCalmLoadIsServedInTime(t *testing.T) {
	load := Crowded(30)
	load.Totals, load.Crowds = true, nil
	result := Play(load)
	require.Greater(t, result.ShareInTime(), 0.98)
	require.Zero(t, result.Refusals)
}

// Guards against hosts that send a crowd to full engines since they know a part of the load.
func TestCrowdIsServedInTimeByHostsThatKnowTheEnginesLoad(t *testing.T) {
	load := Crowded(150)
	blind := Play(load)
	load.Totals = true
	told := Play(load)
	load.Trackers = true
	asked := Play(load)
	require.Less(t, blind.ShareInTime(), 0.9)
	require.Greater(t, told.ShareInTime(), blind.ShareInTime()+0.05)
	require.Greater(t, asked.ShareInTime(), 0.98)
	require.Less(t, asked.ShareWaited(), told.ShareWaited())
	require.Less(t, asked.Read/asked.Sent, blind.Read/blind.Sent, "conversations stay where they are cached")
}

// Guards against decisions by digests that are older than calls last.
func TestTrackersMakeUpForOldDigests(t *testing.T) {
	load := Crowded(60)
	load.Totals, load.DigestEvery = true, 600
	without := Play(load)
	load.Trackers = true
	with := Play(load)
	require.Greater(t, with.ShareInTime(), without.ShareInTime()+0.05)
	require.Greater(t, with.ShareInTime(), 0.97)
}

// Guards against a crowd beyond all engines that nobody is sent away from.
func TestOfACrowdThatIsTooLargeSomeAreSentAway(t *testing.T) {
	load := Crowded(60)
	load.Totals, load.Trackers = true, true
	load.Crowds[0].Factor = 3.5
	with := Play(load)
	load.Without = load.Without.With(bvmechanism.Admission)
	without := Play(load)
	require.Positive(t, with.Refusals)
	require.Zero(t, without.Refusals)
	t.Log(with)
	t.Log(without)
}

// Guards against a flood of one workspace that costs the others their programs.
func TestFloodOfAWorkspaceLeavesTheOthersMoreOfTheirPrograms(t *testing.T) {
	load := Crowded(85)
	load.Totals, load.Trackers = true, true
	load.Workspaces, load.Flood = 20, true
	load.Crowds[0].Factor = 3.5
	fair := Play(load)
	load.Without = load.Without.With(bvmechanism.Fairness)
	none := Play(load)
	require.Greater(t, fair.ShareOthersInTime(), none.ShareOthersInTime()+0.05)
	require.Greater(t, fair.ShareInTime(), none.ShareInTime()-0.02)
}
