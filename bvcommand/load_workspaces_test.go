package bvcommand

import (
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/platform/bvemulator"
)

func TestLoadOfWorkspacesNeedsAnAddress(t *testing.T) {
	code, _, stderr := run("load", "workspaces")
	require.Equal(t, exitUsage, code)
	require.Contains(t, stderr, "--address")
}

func TestSkewMakesLaterWorkspacesSendLess(t *testing.T) {
	workspaces := workspacesOf(map[string]string{"bor": "k2", "ana": "k1"}, 1)
	require.Equal(t, []bvemulator.Workspace{
		{Name: "ana", Keys: []string{"k1"}, Share: 1},
		{Name: "bor", Keys: []string{"k2"}, Share: 0.5},
	}, workspaces)
}

func TestEmulatedPlatformRefusesNegativeNumbers(t *testing.T) {
	code, _, stderr := run("standin", "site", "--rate", "-1")
	require.Equal(t, exitUsage, code)
	require.Contains(t, stderr, "negative")
}
