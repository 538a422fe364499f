package bvledger

import (
	"errors"
	"strings"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
)

// HandleCommit tells the outcome of a Commit: the version that its rows have
// now, or an error, which means that nothing of the entry was or ever will be
// written. A *bvplatform.ConflictError on the head row means that another
// host owns the program.
func (ledger *Ledger) HandleCommit(now bvclock.Time, id EntryID, version int64, err error) {
	entry := ledger.entries[id]
	if entry == nil {
		return
	}
	delete(ledger.entries, id)
	entry.done = true
	for _, draw := range entry.draws {
		draw.account.busy = false
	}
	if entry.stray != nil {
		ledger.strayCommitted(entry, err)
		return
	}
	program := entry.program
	program.entry = nil
	if err == nil {
		ledger.applied(now, entry, version)
	} else {
		ledger.failed(now, entry, err)
	}
	ledger.advance(now, program)
	ledger.wakeStarved(now)
}

func (ledger *Ledger) wakeStarved(now bvclock.Time) {
	starved := ledger.starved
	ledger.starved = nil
	for _, program := range starved {
		ledger.advance(now, program)
	}
}

// applied takes in that the entry is durable.
func (ledger *Ledger) applied(now bvclock.Time, entry *entry, version int64) {
	program := entry.program
	program.headVersion = version
	for _, draw := range entry.draws {
		draw.account.row = draw.row
		draw.account.durable = draw.row
		draw.account.version = version
	}
	program.head.Drawn += entry.amount
	program.head.Pending = entry.head.Pending
	if entry.claim {
		program.phase = phaseOwned
		program.head.Epoch = entry.head.Epoch
		program.head.Owner = entry.head.Owner
		program.head.Spent = entry.head.Spent
		program.head.addEndpoints(entry.head.Endpoints)
	}
	if entry.handover {
		ledger.handedOver(program)
		return
	}
	ledger.appliedOnce(entry, version)
	ledger.keep(program, entry.turns)
	program.placed = entry.head.Endpoints
	if entry.ending {
		ledger.ended(now, program)
	}
	if entry.ending || program.reclaimed {
		program.reclaimed = false
		program.releasedAt = now
		ledger.emitReleased(program)
	}
	ledger.requeue(program)
}

func (ledger *Ledger) appliedOnce(entry *entry, version int64) {
	program := entry.program
	for _, settlement := range entry.settlements {
		if settlement.row.State == onceAnswered {
			delete(program.once, settlement.key) // the turn answers from now on
			continue
		}
		program.once[settlement.key] = onceRecord{row: settlement.row, version: version}
	}
	if entry.onceKey == "" {
		return
	}
	program.once[entry.onceKey] = onceRecord{row: entry.onceRow, version: version}
	if ledger.calls[entry.call.ID] == nil {
		program.settle(entry.call, onceRow{State: onceNotRun}) // its caller was refused meanwhile
		return
	}
	entry.call.inserted = true
}

// keep answers the turns that are durable now. Only then is an answer given:
// a caller that has it must find it again, in the history and for a repeat,
// whatever becomes of this host.
func (ledger *Ledger) keep(program *program, turns int) {
	for number := program.durable + 1; number <= turns; number++ {
		turn := program.turns[number-1]
		turn.held = number == turns
		turn.messages = nil
		turn.message = nil
		ledger.answerWaiters(turn, number)
	}
	if turns > program.durable && program.durable > 0 {
		last := program.turns[program.durable-1]
		last.held = false
		last.answer = nil
	}
	program.durable = turns
}

// failed takes in that the entry was not written. Accounts are shared with
// other programs and a record may have been inserted elsewhere: those are
// read again and the entry is made anew. Anything else means that what this
// host has of the program is of no use any more.
func (ledger *Ledger) failed(now bvclock.Time, entry *entry, err error) {
	program := entry.program
	program.settlements = append(entry.settlements, program.settlements...)
	program.used = append(entry.used, program.used...)
	var conflict *bvplatform.ConflictError
	if !errors.As(err, &conflict) || !entry.shared(conflict.Keys) {
		ledger.lose(now, program, err)
		return
	}
	program.dirty = true
	ledger.forgetAccounts(conflict.Keys)
	ledger.requeue(program)
	ledger.read(program, false, conflict.Keys...)
}

// forgetAccounts makes sure that nobody uses an old view of an account until
// it has been read again. Otherwise two programs of one host that draw from
// the same account can fail by turns for ever: while one reads, the other
// writes on the old version, and what is read under a write is not taken.
func (ledger *Ledger) forgetAccounts(keys []string) {
	for _, key := range keys {
		if account := ledger.accounts[key]; account != nil {
			account.known = false
		}
	}
}

// shared reports whether all the keys are rows that others write too.
func (entry *entry) shared(keys []string) bool {
	for _, key := range keys {
		if key != entry.onceKey && !strings.HasPrefix(key, AccountTable) {
			return false
		}
	}
	return len(keys) > 0
}
