package bvowner

import (
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvledger"
)

func TestProgramsLatencyIsFromItsFirstCallToItsLastAnswer(t *testing.T) {
	latencies := &latencies{}
	key := bvledger.ProgramKey{Member: "piran", Program: "p"}
	latencies.recordAnswer(key, 1, 100, 400)
	latencies.recordAnswer(key, 2, 1000, 1600)
	latency, measured := latencies.takeLatency(key)
	require.True(t, measured)
	require.Equal(t, 1500*bvclock.Millisecond, latency)
	_, again := latencies.takeLatency(key)
	require.False(t, again, "ended twice")
}

// Guards against too short latencies of programs that were taken over.
func TestProgramThatWasTakenOverIsNotMeasured(t *testing.T) {
	latencies := &latencies{}
	key := bvledger.ProgramKey{Member: "piran", Program: "p"}
	latencies.recordAnswer(key, 3, 100, 400)
	_, measured := latencies.takeLatency(key)
	require.False(t, measured)
}

// Guards against programs of other hosts that stay in memory indefinitely.
func TestProgramsOfOtherHostsArePruned(t *testing.T) {
	latencies := &latencies{}
	for i := range 10 * minPruneSize {
		key := bvledger.ProgramKey{Member: "piran", Program: string(rune(i))}
		if latencies.recordAnswer(key, 1, 0, 1) {
			latencies.prune(func(bvledger.ProgramKey) bool { return false })
		}
	}
	require.LessOrEqual(t, len(latencies.programs), minPruneSize)
}
