package bvcommand

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFleetSurgeReportsEachRule(t *testing.T) {
	var out strings.Builder
	options := surgeOptions{hosts: 6, seeds: 1, surgeFactor: 2, seconds: 3, slow: true, oneKind: true}
	require.NoError(t, options.run(&out))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 3)
	for i, rule := range []string{"fixed", "deadlines", "oracle"} {
		require.Contains(t, lines[i], rule)
		require.Contains(t, lines[i], "short in time")
	}
}

func TestFleetSurgeNeedsSixHosts(t *testing.T) {
	options := surgeOptions{hosts: 5, seeds: 1, surgeFactor: 2, seconds: 3}
	require.ErrorAs(t, options.run(&strings.Builder{}), &usageError{})
}
