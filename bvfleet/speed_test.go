package bvfleet

import (
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvmechanism"
)

// compareSpeeds returns the shares of programs in time with speeds and without, over a few seeds.
func compareSpeeds(load Load) (with, without float64) {
	const seeds = 5
	load.GlobalDigests, load.Trackers = true, true
	load.Surges[0].Factor = 1.2
	for load.Seed = 1; load.Seed <= seeds; load.Seed++ {
		load.Disabled = 0
		with += Simulate(load).ShareInTime() / seeds
		load.Disabled = load.Disabled.With(bvmechanism.Speeds)
		without += Simulate(load).ShareInTime() / seeds
	}
	return with, without
}

// Guards against programs that are placed on slow engines as often as on others.
func TestSlowEnginesDelayFewerProgramsWithSpeeds(t *testing.T) {
	load := SurgeLoad(60)
	load.SlowShare, load.SlowFactor = 0.2, 3
	with, without := compareSpeeds(load)
	require.Greater(t, with, without+0.03)
	require.Equal(t, Simulate(load), Simulate(load))
}

// Guards against slow engines that attract programs by reporting the usual pace.
func TestFalsePaceDelaysFewerProgramsWithSpeeds(t *testing.T) {
	load := SurgeLoad(60)
	load.SlowShare, load.SlowFactor, load.FalsePace = 0.2, 3, true
	with, without := compareSpeeds(load)
	require.Greater(t, with, without+0.01)
}
