package bvtable

import (
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvverdict"
)

// MaxConfirmAge is the time after its last confirmation for which a host may admit new work.
const MaxConfirmAge = 4 * bvclock.Second

// retryUnconfirmed is the retry time given to callers that an unconfirmed host refuses.
const retryUnconfirmed = bvclock.Second

// State is one host's state of the table. It does no input or output and reads no clock, so
// that tests can run it step by step. The zero value has no table and admits nothing.
type State struct {
	table           *Table
	confirmedAt     bvclock.Time
	hasConfirmation bool // confirmedAt is set
}

// Version returns the version in force; 0 before the first table.
func (state *State) Version() int64 {
	if state.table == nil {
		return 0
	}
	return state.table.version
}

// HasTable reports whether the host has a table.
func (state *State) HasTable() bool { return state.table != nil }

// Apply puts changes in force that directly follow the version in force, and skips all
// others: an older change would revert newer ones, and after a gap the table would miss a
// change permanently.
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

// Install puts a table in force if it is newer.
func (state *State) Install(table *Table) {
	if state.table == nil || table.version > state.table.version {
		state.table = table
	}
}

// Confirm records that the store or a peer reported newest as the newest version. It has no
// effect while the version in force is lower.
//
// The time must be the one at which the request was sent: the answer may have been delayed,
// and does not confirm the version for any later time.
func (state *State) Confirm(newest int64, sent bvclock.Time) {
	if state.table == nil || state.table.version < newest {
		return
	}
	if !state.hasConfirmation || sent.After(state.confirmedAt) {
		state.confirmedAt = sent
	}
	state.hasConfirmation = true
}

// Current returns the table in force. A host without a confirmation for more than
// MaxConfirmAge refuses new work: the store and all peers are unreachable, or the host was
// suspended, and meanwhile another host may have accepted an edit that this host would
// violate. The clock counts suspended time, so a host that resumes refuses new work until it
// is confirmed again.
func (state *State) Current(now bvclock.Time) (*Table, error) {
	if state.table == nil || !state.hasConfirmation {
		return nil, bvverdict.Refuse(bvverdict.PlatformUnavailable,
			"this host has no confirmed table yet").WithRetryAfter(retryUnconfirmed)
	}
	if age := now.Sub(state.confirmedAt); age > MaxConfirmAge {
		return nil, bvverdict.Refuse(bvverdict.PlatformUnavailable,
			"version %d of the table was last confirmed %v ago", state.table.version, age.Std()).
			WithRetryAfter(retryUnconfirmed)
	}
	return state.table, nil
}
