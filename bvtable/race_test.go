package bvtable

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvverdict"
)

func TestRacingEditsOfDifferentCellsMerge(t *testing.T) {
	store := &faultyStore{}
	seed(t, store)
	store.beforeCommit = func() {
		_, err := newEditor(store).Set(t.Context(), piran, set("piran", "booking", Turns, "9"))
		require.NoError(t, err)
	}
	report, err := newEditor(store).Set(t.Context(), piran, set("piran", "booking", Budget, "500"))
	require.NoError(t, err)
	require.EqualValues(t, 3, report.Version)
	table, err := newEditor(store).Get(t.Context())
	require.NoError(t, err)
	row, _ := table.Row("piran", "booking")
	require.Equal(t, 9, row.Turns)
	require.EqualValues(t, 500, row.Budget)
}

func TestRacingEditsOfOneCellConflict(t *testing.T) {
	store := &faultyStore{}
	seed(t, store)
	store.beforeCommit = func() {
		_, err := newEditor(store).Set(t.Context(), piran, set("piran", "booking", Budget, "600"))
		require.NoError(t, err)
	}
	_, err := newEditor(store).Set(t.Context(), piran, set("piran", "booking", Budget, "500"))
	requireCode(t, bvverdict.Conflict, err)
	var conflict *CellConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, CellConflictError{Row: "piran/booking", Cell: "budget", Expected: "400", Found: "600"}, *conflict)
}

// Guards against a removal that silently discards a concurrent edit.
func TestRemovalThatMeetsAnEditConflicts(t *testing.T) {
	store := &faultyStore{}
	seed(t, store)
	store.beforeCommit = func() {
		_, err := newEditor(store).Set(t.Context(), piran, set("piran", "booking", Budget, "600"))
		require.NoError(t, err)
	}
	_, err := newEditor(store).Set(t.Context(), piran, set("piran", "booking", Presence, Absent))
	requireCode(t, bvverdict.Conflict, err)
}

func TestEditThatMeetsARemovalConflicts(t *testing.T) {
	store := &faultyStore{}
	seed(t, store)
	store.beforeCommit = func() {
		_, err := newEditor(store).Set(t.Context(), piran, set("piran", "booking", Presence, Absent))
		require.NoError(t, err)
	}
	_, err := newEditor(store).Set(t.Context(), piran, set("piran", "booking", Turns, "3"))
	requireCode(t, bvverdict.Conflict, err)
}

// Guards against reporting "not run" for an edit whose commit is still in flight.
func TestEditInFlightIsNotReportedAsRefused(t *testing.T) {
	store := &faultyStore{}
	seed(t, store)
	editor := newEditor(store)
	_, err := editor.Get(t.Context())
	require.NoError(t, err)
	store.faults = []fault{delayedWrite}
	store.readsBeforeFault, store.failingReads = 5, 1 // an attempt reads the counter, the attempt's row and the rows
	_, err = editor.Set(t.Context(), piran, set("piran", "", Budget, "5"))
	require.Equal(t, bvverdict.MayHaveRun, bvverdict.Of(err), "%v", err)
	store.applyDelayed()
	table, err := newEditor(store).Get(t.Context())
	require.NoError(t, err)
	require.EqualValues(t, 2, table.Version())
}

// Guards against applying a resent edit as a new one.
func TestEditSentAgainIsTheSameEdit(t *testing.T) {
	store := &bvplatform.Memory{}
	seed(t, store)
	editor := newEditor(store)
	old := "400"
	edit := Edit{Attempt: "first", Cells: []CellEdit{{Member: "piran", Class: "booking", Column: Budget, Old: &old, New: "500"}}}
	first, err := editor.Set(t.Context(), piran, edit)
	require.NoError(t, err)
	_, err = editor.Set(t.Context(), piran, set("piran", "booking", Budget, "400"))
	require.NoError(t, err)

	again, err := editor.Set(t.Context(), piran, edit)
	require.NoError(t, err)
	require.Equal(t, first.Version, again.Version)
	require.Equal(t, "400", editor.Follower.Snapshot().CellText(RowName{"piran", "booking"}, Budget))
}

// Guards against a store restored from a backup that reverts an accepted edit.
func TestRestoredStoreRevertsNothing(t *testing.T) {
	store := &bvplatform.Memory{}
	seed(t, store)
	editor := newEditor(store)
	_, err := editor.Set(t.Context(), piran, set("piran", "booking", Budget, "500"))
	require.NoError(t, err)
	backup := &bvplatform.Memory{}
	seed(t, backup)
	editor.Follower.Store = backup
	require.Error(t, editor.Follower.Poll(t.Context()))
	version, _ := editor.Follower.VersionInForce()
	require.EqualValues(t, 2, version)
}

// Guards against an import that reverts other operators' changes.
func TestImportRevertsNothingThatOthersChanged(t *testing.T) {
	store := &bvplatform.Memory{}
	seed(t, store)
	editor := newEditor(store)
	table, err := editor.Get(t.Context())
	require.NoError(t, err)
	var exported bytes.Buffer
	require.NoError(t, Export(&exported, table, "piran"))
	_, err = editor.Set(t.Context(), piran, set("piran", "booking", Turns, "12"))
	require.NoError(t, err)

	edited := strings.Replace(exported.String(), "booking,0,5,0,0,400", "booking,0,5,0,0,450", 1)
	require.NotEqual(t, exported.String(), edited)
	_, err = editor.Import(t.Context(), piran, "", strings.NewReader(edited), true)
	require.NoError(t, err)
	row, _ := editor.Follower.Snapshot().Row("piran", "booking")
	require.Equal(t, 12, row.Turns)
	require.EqualValues(t, 450, row.Budget)
	require.Equal(t, 4, editor.Follower.Snapshot().Len(), "an import must not remove hidden rows of other members")
}

// fakeHosts confirm changes, except the frozen host, which doesn't answer.
type fakeHosts struct {
	followers map[string]*Follower
	frozen    string
}

func (hosts fakeHosts) Confirm(ctx context.Context, host string, version int64, changes []Change) (int64, error) {
	if host == hosts.frozen {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return hosts.followers[host].ApplyCommitted(ctx, version, changes)
}

// consortium returns an editor on host-0 and the given number of hosts, host-0 included.
func consortium(t *testing.T, count int) (*Editor, *fakeHosts) {
	memory := &bvplatform.Memory{}
	seed(t, memory)
	hosts := &fakeHosts{followers: map[string]*Follower{}}
	for i := range count {
		require.NoError(t, memory.Announce(t.Context(), bvplatform.Host{Name: hostName(i)}))
		follower := &Follower{Store: memory, Clock: &bvclock.Manual{}}
		require.NoError(t, follower.Poll(t.Context()))
		hosts.followers[hostName(i)] = follower
	}
	editor := newEditor(memory)
	editor.Follower, editor.Hosts, editor.Confirmer, editor.Host = hosts.followers[hostName(0)], memory, hosts, hostName(0)
	return editor, hosts
}

func TestReportNamesAFrozenHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		editor, hosts := consortium(t, 4)
		hosts.frozen = hostName(2)
		report, err := editor.Set(t.Context(), piran, set("piran", "booking", Budget, "500"))
		require.NoError(t, err)
		require.Equal(t, []string{"host-2"}, report.Unconfirmed)
		require.Equal(t, "version 2 in force on 3 of 4 hosts after 0 ms; not confirmed by host-2", report.String())
	})
}

func TestReportCountsAllHosts(t *testing.T) {
	editor, hosts := consortium(t, 4)
	report, err := editor.Set(t.Context(), piran, set("piran", "booking", Budget, "500"))
	require.NoError(t, err)
	require.Equal(t, "version 2 in force on all 4 hosts after 0 ms", report.String())
	for _, follower := range hosts.followers {
		require.Equal(t, "500", follower.Snapshot().CellText(RowName{"piran", "booking"}, Budget))
	}
}

// Guards against a lagging host that advances its version without the version's cells.
func TestEditThatChangesNothingDoesNotAdvanceALaggingHost(t *testing.T) {
	editor, hosts := consortium(t, 2)
	hosts.frozen = hostName(1)
	synctest.Test(t, func(t *testing.T) {
		_, err := editor.Set(t.Context(), piran, set("piran", "booking", Budget, "500"))
		require.NoError(t, err)
	})
	hosts.frozen = ""
	report, err := editor.Set(t.Context(), piran, set("piran", "booking", Budget, "500"))
	require.NoError(t, err)
	require.False(t, report.Changed)
	require.Equal(t, "500", hosts.followers[hostName(1)].Snapshot().CellText(RowName{"piran", "booking"}, Budget))
}

// Guards against a starting host that uses the first answer instead of the newest one.
func TestHostThatStartsInAnOutageTakesTheHighestOfAllPeers(t *testing.T) {
	peers := slowPeers{"fast": tableOf(5, 50), "slow": tableOf(7, 70), "none": nil}
	synctest.Test(t, func(t *testing.T) {
		follower := &Follower{Store: &faultyStore{unavailable: true}, Peers: peers, Clock: &bvclock.Manual{}}
		require.NoError(t, follower.Poll(t.Context()))
		table, err := follower.Current()
		require.NoError(t, err)
		require.EqualValues(t, 7, table.Version())
	})
}

type slowPeers map[string]*Table

func (slowPeers) Names() []string { return []string{"fast", "none", "slow"} }

func (peers slowPeers) FetchSnapshot(ctx context.Context, host string, known int64) (int64, []byte, error) {
	table := peers[host]
	if table == nil {
		<-ctx.Done()
		return 0, nil, errors.Join(errors.New("no answer"), ctx.Err())
	}
	if host == "slow" {
		time.Sleep(readTimeout.Std() / 2)
	}
	follower := &Follower{}
	follower.install(table)
	return follower.SnapshotNewerThan(known)
}

// Guards against a restarted host that follows a store restored from an older backup.
func TestHostThatRestartsWithARestoredStoreRevertsNothing(t *testing.T) {
	backup := &bvplatform.Memory{}
	seed(t, backup)
	follower := &Follower{Store: backup, Peers: slowPeers{"fast": tableOf(7, 70), "slow": tableOf(7, 70), "none": tableOf(6, 60)}, Clock: &bvclock.Manual{}}
	require.NoError(t, follower.Poll(t.Context()))
	table, err := follower.Current()
	require.NoError(t, err)
	require.EqualValues(t, 7, table.Version())
}

func TestHostThatReachesNobodyAdmitsNothing(t *testing.T) {
	follower := &Follower{Store: &faultyStore{unavailable: true}, Clock: &bvclock.Manual{}}
	require.Error(t, follower.Poll(t.Context()))
	_, err := follower.Current()
	require.Equal(t, bvverdict.NotRun, bvverdict.Of(err))
	requireCode(t, bvverdict.PlatformUnavailable, err)
}

// Guards against changes that accumulate in the store.
func TestOldChangesAreDeletedWithNewOnes(t *testing.T) {
	store := &bvplatform.Memory{}
	seed(t, store)
	_, err := store.Commit(t.Context(), bvplatform.Transaction{
		Puts: []bvplatform.Put{{Key: versionKey, Value: encodeVersion(changesRetained)}},
	})
	require.NoError(t, err)
	writes, _ := store.Counts()
	_, err = newEditor(store).Set(t.Context(), piran, set("piran", "booking", Budget, "500"))
	require.NoError(t, err)
	after, _ := store.Counts()
	require.EqualValues(t, 1, after-writes)
	rows, err := store.Scan(t.Context(), changePrefix, "", 10)
	require.NoError(t, err)
	require.Len(t, rows, 1)
	require.Equal(t, changeKey(changesRetained+1), rows[0].Key)
	rows, err = store.Scan(t.Context(), attemptPrefix, "", 10)
	require.NoError(t, err)
	require.Len(t, rows, 1)
}
