package bvcommit

import (
	"errors"
	"fmt"
	"slices"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvledger"
	"balsamvalve.example/bvplatform"
)

// HandleWrite tells the outcome of the last Write.
func (committer *Committer) HandleWrite(now bvclock.Time, version int64, err error) {
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

// HandleRead tells the outcome of the last Read.
func (committer *Committer) HandleRead(now bvclock.Time, row bvplatform.Row, err error) {
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
