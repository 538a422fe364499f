package bvplatform_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvplatform"
)

func isOld(row bvplatform.Row) bool { return string(row.Value) == "old" }

// Guards against a sweep that removes too much, or leaves expired rows.
func TestSweepRemovesOnlyWhatIsExpired(t *testing.T) {
	store := &bvplatform.Memory{}
	for i := range 130 {
		value := "old"
		if i%10 == 0 {
			value = "new"
		}
		_, err := store.Commit(t.Context(), bvplatform.Transaction{
			Puts: []bvplatform.Put{{Key: fmt.Sprintf("t/p/%03d", i), Value: []byte(value)}},
		})
		require.NoError(t, err)
	}
	removed, err := bvplatform.Sweep(t.Context(), store, "t/p/", isOld)
	require.NoError(t, err)
	require.Equal(t, 117, removed)
	rows, err := store.Scan(t.Context(), "t/p/", "", 500)
	require.NoError(t, err)
	require.Len(t, rows, 13)
}

func TestSweepOfNothingWritesNothing(t *testing.T) {
	store := &bvplatform.Memory{}
	removed, err := bvplatform.Sweep(t.Context(), store, "t/p/", isOld)
	require.NoError(t, err)
	require.Zero(t, removed)
	writes, _ := store.Counts()
	require.Zero(t, writes)
}
