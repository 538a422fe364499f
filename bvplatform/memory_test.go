package bvplatform

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCommitAppliesNothingWhenOneCheckFails(t *testing.T) {
	memory := &Memory{}
	err := memory.Commit(t.Context(), Transaction{
		Checks: []Check{{Key: "a", Version: 0}, {Key: "b", Version: 7}},
		Puts:   []Put{{Key: "a", Value: []byte("1")}},
	})
	var conflict *ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, []string{"b"}, conflict.Keys)
	rows, err := memory.Read(t.Context(), "a")
	require.NoError(t, err)
	require.Zero(t, rows[0].Version)
}

// A host reads a row, the row is deleted and made again by another host, and
// the first host writes with the version it read. Were versions counted per
// row, both would be version 1 and the old host would overwrite the new row.
func TestVersionOfRecreatedRowIsNew(t *testing.T) {
	memory := &Memory{}
	create := Transaction{Puts: []Put{{Key: "a", Value: []byte("1")}}}
	require.NoError(t, memory.Commit(t.Context(), create))
	before, err := memory.Read(t.Context(), "a")
	require.NoError(t, err)
	require.NoError(t, memory.Commit(t.Context(), Transaction{Puts: []Put{{Key: "a"}}}))
	require.NoError(t, memory.Commit(t.Context(), create))

	stale := Transaction{Checks: []Check{{Key: "a", Version: before[0].Version}}}
	var conflict *ConflictError
	require.ErrorAs(t, memory.Commit(t.Context(), stale), &conflict)
}
