package bvfleet

import (
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvmechanism"
)

func TestTwoSimulationsOfOneLoadAreTheSame(t *testing.T) {
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

// Guards against hosts that send a surge to full engines because they know only part of
// the load.
func TestSurgeIsServedInTimeByHostsThatKnowTheEnginesLoad(t *testing.T) {
	load := SurgeLoad(150)
	ownZone := Simulate(load)
	load.GlobalDigests = true
	digests := Simulate(load)
	load.Trackers = true
	trackers := Simulate(load)
	require.Less(t, ownZone.ShareInTime(), 0.9)
	require.Greater(t, digests.ShareInTime(), ownZone.ShareInTime()+0.05)
	require.Greater(t, trackers.ShareInTime(), 0.98)
	require.Less(t, trackers.ShareWaited(), digests.ShareWaited())
	require.Less(t, trackers.PrefilledTokens/trackers.SentTurns, ownZone.PrefilledTokens/ownZone.SentTurns, "conversations stay where they are cached")
}

// Guards against decisions based on digests that are older than the duration of calls.
func TestTrackersCompensateForOldDigests(t *testing.T) {
	load := SurgeLoad(60)
	load.GlobalDigests, load.DigestInterval = true, 600
	without := Simulate(load)
	load.Trackers = true
	with := Simulate(load)
	require.Greater(t, with.ShareInTime(), without.ShareInTime()+0.05)
	require.Greater(t, with.ShareInTime(), 0.97)
}

// Guards against a surge beyond the engines' capacity of which no program is rejected.
func TestSurgeBeyondCapacityIsPartlyRejected(t *testing.T) {
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

// Guards against a surge of one workspace that makes the others' programs fail.
func TestSurgeOfAWorkspaceLeavesTheOthersMoreOfTheirPrograms(t *testing.T) {
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

// workspaceSurgeLoad is a surge of one workspace through so many hosts that none of them
// starts many of its programs.
func workspaceSurgeLoad() Load {
	load := SurgeLoad(40)
	load.GlobalDigests, load.Trackers = true, true
	load.Workspaces, load.SingleWorkspaceSurge = 40, true
	load.Surges[0].Factor = 3.5
	return load
}

// Guards against a surge that no single host sees.
func TestSharesOverAllHostsLeaveTheOthersMoreOfTheirPrograms(t *testing.T) {
	load := workspaceSurgeLoad()
	shares := Simulate(load)
	load.Disabled = load.Disabled.With(bvmechanism.Shares)
	present := Simulate(load)
	require.Greater(t, shares.ShareOthersInTime(), present.ShareOthersInTime()+0.1)
	require.Greater(t, shares.ShareOthersInTime(), 0.9)
	require.Less(t, shares.MeanShareEntries(), 17.0)
}

// Guards against decisions that depend on the order of a map.
func TestTwoSimulationsWithSharesAreTheSame(t *testing.T) {
	load := workspaceSurgeLoad()
	require.Equal(t, Simulate(load), Simulate(load))
}

// Guards against a surge beyond capacity in which nearly all programs are admitted and end
// late, and in which the most urgent ones fare worse than the others.
func TestSurgeIsAdmittedByTime(t *testing.T) {
	load := ContendedLoad(24)
	load.Duration = 14 * bvclock.Second
	kinds := Simulate(load).Peak
	byTime := Total(kinds)
	load.Disabled = load.Disabled.With(bvmechanism.Deadlines)
	fixed := Total(Simulate(load).Peak)
	require.Greater(t, byTime.ShareInTime(), max(fixed.ShareInTime()+0.1, 0.6))
	require.Less(t, byTime.ShareLate(), fixed.ShareLate()/3)
	require.Greater(t, byTime.Worth(), fixed.Worth())
	require.Greater(t, kinds[0].ShareInTime(), kinds[1].ShareInTime()-0.05)
}

// Guards against rejections at the usual load.
func TestUsualLoadIsAdmittedByTime(t *testing.T) {
	load := ContendedLoad(24)
	load.Surges[0].Factor = 1
	result := Simulate(load)
	require.Zero(t, result.Refusals)
	require.Greater(t, result.ShareInTime(), 0.98)
}

// Guards against a rule that depends on knowing all rejections: a lost tracker must not make
// it worse than the fixed limit.
func TestSurgeWithoutKnownRejectionsIsNoWorseThanBefore(t *testing.T) {
	load := ContendedLoad(24)
	load.Duration = 14 * bvclock.Second
	load.Disabled = load.Disabled.With(bvmechanism.Returns)
	unknown := Total(Simulate(load).Peak)
	load.Disabled = load.Disabled.With(bvmechanism.Deadlines)
	require.Greater(t, unknown.Worth(), Total(Simulate(load).Peak).Worth())
}
