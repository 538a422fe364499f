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

// readTimeout bounds one look at the store or at a peer, so that a look at a
// hanging store and then at peers stays within MaxConfirmAge.
const readTimeout = bvclock.Second

// Follower keeps a host's table up with the store, or with the other hosts
// while the store is out. Store and Clock must be set; it is safe for
// concurrent use.
type Follower struct {
	Store bvplatform.Store
	Peers Peers // may be nil
	Clock bvclock.Clock

	mutex    sync.Mutex
	state    State
	nextPeer int
	lastErr  error // of the last poll
}

// Current returns the table in force, or an error that refuses new work as
// not run. It only reads memory.
func (follower *Follower) Current() (*Table, error) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	table, err := follower.state.Current(follower.Clock.Now())
	if err != nil && follower.lastErr != nil {
		return nil, bvverdict.From(err).WithCause(follower.lastErr)
	}
	return table, err
}

// LastError returns why the last poll confirmed nothing; nil if it did.
func (follower *Follower) LastError() error {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.lastErr
}

// VersionInForce returns the version in force and when it was last confirmed, as a
// time of the follower's clock; zeros before the first.
func (follower *Follower) VersionInForce() (version int64, confirmed bvclock.Time) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.state.Version(), follower.state.confirmed
}

// Snapshot returns the table in force, confirmed or not; nil before the first.
func (follower *Follower) Snapshot() *Table {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.state.table
}

// SnapshotNewerThan serves Peers.FetchSnapshot.
func (follower *Follower) SnapshotNewerThan(known int64) (version int64, snapshot []byte, err error) {
	table := follower.Snapshot()
	if table == nil {
		return 0, nil, errors.New("table: this host has none yet")
	}
	if table.version <= known {
		return table.version, nil, nil
	}
	snapshot, err = table.Encode()
	return table.version, snapshot, err
}

// ApplyCommitted takes changes that a peer has seen committed and returns the version
// then in force. When they don't follow the version in force, the store is
// read.
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
		_ = follower.Poll(ctx) // Current tells when nothing can be confirmed
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Poll looks for a newer version: at the store with one small read, or at
// peers when the store doesn't answer. It returns an error when neither
// confirmed the version in force.
//
// A host that starts asks the peers first. A store that was set back would
// otherwise make a restarted host revert edits that the others have in force.
func (follower *Follower) Poll(ctx context.Context) error {
	if follower.Snapshot() == nil {
		_ = follower.askPeers(ctx) // the store is asked anyhow
	}
	err := follower.refresh(ctx)
	if err != nil {
		if peerErr := follower.askPeers(ctx); peerErr != nil {
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
	shown, err := follower.storeVersion(ctx)
	if err != nil {
		return err
	}
	// A store that shows less than what was in force before the question was
	// sent has been set back. The version in force was accepted once and must
	// not revert: keep it, and take the answer for no confirmation.
	if shown < before {
		return fmt.Errorf("table: the store shows version %d, but %d is in force", shown, before)
	}
	if err := follower.catchUp(ctx, shown); err != nil {
		return err
	}
	follower.confirm(shown, sent)
	return nil
}

func (follower *Follower) storeVersion(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout.Std())
	defer cancel()
	return storage{follower.Store}.version(ctx)
}

// catchUp reads the changes up to a version, or all rows when there is no
// table yet, when the changes are many or when they are no longer kept.
func (follower *Follower) catchUp(ctx context.Context, shown int64) error {
	table := follower.Snapshot()
	if table != nil && shown <= table.version {
		return nil
	}
	if table != nil && shown-table.version <= maxReplay {
		changes, err := storage{follower.Store}.changes(ctx, table.version+1, shown)
		if err != nil {
			return err
		}
		if err := follower.apply(changes); err != nil {
			return err
		}
		if version, _ := follower.VersionInForce(); version >= shown {
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

func (follower *Follower) confirm(shown int64, sent bvclock.Time) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	follower.state.Confirm(shown, sent)
}
