package bvcommand

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFleetReportsResultsForEachVariant(t *testing.T) {
	var out strings.Builder
	options := fleetOptions{hosts: 12, seeds: 2, surgeFactor: 1.6}
	require.NoError(t, options.run(&out))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 6)
	require.Contains(t, lines[0], "seed 1  own zone")
	require.Contains(t, lines[5], "seed 2  trackers")
	require.Contains(t, lines[5], "in time")
}

func requireUsageError(t *testing.T, options fleetOptions) {
	var out strings.Builder
	require.ErrorAs(t, options.run(&out), &usageError{})
	require.Empty(t, out.String())
}

func TestFleetNeedsAHostInEachZone(t *testing.T) {
	requireUsageError(t, fleetOptions{hosts: 5, seeds: 1, surgeFactor: 1})
}

func TestFleetNeedsAPositiveSurgeFactor(t *testing.T) {
	requireUsageError(t, fleetOptions{hosts: 12, seeds: 1})
}

func TestFleetNamesUnknownMechanisms(t *testing.T) {
	requireUsageError(t, fleetOptions{hosts: 12, seeds: 1, surgeFactor: 1, disabled: "sense"})
}
