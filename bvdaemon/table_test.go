package bvdaemon

import (
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvtable"
	"balsamvalve.example/bvverdict"
)

// Guards against a host that, before it has loaded the table, forbids a call that the table
// allows.
func TestHostWithoutATableLeavesCallsToAnother(t *testing.T) {
	table := &table{follower: &bvtable.Follower{}}
	_, err := table.Row("piran", "")
	require.Equal(t, bvverdict.NotOwner, bvverdict.From(err).Code())
	require.Equal(t, bvverdict.NotRun, bvverdict.Of(err))
}
