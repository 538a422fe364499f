package bvtable

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvverdict"
)

// write plans and commits a change, and retries until it is accepted or refused.
func (editor *Editor) write(ctx context.Context, actor Actor, attempt string, plan planner) (Change, error) {
	ctx, cancel := context.WithTimeout(ctx, editTimeout.Std())
	defer cancel()
	if attempt == "" {
		attempt = rand.Text()
	}
	if !validName(attempt) {
		return Change{}, bvverdict.Refuse(bvverdict.BadRequest, "attempt %q is not a plain word", attempt)
	}
	writer := &editWriter{editor: editor, actor: actor, attempt: attempt, plan: plan}
	for tries := 0; ; tries++ {
		change, accepted, err := writer.writeOnce(ctx)
		if err == nil && !accepted && editor.wait(ctx, tries) != nil {
			err = bvverdict.Refuse(bvverdict.Overloaded, "lost every race against other edits; nothing was changed").
				WithRetryAfter(bvclock.Second)
		}
		if err != nil {
			return Change{}, writer.verdict(err)
		}
		if accepted {
			return change, nil
		}
	}
}

// editWriter writes one edit as a version of the table.
type editWriter struct {
	editor         *Editor
	actor          Actor
	attempt        string
	plan           planner
	unknownVersion int64 // version that a commit of unknown outcome would create; 0: none
}

// writeOnce attempts to create the next version. It reports false if another edit may have
// created that version first, or if the outcome of the commit is unknown.
func (writer *editWriter) writeOnce(ctx context.Context) (change Change, accepted bool, err error) {
	table, err := writer.editor.Get(ctx)
	if err != nil {
		return Change{}, false, err
	}
	earlier, found, err := writer.findEarlier(ctx, table)
	if err != nil || found {
		return earlier, found, err
	}
	draft, err := writer.plan(ctx, table)
	if err != nil {
		return Change{}, false, err
	}
	if draft.isEmpty() {
		return Change{Version: table.version}, true, nil
	}
	change = Change{
		Version:  table.version + 1,
		Actor:    writer.actor,
		At:       time.Now().UTC(),
		Attempt:  writer.attempt,
		Proposal: draft.proposal,
		Note:     draft.note,
		Cells:    draft.cells,
	}
	next, err := table.With(change)
	if err != nil {
		return Change{}, false, invalidError(err)
	}
	if err := writer.editor.validate(ctx, next, change); err != nil {
		return Change{}, false, err
	}
	transaction, current, err := writer.editor.transaction(ctx, next, change, draft)
	if err != nil || !current {
		return Change{}, false, err
	}
	if accepted, err = writer.commit(ctx, transaction, change.Version); err != nil || !accepted {
		return Change{}, false, err
	}
	return change, true, writer.editor.Follower.apply([]Change{change})
}

// commit reports whether the transaction is known to have created the version.
//
// The store's answer can be lost after the write took effect, before it did, or while it is
// still in flight. The next writeOnce resolves this: if the write took effect, the attempt's row
// exists; if it is still in flight, both transactions are conditional on the same counter, so
// that at most one takes effect.
func (writer *editWriter) commit(ctx context.Context, transaction bvplatform.Transaction, version int64) (bool, error) {
	_, err := writer.editor.Store.Commit(ctx, transaction)
	if err == nil {
		return true, nil
	}
	if errors.Is(err, bvplatform.ErrUnknown) {
		writer.unknownVersion = version
		return false, nil
	}
	var conflict *bvplatform.ConflictError
	if errors.As(err, &conflict) {
		return false, nil
	}
	return false, unavailableError(err)
}

// verdict turns an error into MayHaveRun while a commit of the edit may still take effect.
func (writer *editWriter) verdict(err error) error {
	if writer.unknownVersion == 0 {
		return err
	}
	return bvverdict.New(bvverdict.MayHaveRun, bvverdict.PlatformUnavailable,
		"the platform did not confirm whether the edit was accepted; see the table's history, or send it again as attempt %s",
		writer.attempt).WithCause(err)
}

// findEarlier returns the change of an attempt that was accepted before.
//
// An operator that loses the answer to an edit sends the edit again. Applied twice, it would
// revert changes made in between, even when the cell happens to hold the expected text again.
// The attempt's row is written in the transaction of the change. Of two concurrent copies only
// one is accepted, because the row is looked up after the table was read, and the commit is
// conditional on that table still being the newest.
//
// A commit of unknown outcome is known to have failed when the attempt has no row although the
// counter has reached the version that the commit would have created: the table was read
// before the row, and the commit is conditional on the counter.
func (writer *editWriter) findEarlier(ctx context.Context, table *Table) (Change, bool, error) {
	store := writer.editor.Store
	rows, err := store.Read(ctx, attemptKey(writer.actor, writer.attempt))
	if err != nil {
		return Change{}, false, unavailableError(err)
	}
	if rows[0].Version == 0 {
		if table.version >= writer.unknownVersion {
			writer.unknownVersion = 0
		}
		return Change{}, false, nil
	}
	version, err := decodeVersion(rows[0])
	if err != nil {
		return Change{}, false, unavailableError(err)
	}
	changes, err := storage{store}.changes(ctx, version, version)
	if err != nil {
		return Change{}, false, unavailableError(err)
	}
	if len(changes) == 0 {
		return Change{Version: version}, true, nil
	}
	return changes[0], true, nil
}

// transaction builds the write of a new version, conditional on the counter and on the rows
// that it changes. It reports whether the table is still the newest.
func (editor *Editor) transaction(ctx context.Context, next *Table, change Change, draft draft) (bvplatform.Transaction, bool, error) {
	names := touchedRows(change.Cells)
	keys := []string{versionKey}
	for _, name := range names {
		keys = append(keys, rowKey(name))
	}
	rows, err := editor.Store.Read(ctx, keys...)
	if err != nil {
		return bvplatform.Transaction{}, false, unavailableError(err)
	}
	version, err := decodeVersion(rows[0])
	if err != nil {
		return bvplatform.Transaction{}, false, unavailableError(err)
	}
	if version != change.Version-1 {
		return bvplatform.Transaction{}, false, nil
	}
	transaction := bvplatform.Transaction{Attempt: "table/" + rand.Text(), Checks: draft.checks, Puts: draft.puts}
	for _, row := range rows {
		transaction.Checks = append(transaction.Checks, bvplatform.Check{Key: row.Key, Version: row.Version})
	}
	if err := addPuts(&transaction, next, change, names); err != nil {
		return bvplatform.Transaction{}, false, err
	}
	return transaction, true, editor.addDeletes(ctx, &transaction, change.Version-changesRetained)
}

// addDeletes adds the deletion of the change that is no longer retained, and of its attempt's
// row, to the transaction.
func (editor *Editor) addDeletes(ctx context.Context, transaction *bvplatform.Transaction, version int64) error {
	if version < 1 {
		return nil
	}
	changes, err := storage{editor.Store}.changes(ctx, version, version)
	if err != nil {
		return unavailableError(err)
	}
	for _, change := range changes {
		transaction.Puts = append(transaction.Puts,
			bvplatform.Put{Key: changeKey(version)},
			bvplatform.Put{Key: attemptKey(change.Actor, change.Attempt)})
	}
	return nil
}

func touchedRows(cells []Cell) []RowName {
	var names []RowName
	for _, cell := range cells {
		if !slices.Contains(names, cell.Row()) {
			names = append(names, cell.Row())
		}
	}
	return names
}

func addPuts(transaction *bvplatform.Transaction, next *Table, change Change, names []RowName) error {
	content, err := json.Marshal(change)
	if err != nil {
		return invalidError(err)
	}
	transaction.Puts = append(transaction.Puts,
		bvplatform.Put{Key: versionKey, Value: encodeVersion(change.Version)},
		bvplatform.Put{Key: changeKey(change.Version), Value: content},
		bvplatform.Put{Key: attemptKey(change.Actor, change.Attempt), Value: encodeVersion(change.Version)})
	for _, name := range names {
		row, found := next.ExactRow(name)
		if !found {
			transaction.Puts = append(transaction.Puts, bvplatform.Put{Key: rowKey(name)})
			continue
		}
		content, err := json.Marshal(row)
		if err != nil {
			return invalidError(err)
		}
		transaction.Puts = append(transaction.Puts, bvplatform.Put{Key: rowKey(name), Value: content})
	}
	return nil
}
