package bvload

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func run(t *testing.T, config Config) Report {
	report, err := Run(t.Context(), config)
	require.NoError(t, err)
	return report
}

func TestSystemThatKeepsItsPromisesPasses(t *testing.T) {
	_, config := newFakeSystem(t)
	report := run(t, config)
	require.True(t, report.AllPromisesHold(), report.Text())
	require.Equal(t, 8, report.Finished)
	require.Zero(t, report.Failed)
	require.Positive(t, report.Unrepeatable)
	require.Positive(t, report.CachedTokens)
	require.Equal(t, int64(8), report.All.Program.Count)
}

func TestOpenLoopSendsAllPrograms(t *testing.T) {
	_, config := newFakeSystem(t)
	config.Rate = 200
	require.Equal(t, 8, run(t, config).Finished)
}

// Guards against not detecting that a history lacks its earliest message.
func TestForgottenHistoryIsFound(t *testing.T) {
	system, config := newFakeSystem(t)
	system.dropOldestMessage = true
	report := run(t, config)
	require.Positive(t, report.Lost)
	require.False(t, report.AllPromisesHold())
}

func TestMixedHistoryIsFound(t *testing.T) {
	system, config := newFakeSystem(t)
	system.mixHistories = true
	require.Positive(t, run(t, config).Mixed)
}

func TestUnrepeatableRequestThatRanTwiceIsFound(t *testing.T) {
	system, config := newFakeSystem(t)
	system.runTwice = true
	report := run(t, config)
	require.Equal(t, report.Unrepeatable, report.DuplicateRuns)
}

func TestFalseRefusalIsFound(t *testing.T) {
	system, config := newFakeSystem(t)
	system.denyRuns = true
	report := run(t, config)
	require.Positive(t, report.FalseRefusals)
	require.Zero(t, report.DuplicateRuns)
}

func TestCacheHeldForEndedProgramIsFound(t *testing.T) {
	system, config := newFakeSystem(t)
	system.neverRelease = true
	config.Programs = 1
	load := newLoad(config)
	load.runProgram(t.Context(), 0, load.started)
	ended := make(map[endedProgram]bool)
	for _, program := range load.measure.endedPrograms {
		ended[program] = true
	}
	require.Positive(t, load.countHeldPrefixes(t.Context(), config.EngineAddresses[0], ended))
}

// Guards against accepting a cut stream as complete.
func TestCutStreamIsRequestedAgain(t *testing.T) {
	system, config := newFakeSystem(t)
	system.cutStreams = true
	report := run(t, config)
	require.Positive(t, report.Retries)
	require.Equal(t, report.Retries, report.Refusals[codeCut])
	require.Equal(t, 8, report.Finished)
	require.True(t, report.AllPromisesHold(), report.Text())
}

func TestSameSeedDrawsTheSamePrograms(t *testing.T) {
	members := Members(map[string]string{Piran: "a", Brindley: "b"})
	first := planner{seed: 1, members: members}
	again := planner{seed: 1, members: members}
	other := planner{seed: 2, members: members}
	require.Equal(t, first.program(5), again.program(5))
	require.NotEqual(t, first.program(5), other.program(5))
}

func TestReportIsWrittenAsJSONAndPlot(t *testing.T) {
	_, config := newFakeSystem(t)
	report := run(t, config)
	encoded, err := json.Marshal(report)
	require.NoError(t, err)
	require.Contains(t, string(encoded), `"p99_ms"`)
	for _, name := range []string{"latency.svg", "latency.png"} {
		path := filepath.Join(t.TempDir(), name)
		require.NoError(t, report.Plot(path))
		written, err := os.Stat(path)
		require.NoError(t, err)
		require.Positive(t, written.Size())
	}
}
