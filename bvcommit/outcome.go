package bvcommit

import (
	"errors"
	"fmt"
	"slices"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvledger"
	"balsamvalve.example/bvplatform"
)

// HandleWrite processes the outcome of the last Write.
func (committer *Committer) HandleWrite(now bvclock.Time, version int64, err error) {
	if committer.phase != phaseWriting {
		return
	}
	var conflict *bvplatform.ConflictError
	switch {
	case err == nil:
		committer.completeBatch(version)
	case errors.As(err, &conflict):
		committer.handleConflict(now, conflict)
	case errors.Is(err, bvplatform.ErrUnavailable) && !errors.Is(err, bvplatform.ErrUnknown):
		committer.scheduleRetry(now)
	case isRejection(err):
		committer.handleRejection(now, err)
	default:
		committer.unresolved = append(committer.unresolved, committer.attempt)
		committer.scheduleRetry(now)
	}
}

// completeBatch reports all entries of the batch as durable.
func (committer *Committer) completeBatch(version int64) {
	committer.markerVersion = version
	batch := committer.batch
	committer.reset()
	for _, entry := range batch {
		committer.emitDone(Done{Entry: entry.ID, Version: version})
	}
}

func (committer *Committer) reset() {
	committer.batch = nil
	committer.unresolved = nil
	committer.pendingConflict = nil
	committer.backoff = 0
	committer.phase = phaseIdle
}

func (committer *Committer) emitDone(done Done) {
	committer.effects = append(committer.effects, done)
}

// scheduleRetry schedules a retry of the batch, with exponential backoff.
func (committer *Committer) scheduleRetry(now bvclock.Time) {
	committer.backoff = min(max(2*committer.backoff, DefaultBackoff), DefaultMaxBackoff)
	committer.retryAt = now.Add(max(committer.backoff, committer.interval))
	committer.phase = phaseBackoff
}

// handleConflict drops the entries whose checks failed and retries the rest. If the
// outcome of an earlier attempt is unknown, that attempt may have caused the conflict:
// the marker is read first.
func (committer *Committer) handleConflict(now bvclock.Time, conflict *bvplatform.ConflictError) {
	if len(committer.unresolved) > 0 || slices.Contains(conflict.Keys, committer.MarkerKey()) {
		committer.pendingConflict = conflict
		committer.readMarker()
		return
	}
	committer.dropConflicting(now, conflict)
}

// dropConflicting reports the entries that conflict as failed, and continues with the
// others.
//
// An unresolved attempt that contains a dropped entry can no longer be applied: the
// check that failed always fails, since versions are never used twice. One exception
// is a check that a row is absent, which would succeed again if the row were deleted;
// therefore a batch with unresolved attempts ends with a write of the marker, even if
// it has no entries left.
func (committer *Committer) dropConflicting(now bvclock.Time, conflict *bvplatform.ConflictError) {
	var rest []bvledger.Entry
	for _, entry := range committer.batch {
		keys := conflictingKeys(entry, conflict.Keys)
		if len(keys) == 0 {
			rest = append(rest, entry)
			continue
		}
		committer.emitDone(Done{Entry: entry.ID, Err: &bvplatform.ConflictError{Keys: keys}})
	}
	dropped := len(rest) < len(committer.batch)
	committer.batch = rest
	committer.pendingConflict = nil
	if len(rest) == 0 && len(committer.unresolved) == 0 {
		committer.reset()
		return
	}
	if !dropped {
		committer.scheduleRetry(now)
		return
	}
	committer.writeBatch(now)
}

func conflictingKeys(entry bvledger.Entry, keys []string) []string {
	var own []string
	for _, check := range entry.Checks {
		if slices.Contains(keys, check.Key) {
			own = append(own, check.Key)
		}
	}
	return own
}

// isRejection reports whether the platform will never accept the transaction, for
// instance because it is too large.
func isRejection(err error) bool {
	return errors.Is(err, bvplatform.ErrRejected)
}

// handleRejection queues the entries of a rejected batch to be written one at a time,
// so that an entry that the platform never accepts doesn't block the others. An entry
// that is rejected alone fails.
func (committer *Committer) handleRejection(now bvclock.Time, err error) {
	if len(committer.unresolved) > 0 {
		committer.scheduleRetry(now)
		return
	}
	if len(committer.batch) == 1 {
		entry := committer.batch[0]
		committer.reset()
		committer.emitDone(Done{Entry: entry.ID, Err: fmt.Errorf("commit: entry rejected: %w", err)})
		return
	}
	committer.singles = len(committer.batch)
	committer.queue = append(committer.batch, committer.queue...)
	committer.reset()
}

// HandleRead processes the outcome of the last Read.
func (committer *Committer) HandleRead(now bvclock.Time, row bvplatform.Row, err error) {
	if committer.phase != phaseReading {
		return
	}
	if err != nil {
		committer.scheduleRetry(now)
		return
	}
	if slices.Contains(committer.unresolved, row.Attempt) {
		committer.completeBatch(row.Version)
		return
	}
	committer.markerVersion = row.Version
	var conflict *bvplatform.ConflictError
	if errors.As(committer.pendingConflict, &conflict) {
		committer.dropConflicting(now, conflict)
		return
	}
	committer.writeBatch(now)
}
