package bvcommand

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRulesOfFairnessAreCompared(t *testing.T) {
	var output strings.Builder
	options := fleetSharesOptions{hosts: 6, workspaces: 3, seeds: 2, surgeFactor: 2, seconds: 1}
	require.NoError(t, options.run(&output))
	require.Equal(t, 6, strings.Count(output.String(), "\n"))
	options.hosts = 5
	require.ErrorAs(t, options.run(&output), &usageError{})
}
