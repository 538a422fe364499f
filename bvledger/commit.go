package bvledger

import (
	"errors"
	"strings"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
)

// HandleCommit processes the outcome of a Commit: the new version of its rows, or an
// error, which means that nothing of the entry was or ever will be written. A
// *bvplatform.ConflictError on the head row means that another host owns the program.
func (ledger *Ledger) HandleCommit(now bvclock.Time, id EntryID, version int64, err error) {
	entry := ledger.entries[id]
	if entry == nil {
		return
	}
	delete(ledger.entries, id)
	entry.done = true
	for _, draw := range entry.draws {
		draw.account.inFlight = false
	}
	if entry.detachedCall != nil {
		ledger.completeDetached(entry, err)
		return
	}
	program := entry.program
	program.entry = nil
	if err == nil {
		ledger.applyEntry(now, entry, version)
	} else {
		ledger.handleFailedEntry(now, entry, err)
	}
	ledger.advance(now, program)
	ledger.retryStarved(now)
}

func (ledger *Ledger) retryStarved(now bvclock.Time) {
	starved := ledger.starved
	ledger.starved = nil
	for _, program := range starved {
		ledger.advance(now, program)
	}
}

// applyEntry updates the program's state after its entry has become durable.
func (ledger *Ledger) applyEntry(now bvclock.Time, entry *entry, version int64) {
	program := entry.program
	program.headVersion = version
	for _, draw := range entry.draws {
		draw.account.row = draw.row
		draw.account.durable = draw.row
		draw.account.version = version
	}
	program.head.Drawn += entry.drawAmount
	program.head.Pending = entry.head.Pending
	if entry.claim {
		program.phase = phaseOwned
		program.head.Epoch = entry.head.Epoch
		program.head.Owner = entry.head.Owner
		program.head.Spent = entry.head.Spent
		program.head.addEndpoints(entry.head.Endpoints)
	}
	if entry.handover {
		ledger.completeHandover(program)
		return
	}
	ledger.applyRecords(entry, version)
	ledger.completeTurns(program, entry.turns)
	program.durableEndpoints = entry.head.Endpoints
	if entry.ending {
		ledger.completeEnd(now, program)
	}
	if entry.ending || program.claimRequested {
		program.claimRequested = false
		program.releasedAt = now
		ledger.emitRelease(program)
	}
	ledger.requeue(program)
}

func (ledger *Ledger) applyRecords(entry *entry, version int64) {
	program := entry.program
	for _, settlement := range entry.settlements {
		if settlement.row.State == onceAnswered {
			delete(program.onceRecords, settlement.key) // from now on the turn serves the answer
			continue
		}
		program.onceRecords[settlement.key] = onceRecord{row: settlement.row, version: version}
	}
	if entry.onceKey == "" {
		return
	}
	program.onceRecords[entry.onceKey] = onceRecord{row: entry.onceRow, version: version}
	if ledger.calls[entry.call.ID] == nil {
		program.settle(entry.call, onceRow{State: onceNotRun}) // the call has been refused in the meantime
		return
	}
	entry.call.recordInserted = true
}

// completeTurns answers the calls of the turns that are now durable. An answer is never
// sent earlier: a caller that has received it must find it again, in the history and
// with a repeat, even if this host fails.
func (ledger *Ledger) completeTurns(program *program, turns int) {
	for number := program.durableTurns + 1; number <= turns; number++ {
		turn := program.turns[number-1]
		turn.hasAnswer = number == turns
		turn.messages = nil
		turn.message = nil
		ledger.answerWaiters(turn, number)
	}
	if turns > program.durableTurns && program.durableTurns > 0 {
		last := program.turns[program.durableTurns-1]
		last.hasAnswer = false
		last.answer = nil
	}
	program.durableTurns = turns
}

// handleFailedEntry processes an entry that was not written. Accounts are shared with
// other programs, and another host may have inserted a once record: after a conflict on
// only these rows they are read again and a new entry is built. After any other failure
// this host's state of the program is invalid and dropped.
func (ledger *Ledger) handleFailedEntry(now bvclock.Time, entry *entry, err error) {
	program := entry.program
	program.settlements = append(entry.settlements, program.settlements...)
	program.usedEndpoints = append(entry.usedEndpoints, program.usedEndpoints...)
	var conflict *bvplatform.ConflictError
	if !errors.As(err, &conflict) || !entry.isSharedConflict(conflict.Keys) {
		ledger.dropProgram(now, program, err)
		return
	}
	program.dirty = true
	ledger.invalidateAccounts(conflict.Keys)
	ledger.requeue(program)
	ledger.requestRows(program, false, conflict.Keys...)
}

// invalidateAccounts marks accounts as unknown until they have been read again.
// Otherwise two programs of one host that draw from the same account can fail
// alternately and indefinitely: while one reads, the other writes with the old version,
// and rows that are read during a write are ignored.
func (ledger *Ledger) invalidateAccounts(keys []string) {
	for _, key := range keys {
		if account := ledger.accounts[key]; account != nil {
			account.known = false
		}
	}
}

// isSharedConflict reports whether all the keys are of rows that other programs or hosts
// write too.
func (entry *entry) isSharedConflict(keys []string) bool {
	for _, key := range keys {
		if key != entry.onceKey && !strings.HasPrefix(key, AccountTable) {
			return false
		}
	}
	return len(keys) > 0
}
