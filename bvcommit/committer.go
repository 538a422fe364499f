// Package bvcommit gathers the entries of many programs into few platform
// writes: the platform takes a few hundred writes a second for all hosts.
//
// A Committer has one transaction in flight, starts no more of them than its
// interval and burst allow, and tells each entry's outcome exactly once. It knows
// no sockets, no clock and no platform.
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

// Effect is something that the committer wants done.
type Effect interface{ effect() }

// Write wants the transaction committed. Tell the outcome by HandleWrite.
type Write struct {
	Transaction bvplatform.Transaction
}

// Read wants one row read. Tell the outcome by HandleRead.
type Read struct {
	Key string
}

// Done tells the outcome of an entry: the version of its rows, or an error,
// which means that the entry was not applied and never will be.
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
	phasePaused        // waits to try the batch again
	phaseWriting       // a Write is under way
	phaseReading       // a Read is under way
)

// Committer is the group committer of one host. It is not safe for concurrent
// use. Make one with New.
type Committer struct {
	host        string
	incarnation string
	interval    bvclock.Duration
	burst       int
	maxEntries  int
	maxBytes    int

	queue   []bvledger.Entry
	batch   []bvledger.Entry
	phase   phase
	lost    []string // attempts of the batch whose outcome is unknown
	asked   error    // conflict that a read must explain
	attempt string   // under way
	count   int64
	marker  int64        // version of the marker row
	solo    int          // entries that are tried one by one, after a rejection
	earned  bvclock.Time // when all transactions so far are paid for, at one an interval
	begun   bool
	retryAt bvclock.Time
	backoff bvclock.Duration
	effects []Effect
	writes  int64
}

// New returns an empty Committer without a minimal interval. The incarnation
// must differ with each start of the process.
func New(host, incarnation string) *Committer {
	return &Committer{
		host:        host,
		incarnation: incarnation,
		maxEntries:  DefaultMaxEntries,
		maxBytes:    DefaultMaxBytes,
	}
}

// SetInterval sets the time between the starts of two transactions in the
// long run.
func (committer *Committer) SetInterval(interval bvclock.Duration) {
	committer.interval = interval
}

// SetBurst sets how many transactions may start without waiting after a quiet
// time; 0 counts as 1. A call that is alone needs two writes in a row, and
// would otherwise wait for the second although the platform has nothing to do.
func (committer *Committer) SetBurst(burst int) {
	committer.burst = burst
}

// due is when the next transaction may start.
func (committer *Committer) due() bvclock.Time {
	saved := bvclock.Duration(max(committer.burst, 1)-1) * committer.interval
	return committer.earned.Add(-saved)
}

// SetMaxBatch bounds a transaction; an entry that is larger goes alone.
func (committer *Committer) SetMaxBatch(entries, bytes int) {
	committer.maxEntries = entries
	committer.maxBytes = bytes
}

// Pending returns how many entries have no outcome yet.
func (committer *Committer) Pending() int {
	return len(committer.queue) + len(committer.batch)
}

// Writes returns how many transactions were tried.
func (committer *Committer) Writes() int64 {
	return committer.writes
}

// MarkerKey is the key of the row that every transaction of this committer
// checks and writes.
func (committer *Committer) MarkerKey() string {
	return "commit/" + url.PathEscape(committer.host) + "/" + url.PathEscape(committer.incarnation)
}

// Add takes in an entry. Entries of one program must come one at a time, each
// after the outcome of the one before.
func (committer *Committer) Add(entry bvledger.Entry) {
	committer.queue = append(committer.queue, entry)
}

// Tick starts what is due and returns the effects since the last Tick.
func (committer *Committer) Tick(now bvclock.Time) []Effect {
	if due, ok := committer.Next(); ok && !now.Before(due) {
		committer.start(now)
	}
	effects := committer.effects
	committer.effects = nil
	return effects
}

// Next is when Tick has something to do without a further event; false means
// never.
func (committer *Committer) Next() (bvclock.Time, bool) {
	switch committer.phase {
	case phasePaused:
		return committer.retryAt, true
	case phaseIdle:
		if len(committer.queue) == 0 {
			return 0, false
		}
		if !committer.begun {
			return 0, true
		}
		return committer.due(), true
	}
	return 0, false
}

func (committer *Committer) start(now bvclock.Time) {
	if committer.phase == phaseIdle {
		committer.gather()
	}
	if len(committer.lost) > 0 {
		committer.read()
		return
	}
	committer.write(now)
}

// write tries the batch under a new attempt number.
//
// The marker row guards against a write whose answer was lost and which takes
// effect late, after the batch was tried again: both attempts check the same
// version of the marker and both change it, so at most one of them is ever
// applied, and the marker's row names which one.
func (committer *Committer) write(now bvclock.Time) {
	committer.count++
	committer.attempt = fmt.Sprintf("%s/%s/%d", committer.host, committer.incarnation, committer.count)
	transaction := bvplatform.Transaction{
		Attempt: committer.attempt,
		Checks:  []bvplatform.Check{{Key: committer.MarkerKey(), Version: committer.marker}},
		Puts:    []bvplatform.Put{{Key: committer.MarkerKey(), Value: []byte(committer.attempt)}},
	}
	for _, entry := range committer.batch {
		transaction.Checks = append(transaction.Checks, entry.Checks...)
		transaction.Puts = append(transaction.Puts, entry.Puts...)
	}
	committer.phase = phaseWriting
	committer.earned = max(committer.earned, now).Add(committer.interval)
	committer.begun = true
	committer.writes++
	committer.effects = append(committer.effects, Write{Transaction: transaction})
}

func (committer *Committer) read() {
	committer.phase = phaseReading
	committer.effects = append(committer.effects, Read{Key: committer.MarkerKey()})
}
