package bvcommand

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCheckNamesEveryBadSetting(t *testing.T) {
	t.Setenv("BALSAMVALVE_POLL_INTERVAL", "5")
	code, _, stderr := run("check", "--peer-address", "localhost:1", "--write-budget", "0")
	require.Equal(t, exitUsage, code)
	require.Contains(t, stderr, "--peer-address")
	require.Contains(t, stderr, "BALSAMVALVE_POLL_INTERVAL")
	require.Contains(t, stderr, "--write-budget")
}

func TestSettingsPrintNoKeys(t *testing.T) {
	t.Setenv("BALSAMVALVE_KEYS", testKeys)
	out := requireSuccess(t, "settings", "--zone", "koper")
	require.Contains(t, out, "koper")
	require.NotContains(t, out, "operator-key")
}
