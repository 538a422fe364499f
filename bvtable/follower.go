package bvtable

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"time"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvverdict"
)

const (
	// readTimeout bounds one look at the store or at a peer, so that a look
	// at a hanging store and then at peers stays within ConfirmBound.
	readTimeout = bvclock.Second
	// peersPerPoll is the number of peers that are asked when the store is
	// out. Each poll asks other ones, so that a version which one host has
	// reaches all in a few polls without everybody asking everybody.
	peersPerPoll = 3
)

// Peers asks other hosts for their tables.
type Peers interface {
	// Names returns the other live hosts, as last known.
	Names() []string
	// Show returns the version that a host has in force and, if that is above
	// known, its encoded table.
	Show(ctx context.Context, host string, known int64) (version int64, snapshot []byte, err error)
}

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

// InForce returns the version in force and when it was last confirmed, as a
// time of the follower's clock; zeros before the first.
func (follower *Follower) InForce() (version int64, confirmed bvclock.Time) {
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

// Show answers a peer's question as Peers.Show describes it.
func (follower *Follower) Show(known int64) (version int64, snapshot []byte, err error) {
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

// Accept takes changes that a peer has seen committed and returns the version
// then in force. When they don't follow the version in force, the store is
// read.
func (follower *Follower) Accept(ctx context.Context, version int64, changes []Change) (int64, error) {
	err := follower.apply(changes)
	if err != nil {
		return 0, err
	}
	if inForce, _ := follower.InForce(); inForce < version {
		err = follower.refresh(ctx)
	}
	inForce, _ := follower.InForce()
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
	before, _ := follower.InForce()
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
		if version, _ := follower.InForce(); version >= shown {
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

// askPeers takes the highest version that peers show, from one of those that
// have it.
//
// All answers are awaited before any is put in force. A host that starts in
// an outage would otherwise work with the table of whichever peer answers
// first, which may be older than what the host had before its restart.
func (follower *Follower) askPeers(ctx context.Context) error {
	names := follower.choosePeers()
	sent := follower.Clock.Now()
	answers := make(chan peerAnswer, len(names))
	for _, name := range names {
		go func() { answers <- follower.askPeer(ctx, name, versionOnly) }()
	}
	failures := []error{errors.New("table: no peer confirmed")}
	var newest []peerAnswer
	for range names {
		answer := <-answers
		switch {
		case answer.err != nil:
			failures = append(failures, answer.err)
		case len(newest) == 0 || answer.version > newest[0].version:
			newest = []peerAnswer{answer}
		case answer.version == newest[0].version:
			newest = append(newest, answer)
		}
	}
	if len(newest) == 0 {
		return errors.Join(failures...)
	}
	return follower.takeFromPeers(ctx, newest, sent)
}

// takeFromPeers gets the table from the first of the peers that gives it.
func (follower *Follower) takeFromPeers(ctx context.Context, peers []peerAnswer, sent bvclock.Time) error {
	shown := peers[0].version
	known, _ := follower.InForce()
	var failures []error
	for _, peer := range peers {
		if known >= shown {
			break
		}
		answer := follower.askPeer(ctx, peer.name, known)
		if answer.table == nil {
			failures = append(failures, answer.err)
			continue
		}
		follower.install(answer.table)
		known, _ = follower.InForce()
	}
	if known < shown {
		return fmt.Errorf("table: no peer gave version %d: %w", shown, errors.Join(failures...))
	}
	follower.confirm(shown, sent)
	return nil
}

// versionOnly asks a peer for its version, without its table.
const versionOnly = math.MaxInt64

type peerAnswer struct {
	name    string
	version int64
	table   *Table // nil unless newer than known
	err     error
}

func (follower *Follower) askPeer(ctx context.Context, name string, known int64) peerAnswer {
	ctx, cancel := context.WithTimeout(ctx, readTimeout.Std())
	defer cancel()
	version, snapshot, err := follower.Peers.Show(ctx, name, known)
	if err != nil {
		return peerAnswer{err: fmt.Errorf("table: ask host %s: %w", name, err)}
	}
	answer := peerAnswer{name: name, version: version}
	if len(snapshot) > 0 {
		answer.table, answer.err = Decode(snapshot)
	}
	return answer
}

func (follower *Follower) choosePeers() []string {
	if follower.Peers == nil {
		return nil
	}
	names := follower.Peers.Names()
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	if !follower.state.Started() || len(names) <= peersPerPoll {
		return names
	}
	chosen := make([]string, 0, peersPerPoll)
	for range peersPerPoll {
		chosen = append(chosen, names[follower.nextPeer%len(names)])
		follower.nextPeer++
	}
	return chosen
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
