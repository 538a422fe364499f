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

// write plans and commits until the change is accepted or refused.
func (editor *Editor) write(ctx context.Context, actor Actor, attempt string, plan planner) (Change, error) {
	ctx, cancel := context.WithTimeout(ctx, editTimeout.Std())
	defer cancel()
	if attempt == "" {
		attempt = rand.Text()
	}
	if !validName(attempt) {
		return Change{}, bvverdict.Refuse(bvverdict.BadRequest, "attempt %q is not a plain word", attempt)
	}
	writing := &writing{editor: editor, actor: actor, attempt: attempt, plan: plan}
	for tries := 0; ; tries++ {
		change, accepted, err := writing.try(ctx)
		if err == nil && !accepted && editor.wait(ctx, tries) != nil {
			err = bvverdict.Refuse(bvverdict.Overloaded, "lost every race against other edits; nothing was changed").
				WithRetryAfter(bvclock.Second)
		}
		if err != nil {
			return Change{}, writing.verdict(err)
		}
		if accepted {
			return change, nil
		}
	}
}

// writing is one edit on its way to a version.
type writing struct {
	editor  *Editor
	actor   Actor
	attempt string
	plan    planner
	unknown int64 // version that a commit of unknown outcome would make; 0: none
}

// try makes one version, unless another edit makes it first.
func (writing *writing) try(ctx context.Context) (change Change, accepted bool, err error) {
	table, err := writing.editor.Get(ctx)
	if err != nil {
		return Change{}, false, err
	}
	earlier, found, err := writing.earlier(ctx, table)
	if err != nil || found {
		return earlier, found, err
	}
	draft, err := writing.plan(ctx, table)
	if err != nil {
		return Change{}, false, err
	}
	if draft.empty() {
		return Change{Version: table.version}, true, nil
	}
	change = Change{
		Version:  table.version + 1,
		Actor:    writing.actor,
		At:       time.Now().UTC(),
		Attempt:  writing.attempt,
		Proposal: draft.proposal,
		Note:     draft.note,
		Cells:    draft.cells,
	}
	next, err := table.With(change)
	if err != nil {
		return Change{}, false, invalid(err)
	}
	if err := writing.editor.validate(ctx, next, change); err != nil {
		return Change{}, false, err
	}
	transaction, current, err := writing.editor.transaction(ctx, next, change, draft)
	if err != nil || !current {
		return Change{}, false, err
	}
	if accepted, err = writing.commit(ctx, transaction, change.Version); err != nil || !accepted {
		return Change{}, false, err
	}
	return change, true, writing.editor.Follower.apply([]Change{change})
}

// commit reports whether the transaction is known to have made the version.
//
// The store's answer can be lost after the write took effect, or before, or
// while it is still under way. The next try tells: the attempt's row is there
// if it took effect, and if it is still under way, both transactions are
// conditional on the same counter, so that one takes effect at most.
func (writing *writing) commit(ctx context.Context, transaction bvplatform.Transaction, version int64) (bool, error) {
	_, err := writing.editor.Store.Commit(ctx, transaction)
	if err == nil {
		return true, nil
	}
	if errors.Is(err, bvplatform.ErrUnknown) {
		writing.unknown = version
		return false, nil
	}
	var conflict *bvplatform.ConflictError
	if errors.As(err, &conflict) {
		return false, nil
	}
	return false, unavailable(err)
}

// verdict keeps an error from saying that the edit was not accepted while a
// commit of it may still take effect.
func (writing *writing) verdict(err error) error {
	if writing.unknown == 0 {
		return err
	}
	return bvverdict.New(bvverdict.MayHaveRun, bvverdict.PlatformUnavailable,
		"the platform didn't tell whether the edit was accepted; see the table's history, or send it again as attempt %s",
		writing.attempt).WithCause(err)
}

// earlier returns the change of an attempt that was accepted before.
//
// An operator whose answer was lost on the way from a host sends the edit
// again. Run twice, it would set back what others changed in between, also
// when the cell happens to hold the expected text again. The attempt's row is
// written in the transaction of the change. Of two copies at once only one is
// accepted, because the row is looked up after the table was read, and the
// commit is conditional on that table still being the newest.
//
// A commit of unknown outcome is known to be lost when the attempt has no row
// although the counter has passed the version that it would have made: the
// table was read before the row, and the commit is conditional on the counter.
func (writing *writing) earlier(ctx context.Context, table *Table) (Change, bool, error) {
	store := writing.editor.Store
	rows, err := store.Read(ctx, attemptKey(writing.actor, writing.attempt))
	if err != nil {
		return Change{}, false, unavailable(err)
	}
	if rows[0].Version == 0 {
		if table.version >= writing.unknown {
			writing.unknown = 0
		}
		return Change{}, false, nil
	}
	version, err := decodeVersion(rows[0])
	if err != nil {
		return Change{}, false, unavailable(err)
	}
	changes, err := storage{store}.changes(ctx, version, version)
	if err != nil {
		return Change{}, false, unavailable(err)
	}
	if len(changes) == 0 {
		return Change{Version: version}, true, nil
	}
	return changes[0], true, nil
}

// transaction makes the new version conditional on the counter and on the rows
// that it touches. It reports whether the table is still the newest.
func (editor *Editor) transaction(ctx context.Context, next *Table, change Change, draft draft) (bvplatform.Transaction, bool, error) {
	names := touched(change.Cells)
	keys := []string{versionKey}
	for _, name := range names {
		keys = append(keys, rowKey(name))
	}
	rows, err := editor.Store.Read(ctx, keys...)
	if err != nil {
		return bvplatform.Transaction{}, false, unavailable(err)
	}
	version, err := decodeVersion(rows[0])
	if err != nil {
		return bvplatform.Transaction{}, false, unavailable(err)
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
	return transaction, true, editor.addDeletes(ctx, &transaction, change.Version-changesKept)
}

// addDeletes lets a change that is kept no longer go along with this write.
func (editor *Editor) addDeletes(ctx context.Context, transaction *bvplatform.Transaction, version int64) error {
	if version < 1 {
		return nil
	}
	changes, err := storage{editor.Store}.changes(ctx, version, version)
	if err != nil {
		return unavailable(err)
	}
	for _, change := range changes {
		transaction.Puts = append(transaction.Puts,
			bvplatform.Put{Key: changeKey(version)},
			bvplatform.Put{Key: attemptKey(change.Actor, change.Attempt)})
	}
	return nil
}

func touched(cells []Cell) []RowName {
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
		return invalid(err)
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
			return invalid(err)
		}
		transaction.Puts = append(transaction.Puts, bvplatform.Put{Key: rowKey(name), Value: content})
	}
	return nil
}
