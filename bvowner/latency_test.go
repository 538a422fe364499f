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
	latencies.answer(key, 1, 100, 400)
	latencies.answer(key, 2, 1000, 1600)
	latency, measured := latencies.end(key)
	require.True(t, measured)
	require.Equal(t, 1500*bvclock.Millisecond, latency)
	_, again := latencies.end(key)
	require.False(t, again, "ended twice")
}

// Guards against programs that look fast since they were taken over.
func TestProgramThatWasTakenOverIsNotMeasured(t *testing.T) {
	latencies := &latencies{}
	key := bvledger.ProgramKey{Member: "piran", Program: "p"}
	latencies.answer(key, 3, 100, 400)
	_, measured := latencies.end(key)
	require.False(t, measured)
}

// Guards against programs of other hosts that stay in memory for ever.
func TestProgramsThatAreGoneDoNotPileUp(t *testing.T) {
	latencies := &latencies{}
	for i := range 10 * pruneFloor {
		key := bvledger.ProgramKey{Member: "piran", Program: string(rune(i))}
		if latencies.answer(key, 1, 0, 1) {
			latencies.prune(func(bvledger.ProgramKey) bool { return false })
		}
	}
	require.LessOrEqual(t, len(latencies.programs), pruneFloor)
}
