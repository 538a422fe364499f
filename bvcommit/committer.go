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
//		case bvcommit.Write: // store.Commit, then committer.Wrote(now, version, err)
//		case bvcommit.Read:  // store.Read of the key, then committer.WasRead(now, row, err)
//		case bvcommit.Done:  // ledger.Committed(now, effect.Entry, effect.Version, effect.Err)
//		}
//	}
//	// sleep until committer.Next() or the next event, then Tick again
package bvcommit

import (
	"errors"
	"fmt"
	"net/url"
	"slices"

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

// Write wants the transaction committed. Tell the outcome by Wrote.
type Write struct {
	Transaction bvplatform.Transaction
}

// Read wants one row read. Tell the outcome by WasRead.
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
func (Read) effect()  {}
func (Done) effect()  {}

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

// SetMax bounds a transaction; an entry that is larger goes alone.
func (committer *Committer) SetMax(entries, bytes int) {
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

// gather takes the next batch from the queue. An entry that touches a row of
// another one in the batch waits for the next batch, since its check is of
// the version before.
func (committer *Committer) gather() {
	limit := committer.maxEntries
	if committer.solo > 0 {
		limit = 1
	}
	touched := make(map[string]bool)
	size := 0
	var rest []bvledger.Entry
	for _, entry := range committer.queue {
		size += sizeOf(entry)
		full := len(committer.batch) > 0 && (len(committer.batch) >= limit || size > committer.maxBytes)
		if full || touches(entry, touched) {
			rest = append(rest, entry)
			touch(entry, touched)
			continue
		}
		touch(entry, touched)
		committer.batch = append(committer.batch, entry)
	}
	committer.queue = rest
	committer.solo = max(committer.solo-1, 0)
}

func touches(entry bvledger.Entry, touched map[string]bool) bool {
	return slices.ContainsFunc(entry.Checks, func(check bvplatform.Check) bool { return touched[check.Key] }) ||
		slices.ContainsFunc(entry.Puts, func(put bvplatform.Put) bool { return touched[put.Key] })
}

func touch(entry bvledger.Entry, touched map[string]bool) {
	for _, put := range entry.Puts {
		touched[put.Key] = true
	}
}

func sizeOf(entry bvledger.Entry) int {
	size := 0
	for _, put := range entry.Puts {
		size += len(put.Key) + len(put.Value)
	}
	return size
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

// Wrote tells the outcome of the last Write.
func (committer *Committer) Wrote(now bvclock.Time, version int64, err error) {
	if committer.phase != phaseWriting {
		return
	}
	var conflict *bvplatform.ConflictError
	switch {
	case err == nil:
		committer.applied(version)
	case errors.As(err, &conflict):
		committer.conflicted(now, conflict)
	case errors.Is(err, bvplatform.ErrUnavailable) && !errors.Is(err, bvplatform.ErrUnknown):
		committer.pause(now)
	case isRejection(err):
		committer.rejected(now, err)
	default:
		committer.lost = append(committer.lost, committer.attempt)
		committer.pause(now)
	}
}

// applied tells all entries of the batch that they are durable.
func (committer *Committer) applied(version int64) {
	committer.marker = version
	batch := committer.batch
	committer.reset()
	for _, entry := range batch {
		committer.done(Done{Entry: entry.ID, Version: version})
	}
}

func (committer *Committer) reset() {
	committer.batch = nil
	committer.lost = nil
	committer.asked = nil
	committer.backoff = 0
	committer.phase = phaseIdle
}

func (committer *Committer) done(done Done) {
	committer.effects = append(committer.effects, done)
}

// pause has the batch tried again later, at a growing distance.
func (committer *Committer) pause(now bvclock.Time) {
	committer.backoff = min(max(2*committer.backoff, DefaultBackoff), DefaultMaxBackoff)
	committer.retryAt = now.Add(max(committer.backoff, committer.interval))
	committer.phase = phasePaused
}

// conflicted drops the entries whose checks failed and tries the rest. If an
// earlier attempt was lost, the conflict may be its own work: the marker is
// read first.
func (committer *Committer) conflicted(now bvclock.Time, conflict *bvplatform.ConflictError) {
	if len(committer.lost) > 0 || slices.Contains(conflict.Keys, committer.MarkerKey()) {
		committer.asked = conflict
		committer.read()
		return
	}
	committer.drop(now, conflict)
}

// drop tells the entries that conflict, and goes on with the others.
//
// A lost attempt that holds a dropped entry can't be applied any more: the
// check that failed fails for good, since versions are never used twice. One
// exception is the check for absence of a row, which would hold again if the
// row were deleted; therefore a batch that has lost attempts is closed by a
// write of the marker, even if it has no entries left.
func (committer *Committer) drop(now bvclock.Time, conflict *bvplatform.ConflictError) {
	var rest []bvledger.Entry
	for _, entry := range committer.batch {
		keys := conflicting(entry, conflict.Keys)
		if len(keys) == 0 {
			rest = append(rest, entry)
			continue
		}
		committer.done(Done{Entry: entry.ID, Err: &bvplatform.ConflictError{Keys: keys}})
	}
	dropped := len(rest) < len(committer.batch)
	committer.batch = rest
	committer.asked = nil
	if len(rest) == 0 && len(committer.lost) == 0 {
		committer.reset()
		return
	}
	if !dropped {
		committer.pause(now)
		return
	}
	committer.write(now)
}

func conflicting(entry bvledger.Entry, keys []string) []string {
	var own []string
	for _, check := range entry.Checks {
		if slices.Contains(keys, check.Key) {
			own = append(own, check.Key)
		}
	}
	return own
}

// isRejection reports whether the platform will never take the transaction,
// for instance because it is too large.
func isRejection(err error) bool {
	return errors.Is(err, bvplatform.ErrRejected)
}

// rejected tries the entries of a rejected batch one by one, so that one that
// the platform will never take holds up no others, and gives that one up.
func (committer *Committer) rejected(now bvclock.Time, err error) {
	if len(committer.lost) > 0 {
		committer.pause(now)
		return
	}
	if len(committer.batch) == 1 {
		entry := committer.batch[0]
		committer.reset()
		committer.done(Done{Entry: entry.ID, Err: fmt.Errorf("commit: entry given up: %w", err)})
		return
	}
	committer.solo = len(committer.batch)
	committer.queue = append(committer.batch, committer.queue...)
	committer.reset()
}

// WasRead tells the outcome of the last Read.
func (committer *Committer) WasRead(now bvclock.Time, row bvplatform.Row, err error) {
	if committer.phase != phaseReading {
		return
	}
	if err != nil {
		committer.pause(now)
		return
	}
	if slices.Contains(committer.lost, row.Attempt) {
		committer.applied(row.Version)
		return
	}
	committer.marker = row.Version
	var conflict *bvplatform.ConflictError
	if errors.As(committer.asked, &conflict) {
		committer.drop(now, conflict)
		return
	}
	committer.write(now)
}
