package bvtable

import (
	"context"
	mathrand "math/rand/v2"
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

// validate checks the table whole, so that an edit that merged with another
// one can't break a rule that each kept alone. Models and services are checked
// only in the cells of this edit: the platform's list lags, and a rival's
// model that left must not block everybody.
func (editor *Editor) validate(ctx context.Context, next *Table, change Change) error {
	validation := validation{known: editor.known(ctx)}
	for _, cell := range change.Cells {
		row, found := next.ExactRow(cell.Row())
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
	if err := Validate(next.Rows(), Catalog{}); err != nil {
		return invalid(err)
	}
	return nil
}

func (editor *Editor) known(ctx context.Context) Catalog {
	if editor.Endpoints == nil {
		return Catalog{}
	}
	endpoints, err := editor.Endpoints.Endpoints(ctx)
	if err != nil {
		return Catalog{}
	}
	var known Catalog
	for _, endpoint := range endpoints {
		if endpoint.Kind == bvplatform.Engine {
			known.Models = append(known.Models, endpoint.Serves)
		} else {
			known.Services = append(known.Services, endpoint.Serves)
		}
	}
	return known
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
