package bvtable

import (
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvverdict"
)

// MaxConfirmAge is how long a host may work without anybody confirming its
// version.
const MaxConfirmAge = 4 * bvclock.Second

// retryUnconfirmed is when a refused caller may find the host confirmed.
const retryUnconfirmed = bvclock.Second

// State is what one host knows of the table. It does no input or output and
// reads no clock, so that tests can run it step by step. The zero value knows
// nothing and admits nothing.
type State struct {
	table     *Table
	confirmed bvclock.Time
	ever      bool // confirmed is set
}

// Version returns the version in force; 0 before the first table.
func (state *State) Version() int64 {
	if state.table == nil {
		return 0
	}
	return state.table.version
}

// HasTable reports whether the host has a table at all.
func (state *State) HasTable() bool { return state.table != nil }

// Apply puts changes in force that follow the version in force, and skips all
// others: an older one must not set back, and after a gap the table would
// miss a change for good.
func (state *State) Apply(changes []Change) error {
	for _, change := range changes {
		if state.table == nil || change.Version != state.table.version+1 {
			continue
		}
		next, err := state.table.With(change)
		if err != nil {
			return err
		}
		state.table = next
	}
	return nil
}

// Install puts a whole table in force if it is newer.
func (state *State) Install(table *Table) {
	if state.table == nil || table.version > state.table.version {
		state.table = table
	}
}

// Confirm notes that at the given time somebody showed shown as the newest
// version. A host that is behind it is not confirmed by that.
//
// The time must be the one at which the question was sent: the answer may
// have waited on the way, and speaks for no later moment.
func (state *State) Confirm(shown int64, sent bvclock.Time) {
	if state.table == nil || state.table.version < shown {
		return
	}
	if !state.ever || sent.After(state.confirmed) {
		state.confirmed = sent
	}
	state.ever = true
}

// Current returns the table in force. A host that nobody has confirmed for
// MaxConfirmAge refuses new work: the store and all peers are out of its
// reach, or it was paused, and meanwhile an edit may have been accepted
// elsewhere that it would act against. The clock counts suspended time, so a
// host that wakes up is refused before it has run anything.
func (state *State) Current(now bvclock.Time) (*Table, error) {
	if state.table == nil || !state.ever {
		return nil, bvverdict.Refuse(bvverdict.PlatformUnavailable,
			"this host has no confirmed table yet").WithRetryAfter(retryUnconfirmed)
	}
	if age := now.Sub(state.confirmed); age > MaxConfirmAge {
		return nil, bvverdict.Refuse(bvverdict.PlatformUnavailable,
			"version %d of the table was last confirmed %v ago", state.table.version, age.Std()).
			WithRetryAfter(retryUnconfirmed)
	}
	return state.table, nil
}
