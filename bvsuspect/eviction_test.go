package bvsuspect

import (
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
)

// Guards against a suspect that is removed by an order that is out of date.
func TestLeastUsedSuspectIsRemovedThoughOthersChange(t *testing.T) {
	var table Table
	for number := range uint64(maxSuspects) {
		table.RecordCrash(bvclock.Time(10+number), Crash{request(number), number}, false)
	}
	for number := range uint64(3 * maxUnused) {
		now := bvclock.Time(10 + maxSuspects + number)
		table.RecordCrash(now, Crash{request(2 * number), 1_000_000 + number}, false)
		least := slices.MaxFunc(slices.Collect(maps.Values(table.suspects)), compareUse)
		table.RecordCrash(now, Crash{request(1_000_000 + number), number}, false)
		require.NotContains(t, table.suspects, least.request.Exact)
		require.Equal(t, maxSuspects, table.Len())
	}
}
