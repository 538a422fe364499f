package bvcommand

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFleetCapsReportsResultsForEachPolicy(t *testing.T) {
	var out strings.Builder
	options := capOptions{hosts: 8, workspaces: 6, seeds: 2, surgeFactor: 2, headroom: 1.6, reportLagMs: 400}
	require.NoError(t, options.run(&out))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 8)
	require.Contains(t, lines[0], "seed 1  split")
	require.Contains(t, lines[7], "seed 2  central")
	require.Contains(t, lines[6], "worst window")
}

func TestFleetCapsNeedsHosts(t *testing.T) {
	var out strings.Builder
	require.ErrorAs(t, (&capOptions{workspaces: 6, seeds: 1, surgeFactor: 2, headroom: 1.6, reportLagMs: 400}).run(&out), &usageError{})
}
