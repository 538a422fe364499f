package bvplatform

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCommitAppliesNothingWhenOneCheckFails(t *testing.T) {
	memory := &Memory{}
	_, err := memory.Commit(t.Context(), Transaction{
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

// Guards against a recreated row that gets an old version.
func TestVersionOfRecreatedRowIsNew(t *testing.T) {
	memory := &Memory{}
	create := Transaction{Puts: []Put{{Key: "a", Value: []byte("1")}}}
	version, err := memory.Commit(t.Context(), create)
	require.NoError(t, err)
	before, err := memory.Read(t.Context(), "a")
	require.NoError(t, err)
	require.Equal(t, version, before[0].Version)
	_, err = memory.Commit(t.Context(), Transaction{Puts: []Put{{Key: "a"}}})
	require.NoError(t, err)
	_, err = memory.Commit(t.Context(), create)
	require.NoError(t, err)

	stale := Transaction{Checks: []Check{{Key: "a", Version: before[0].Version}}}
	var conflict *ConflictError
	_, err = memory.Commit(t.Context(), stale)
	require.ErrorAs(t, err, &conflict)
}

// Guards against rows of one transaction that get different versions.
func TestCommitReturnsTheVersionOfAllItsRows(t *testing.T) {
	memory := &Memory{}
	version, err := memory.Commit(t.Context(), Transaction{
		Puts: []Put{{Key: "a", Value: []byte("1")}, {Key: "b", Value: []byte("1")}},
	})
	require.NoError(t, err)
	_, err = memory.Commit(t.Context(), Transaction{
		Checks: []Check{{Key: "a", Version: version}, {Key: "b", Version: version}},
		Puts:   []Put{{Key: "b", Value: []byte("2")}},
	})
	require.NoError(t, err)
}
