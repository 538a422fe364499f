// Package bvcommit groups the entries of many programs into few writes to the
// platform, which accepts a few hundred writes a second from all hosts together.
//
// A Committer has one transaction in flight at a time, starts transactions at the rate
// that its interval and burst allow, and reports each entry's outcome exactly once. It
// does no I/O and reads no clock: its effects ask the caller for writes and reads.
//
// # Usage
//
//	committer := bvcommit.New("host-1", "incarnation")
//	committer.SetInterval(bvclock.Duration(liveHosts) * bvclock.Second / writeBudget)
//	committer.SetBurst(8)
//	committer.Add(entry)
//	for _, effect := range committer.Tick(now) {
//		switch effect := effect.(type) {
//		case bvcommit.Write: // store.Commit, then committer.HandleWrite(now, version, err)
//		case bvcommit.Read:  // store.Read of the key, then committer.HandleRead(now, row, err)
//		case bvcommit.Done:  // ledger.HandleCommit(now, effect.Entry, effect.Version, effect.Err)
//		}
//	}
//	// sleep until committer.Next() or the next event, then Tick again
package bvcommit

import (
	"fmt"
	"net/url"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvledger"
	"balsamvalve.example/bvplatform"
)

// The defaults of the bounds.
const (
	DefaultMaxEntries = 256
	DefaultMaxBytes   = 1 << 20
	DefaultBackoff    = 100 * bvclock.Millisecond
	DefaultMaxBackoff = 2 * bvclock.Second
)

// Effect is an action that the caller must carry out for the committer.
type Effect interface{ effect() }

// Write asks for the transaction to be committed. Pass the outcome to HandleWrite.
type Write struct {
	Transaction bvplatform.Transaction
}

// Read asks for one row to be read. Pass the outcome to HandleRead.
type Read struct {
	Key string
}

// Done reports the outcome of an entry: the version of its rows, or an error, which
// means that the entry was not applied and never will be.
type Done struct {
	Entry   bvledger.EntryID
	Version int64
	Err     error
}

func (Write) effect() {}

func (Read) effect() {}

func (Done) effect() {}

type phase int

const (
	phaseIdle    phase = iota
	phaseBackoff       // waits to retry the batch
	phaseWriting       // a Write is in flight
	phaseReading       // a Read is in flight
)

// Committer is the group committer of one host. It is not safe for concurrent
// use. Create it with New.
type Committer struct {
	host        string
	incarnation string
	interval    bvclock.Duration
	burst       int
	maxEntries  int
	maxBytes    int

	queue           []bvledger.Entry
	batch           []bvledger.Entry
	phase           phase
	unresolved      []string // attempts of the batch whose outcome is unknown
	pendingConflict error    // conflict that is handled after the marker was read
	attempt         string   // id of the attempt in flight
	attemptCount    int64
	markerVersion   int64        // version of the marker row
	singles         int          // entries still to be written one at a time, after a rejection
	pacedUntil      bvclock.Time // end of the intervals of all transactions started so far
	hasWritten      bool
	retryAt         bvclock.Time
	backoff         bvclock.Duration
	effects         []Effect
	writes          int64
}

// New returns an empty Committer without a minimum interval. The incarnation must
// differ with each start of the process.
func New(host, incarnation string) *Committer {
	return &Committer{
		host:        host,
		incarnation: incarnation,
		maxEntries:  DefaultMaxEntries,
		maxBytes:    DefaultMaxBytes,
	}
}

// SetInterval sets the average time between the starts of two transactions.
func (committer *Committer) SetInterval(interval bvclock.Duration) {
	committer.interval = interval
}

// SetBurst sets how many transactions may start without waiting after an idle time; 0
// counts as 1. A single call needs two writes in a row, and with a burst of 1 would
// wait for the second one although the platform is idle.
func (committer *Committer) SetBurst(burst int) {
	committer.burst = burst
}

// nextStart returns when the next transaction may start.
func (committer *Committer) nextStart() bvclock.Time {
	allowance := bvclock.Duration(max(committer.burst, 1)-1) * committer.interval
	return committer.pacedUntil.Add(-allowance)
}

// SetMaxBatch bounds a transaction; an entry that exceeds the bounds is written alone.
func (committer *Committer) SetMaxBatch(entries, bytes int) {
	committer.maxEntries = entries
	committer.maxBytes = bytes
}

// Pending returns how many entries have no outcome yet.
func (committer *Committer) Pending() int {
	return len(committer.queue) + len(committer.batch)
}

// Writes returns how many transactions were attempted.
func (committer *Committer) Writes() int64 {
	return committer.writes
}

// MarkerKey returns the key of the row that every transaction of this committer
// checks and writes.
func (committer *Committer) MarkerKey() string {
	return "commit/" + url.PathEscape(committer.host) + "/" + url.PathEscape(committer.incarnation)
}

// Add queues an entry. Add the next entry of a program only after the outcome of its
// previous one.
func (committer *Committer) Add(entry bvledger.Entry) {
	committer.queue = append(committer.queue, entry)
}

// Tick starts an attempt if one is due and returns the effects since the last Tick.
func (committer *Committer) Tick(now bvclock.Time) []Effect {
	if due, ok := committer.Next(); ok && !now.Before(due) {
		committer.startAttempt(now)
	}
	effects := committer.effects
	committer.effects = nil
	return effects
}

// Next returns when Tick is due if no event comes first; false means never.
func (committer *Committer) Next() (bvclock.Time, bool) {
	switch committer.phase {
	case phaseBackoff:
		return committer.retryAt, true
	case phaseIdle:
		if len(committer.queue) == 0 {
			return 0, false
		}
		if !committer.hasWritten {
			return 0, true
		}
		return committer.nextStart(), true
	}
	return 0, false
}

func (committer *Committer) startAttempt(now bvclock.Time) {
	if committer.phase == phaseIdle {
		committer.fillBatch()
	}
	if len(committer.unresolved) > 0 {
		committer.readMarker()
		return
	}
	committer.writeBatch(now)
}

// writeBatch attempts to commit the batch under a new attempt number.
//
// The marker row guards against a write whose answer was lost and which takes effect
// late, after the batch was retried: both attempts check the same version of the
// marker and both change it, so at most one of them is ever applied, and the marker
// row names which one.
func (committer *Committer) writeBatch(now bvclock.Time) {
	committer.attemptCount++
	committer.attempt = fmt.Sprintf("%s/%s/%d", committer.host, committer.incarnation, committer.attemptCount)
	transaction := bvplatform.Transaction{
		Attempt: committer.attempt,
		Checks:  []bvplatform.Check{{Key: committer.MarkerKey(), Version: committer.markerVersion}},
		Puts:    []bvplatform.Put{{Key: committer.MarkerKey(), Value: []byte(committer.attempt)}},
	}
	for _, entry := range committer.batch {
		transaction.Checks = append(transaction.Checks, entry.Checks...)
		transaction.Puts = append(transaction.Puts, entry.Puts...)
	}
	committer.phase = phaseWriting
	committer.pacedUntil = max(committer.pacedUntil, now).Add(committer.interval)
	committer.hasWritten = true
	committer.writes++
	committer.effects = append(committer.effects, Write{Transaction: transaction})
}

func (committer *Committer) readMarker() {
	committer.phase = phaseReading
	committer.effects = append(committer.effects, Read{Key: committer.MarkerKey()})
}
