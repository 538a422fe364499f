package bvtable

import (
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
)

func tableOf(version int64, budget int64) *Table {
	return NewTable(version, []Row{{Member: "piran", Share: 100, Budget: budget}})
}

func budgetChange(version int64, budget string) Change {
	return Change{Version: version, Cells: []Cell{{Member: "piran", Column: Budget, New: budget}}}
}

func TestStateSkipsAnOlderTable(t *testing.T) {
	state := &State{}
	state.Install(tableOf(7, 70))
	state.Install(tableOf(6, 60))
	require.Equal(t, "70", state.table.CellText(RowName{Member: "piran"}, Budget))
}

// Guards against putting a version in force without its predecessor.
func TestStateSkipsAChangeAfterAGap(t *testing.T) {
	state := &State{}
	state.Install(tableOf(7, 70))
	require.NoError(t, state.Apply([]Change{budgetChange(9, "90")}))
	require.EqualValues(t, 7, state.Version())
}

// Guards against a resumed host that admits work under an old table.
func TestHostThatWakesUpRefusesNewWorkUntilConfirmed(t *testing.T) {
	clock := &bvclock.Manual{}
	state := &State{}
	state.Install(tableOf(7, 70))
	state.Confirm(7, clock.Now())
	clock.Advance(bvclock.Minute)
	_, err := state.Current(clock.Now())
	require.Error(t, err)
	state.Confirm(7, clock.Now())
	_, err = state.Current(clock.Now())
	require.NoError(t, err)
}

func TestHostBehindIsNotConfirmedByANewerVersion(t *testing.T) {
	state := &State{}
	state.Install(tableOf(7, 70))
	state.Confirm(8, 0)
	_, err := state.Current(0)
	require.Error(t, err)
}

// Guards against treating a table as confirmed because the clock is less than MaxConfirmAge
// after zero.
func TestFreshClockConfirmsNothing(t *testing.T) {
	state := &State{}
	state.Install(tableOf(7, 70))
	_, err := state.Current(bvclock.Time(2 * bvclock.Second))
	require.Error(t, err)
}

func TestSnapshotKeepsTheTable(t *testing.T) {
	content, err := tableOf(7, 70).Encode()
	require.NoError(t, err)
	table, err := Decode(content)
	require.NoError(t, err)
	require.Equal(t, tableOf(7, 70), table)
}
