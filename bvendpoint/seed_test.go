package bvendpoint_test

import (
	"flag"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// fixSeed makes rapid draw the same cases in each run.
func fixSeed(t *testing.T, checks int) {
	require.NoError(t, flag.Set("rapid.seed", "7"))
	require.NoError(t, flag.Set("rapid.checks", strconv.Itoa(checks)))
	require.NoError(t, flag.Set("rapid.nofailfile", "true"))
}
