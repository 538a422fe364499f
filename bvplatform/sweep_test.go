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

// Guards against expired rows that are never scanned, behind many that have not expired.
func TestSweeperScansAllRowsOfAPart(t *testing.T) {
	store := &bvplatform.Memory{}
	for number := range 1_500 {
		_, err := store.Commit(t.Context(), bvplatform.Transaction{Puts: []bvplatform.Put{{Key: fmt.Sprintf("t/p/%05d", number), Value: []byte("kept")}}})
		require.NoError(t, err)
	}
	_, err := store.Commit(t.Context(), bvplatform.Transaction{Puts: []bvplatform.Put{{Key: "t/p/99999", Value: []byte("expired")}}})
	require.NoError(t, err)
	var sweeper bvplatform.Sweeper
	removed := 0
	for range 4 {
		count, err := sweeper.Sweep(t.Context(), store, func() string { return "t/p/" }, func(row bvplatform.Row) bool { return string(row.Value) == "expired" })
		require.NoError(t, err)
		removed += count
	}
	require.Equal(t, 1, removed)
}
