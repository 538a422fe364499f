package bvtable

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	mathrand "math/rand/v2"
	"slices"
	"time"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvverdict"
)

const (
	// editTimeout bounds an edit from its arrival to its acceptance.
	editTimeout = 10 * bvclock.Second
	// retryPause is the longest wait before the first retry; it doubles up to
	// maxRetryPause.
	retryPause    = 10 * bvclock.Millisecond
	maxRetryPause = 500 * bvclock.Millisecond
)

// Editor edits the table for operators. Store and Follower must be set; it is
// safe for concurrent use, by many hosts at once.
//
// Errors are bvverdict errors. The codes are Invalid (a rule is broken; wraps
// an *InvalidError), Conflict (wraps a *CellConflictError where a cell is the
// cause), Forbidden, BadRequest, Overloaded (too many edits at once), and
// PlatformUnavailable, whose verdict says whether the edit may have been
// accepted.
//
// A verdict speaks for one call. When an earlier call with the same attempt
// got no answer or an unknown one, then "not run" with PlatformUnavailable or
// Overloaded doesn't speak for that: its attempt couldn't be looked up.
type Editor struct {
	Store     bvplatform.Store
	Follower  *Follower
	Endpoints bvplatform.EndpointList // knows models and services; may be nil
	Hosts     bvplatform.HostList     // whose confirmation is awaited; may be nil
	Confirmer Confirmer               // may be nil
	Host      string                  // own name in Hosts

	pause func(ctx context.Context, tries int) // nil: wait a random time that grows
}

// Get returns the newest table: one that holds every edit accepted before the
// call.
func (editor *Editor) Get(ctx context.Context) (*Table, error) {
	if err := editor.Follower.refresh(ctx); err != nil {
		return nil, unavailable(err)
	}
	return editor.Follower.Snapshot(), nil
}

// History returns at most limit changes below the given version, or the
// newest if that is 0, from the newest to the oldest.
func (editor *Editor) History(ctx context.Context, below int64, limit int) ([]Change, error) {
	table, err := editor.Get(ctx)
	if err != nil {
		return nil, err
	}
	if below <= 0 || below > table.version {
		below = table.version + 1
	}
	changes, err := storage{editor.Store}.history(ctx, below, limit)
	if err != nil {
		return nil, unavailable(err)
	}
	return changes, nil
}

// Set edits cells, all or none, and reports on which hosts the new version is
// in force. An edit that changes nothing makes no version.
func (editor *Editor) Set(ctx context.Context, actor Actor, edit Edit) (Report, error) {
	started := editor.Follower.Clock.Now()
	plan := &editPlan{actor: actor, edit: edit}
	change, err := editor.write(ctx, actor, edit.Attempt, func(_ context.Context, table *Table) (draft, error) {
		cells, err := plan.cells(table)
		return draft{cells: cells}, err
	})
	if err != nil {
		return Report{}, err
	}
	return editor.announce(ctx, started, change), nil
}

// draft is a change that isn't accepted yet.
type draft struct {
	cells    []Cell
	proposal string
	note     string
	checks   []bvplatform.Check
	puts     []bvplatform.Put
}

func (draft draft) empty() bool {
	return len(draft.cells) == 0 && len(draft.puts) == 0
}

// planner drafts a change against the newest table. It is called again after
// each lost race.
type planner func(ctx context.Context, table *Table) (draft, error)

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

// validate checks the table whole, so that an edit that merged with another
// one can't break a rule that each kept alone. Models and services are checked
// only in the cells of this edit: the platform's list lags, and a rival's
// model that left must not block everybody.
func (editor *Editor) validate(ctx context.Context, next *Table, change Change) error {
	validation := validation{known: editor.known(ctx)}
	for _, cell := range change.Cells {
		row, found := next.Exact(cell.Row())
		switch {
		case found && cell.Column == Models:
			validation.checkKnown(row.Name(), Models, "model", row.Models, validation.known.Models)
		case found && cell.Column == Services:
			validation.checkKnown(row.Name(), Services, "service", row.Services, validation.known.Services)
		}
	}
	if len(validation.problems) > 0 {
		return invalid(&InvalidError{Problems: validation.problems})
	}
	if err := Validate(next.Rows(), Known{}); err != nil {
		return invalid(err)
	}
	return nil
}

func (editor *Editor) known(ctx context.Context) Known {
	if editor.Endpoints == nil {
		return Known{}
	}
	endpoints, err := editor.Endpoints.Endpoints(ctx)
	if err != nil {
		return Known{}
	}
	var known Known
	for _, endpoint := range endpoints {
		if endpoint.Kind == bvplatform.Engine {
			known.Models = append(known.Models, endpoint.Serves)
		} else {
			known.Services = append(known.Services, endpoint.Serves)
		}
	}
	return known
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
		row, found := next.Exact(name)
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

// wait pauses before a retry, for a random time so that racing editors don't
// meet again at once. It returns an error when the context has ended.
func (editor *Editor) wait(ctx context.Context, tries int) error {
	if editor.pause != nil {
		editor.pause(ctx, tries)
		return ctx.Err()
	}
	longest := min(retryPause<<min(tries, 10), maxRetryPause)
	timer := time.NewTimer(mathrand.N(longest.Std()))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func unavailable(cause error) error {
	return bvverdict.Refuse(bvverdict.PlatformUnavailable, "the platform can't be reached; nothing was changed").
		WithRetryAfter(retryUnconfirmed).WithCause(cause)
}
