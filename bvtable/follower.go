package bvtable

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvverdict"
)

// readTimeout bounds one read from the store or a peer, so that a read from a hanging store
// followed by reads from peers ends within MaxConfirmAge.
const readTimeout = bvclock.Second

// Follower keeps a host's table up to date with the store, or with the other hosts while the
// store is unavailable. Store and Clock must be set. It is safe for concurrent use.
type Follower struct {
	Store bvplatform.Store
	Peers Peers // may be nil
	Clock bvclock.Clock

	mutex    sync.Mutex
	state    State
	nextPeer int
	lastErr  error // of the last poll
}

// Current returns the table in force, or an error with which new work is refused as not run.
// It only reads memory.
func (follower *Follower) Current() (*Table, error) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	table, err := follower.state.Current(follower.Clock.Now())
	if err != nil && follower.lastErr != nil {
		return nil, bvverdict.From(err).WithCause(follower.lastErr)
	}
	return table, err
}

// LastError returns the error of the last poll; nil if the poll confirmed a version.
func (follower *Follower) LastError() error {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.lastErr
}

// VersionInForce returns the version in force and the time of its last confirmation by the
// follower's clock. Both are zero before the first table.
func (follower *Follower) VersionInForce() (version int64, confirmedAt bvclock.Time) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.state.Version(), follower.state.confirmedAt
}

// Snapshot returns the table in force, confirmed or not; nil before the first table.
func (follower *Follower) Snapshot() *Table {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.state.table
}

// SnapshotNewerThan returns the version in force and, if it is above known, its encoded
// table. It serves Peers.FetchSnapshot.
func (follower *Follower) SnapshotNewerThan(known int64) (version int64, snapshot []byte, err error) {
	table := follower.Snapshot()
	if table == nil {
		return 0, nil, errors.New("table: this host has no table yet")
	}
	if table.version <= known {
		return table.version, nil, nil
	}
	snapshot, err = table.Encode()
	return table.version, snapshot, err
}

// ApplyCommitted applies changes that a peer has seen committed and returns the version then
// in force. If that is below the given version, the store is read.
func (follower *Follower) ApplyCommitted(ctx context.Context, version int64, changes []Change) (int64, error) {
	err := follower.apply(changes)
	if err != nil {
		return 0, err
	}
	if inForce, _ := follower.VersionInForce(); inForce < version {
		err = follower.refresh(ctx)
	}
	inForce, _ := follower.VersionInForce()
	if inForce >= version {
		return inForce, nil
	}
	return inForce, err
}

// Run polls until the context ends.
func (follower *Follower) Run(ctx context.Context, interval bvclock.Duration) {
	ticker := time.NewTicker(interval.Std())
	defer ticker.Stop()
	for {
		_ = follower.Poll(ctx) // Current reports a missing confirmation
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Poll checks for a newer version: with one small read from the store, or with queries to
// peers when the store doesn't answer. It returns an error when neither confirmed the version
// in force.
//
// A host that starts queries the peers first. Otherwise a store that was restored from an
// older backup would make a restarted host revert edits that the other hosts have in force.
func (follower *Follower) Poll(ctx context.Context) error {
	if follower.Snapshot() == nil {
		_ = follower.queryPeers(ctx) // the store is read in either case
	}
	err := follower.refresh(ctx)
	if err != nil {
		if peerErr := follower.queryPeers(ctx); peerErr != nil {
			err = errors.Join(err, peerErr)
		} else {
			err = nil
		}
	}
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	follower.lastErr = err
	return err
}

// refresh brings the table up to the store's version.
func (follower *Follower) refresh(ctx context.Context) error {
	before, _ := follower.VersionInForce()
	sent := follower.Clock.Now()
	newest, err := follower.storeVersion(ctx)
	if err != nil {
		return err
	}
	// A store whose version is below the one in force before the read was restored from an
	// older backup. The version in force was accepted and must not be reverted: keep it, and
	// don't count the answer as a confirmation.
	if newest < before {
		return fmt.Errorf("table: the store shows version %d, but %d is in force", newest, before)
	}
	if err := follower.catchUp(ctx, newest); err != nil {
		return err
	}
	follower.confirm(newest, sent)
	return nil
}

func (follower *Follower) storeVersion(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout.Std())
	defer cancel()
	return storage{follower.Store}.version(ctx)
}

// catchUp reads the changes up to a version. It reads all rows instead when there is no table
// yet, when there are more than maxReplay changes, or when they are no longer retained.
func (follower *Follower) catchUp(ctx context.Context, newest int64) error {
	table := follower.Snapshot()
	if table != nil && newest <= table.version {
		return nil
	}
	if table != nil && newest-table.version <= maxReplay {
		changes, err := storage{follower.Store}.changes(ctx, table.version+1, newest)
		if err != nil {
			return err
		}
		if err := follower.apply(changes); err != nil {
			return err
		}
		if version, _ := follower.VersionInForce(); version >= newest {
			return nil
		}
	}
	table, err := storage{follower.Store}.scan(ctx)
	if err != nil {
		return err
	}
	follower.install(table)
	return nil
}

func (follower *Follower) apply(changes []Change) error {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.state.Apply(changes)
}

func (follower *Follower) install(table *Table) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	follower.state.Install(table)
}

func (follower *Follower) confirm(newest int64, sent bvclock.Time) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	follower.state.Confirm(newest, sent)
}
