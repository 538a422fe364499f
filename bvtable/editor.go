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

// Editor edits the table for operators. Store and Follower must be set. It is safe for
// concurrent use, also by several hosts.
//
// Errors are bvverdict errors. The codes are Invalid (a rule is broken; wraps an
// *InvalidError), Conflict (wraps a *CellConflictError where a cell is the cause), Forbidden,
// BadRequest, Overloaded (too many concurrent edits), and PlatformUnavailable, whose verdict
// states whether the edit may have been accepted.
//
// A verdict applies to one call. If an earlier call with the same attempt got no answer or
// one with an unknown outcome, "not run" with PlatformUnavailable or Overloaded doesn't apply
// to that earlier call, because its attempt couldn't be looked up.
type Editor struct {
	Store     bvplatform.Store
	Follower  *Follower
	Endpoints bvplatform.EndpointList // source of the known models and services; may be nil
	Hosts     bvplatform.HostList     // hosts that must confirm an edit; may be nil
	Confirmer Confirmer               // may be nil
	Host      string                  // this host's name in Hosts

	pause func(ctx context.Context, tries int) // nil: random exponential backoff
}

// Get returns the newest table, which includes every edit accepted before the call.
func (editor *Editor) Get(ctx context.Context) (*Table, error) {
	if err := editor.Follower.refresh(ctx); err != nil {
		return nil, unavailableError(err)
	}
	return editor.Follower.Snapshot(), nil
}

// History returns at most limit changes below the given version, or the newest changes if that
// is 0, newest first.
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
		return nil, unavailableError(err)
	}
	return changes, nil
}

// Set applies an edit entirely or not at all, and reports on which hosts the new version is
// in force. An edit that changes nothing creates no version.
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
	return editor.pushChange(ctx, started, change), nil
}

// draft is a change that is not accepted yet.
type draft struct {
	cells    []Cell
	proposal string
	note     string
	checks   []bvplatform.Check
	puts     []bvplatform.Put
}

func (draft draft) isEmpty() bool {
	return len(draft.cells) == 0 && len(draft.puts) == 0
}

// planner drafts a change against the newest table. It is called again after each commit
// that conflicts with another edit.
type planner func(ctx context.Context, table *Table) (draft, error)

// validate checks all rows, because two merged edits can together break a rule that each of
// them satisfies. Models and services are checked only in the cells of this edit: the
// platform's list lags, and a removed model in another member's row must not block all edits.
func (editor *Editor) validate(ctx context.Context, next *Table, change Change) error {
	validation := validation{catalog: editor.catalog(ctx)}
	for _, cell := range change.Cells {
		row, found := next.ExactRow(cell.Row())
		switch {
		case found && cell.Column == Models:
			validation.checkKnown(row.Name(), Models, "model", row.Models, validation.catalog.Models)
		case found && cell.Column == Services:
			validation.checkKnown(row.Name(), Services, "service", row.Services, validation.catalog.Services)
		}
	}
	if len(validation.problems) > 0 {
		return invalidError(&InvalidError{Problems: validation.problems})
	}
	if err := Validate(next.Rows(), Catalog{}); err != nil {
		return invalidError(err)
	}
	return nil
}

func (editor *Editor) catalog(ctx context.Context) Catalog {
	if editor.Endpoints == nil {
		return Catalog{}
	}
	endpoints, err := editor.Endpoints.Endpoints(ctx)
	if err != nil {
		return Catalog{}
	}
	var catalog Catalog
	for _, endpoint := range endpoints {
		if endpoint.Kind == bvplatform.Engine {
			catalog.Models = append(catalog.Models, endpoint.Serves)
		} else {
			catalog.Services = append(catalog.Services, endpoint.Serves)
		}
	}
	return catalog
}

// wait pauses before a retry, for a random time so that concurrent editors don't conflict
// again immediately. It returns an error when the context has ended.
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

func unavailableError(cause error) error {
	return bvverdict.Refuse(bvverdict.PlatformUnavailable, "the platform can't be reached; nothing was changed").
		WithRetryAfter(retryUnconfirmed).WithCause(cause)
}
