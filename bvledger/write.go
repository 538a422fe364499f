package bvledger

import (
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
)

// entry is a write of a program that is in flight.
type entry struct {
	id            EntryID
	program       *program // nil for the once record of a detached call
	detachedCall  *detachedCall
	answer        []byte
	call          *call // the call that the entry prepares
	onceKey       string
	onceRow       onceRow
	head          head
	claim         bool
	turns         int // number of durable turns after the entry
	draws         []draw
	drawAmount    int64
	settlements   []settlement
	usedEndpoints []string
	ending        bool
	handover      bool
	issued        bvclock.Time
	done          bool
}

// writeEntry issues the program's next entry if there is something to write. A program
// has one entry in flight at a time: the next one checks the version of the head row that
// this one creates.
func (ledger *Ledger) writeEntry(now bvclock.Time, program *program) {
	if program.entry != nil || program.awaitingRows {
		return
	}
	entry := &entry{program: program, head: program.head.clone(), turns: len(program.turns)}
	entry.ending = program.canEnd()
	if program.running != nil && program.running.state == callPreparing {
		entry.call = program.running
	}
	if program.handover {
		ledger.issueHandover(now, entry)
		return
	}
	if program.phase != phaseOwned {
		if entry.call == nil && !entry.ending && !program.claimRequested {
			return
		}
		ledger.claim(entry)
	}
	if !ledger.planDraws(now, entry) {
		return
	}
	if entry.call == nil && !entry.ending && !program.mustWrite() && !entry.claim {
		return
	}
	ledger.issueEntry(now, entry, ledger.buildRows(now, entry))
}

// mustWrite reports whether the program has state that must be written.
func (program *program) mustWrite() bool {
	return program.uncommitted() > 0 || program.dirty || len(program.settlements) > 0
}

// claim makes this host the owner, as of the entry's commit.
//
// It guards against two hosts that serve one program at a time, because their lists of
// live hosts differ or one of them was paused: the claim changes the head row, so the
// other host's next write, conditional on the old row, fails, and that host refuses its
// calls.
//
// A former owner that has not handed the program over may have spent its whole block, and
// may have sent calls to endpoints that no row lists.
func (ledger *Ledger) claim(entry *entry) {
	entry.claim = true
	entry.head.Spent = entry.head.spentAtClaim()
	if entry.head.Owner != "" && !entry.head.State.IsEnded() {
		entry.head.addEndpoint(AnyEndpoint)
	}
	entry.head.Epoch++
	entry.head.Owner = ledger.owner
}

// buildRows returns the entry's checks and puts.
func (ledger *Ledger) buildRows(now bvclock.Time, entry *entry) Entry {
	program := entry.program
	var rows Entry
	put := func(key string, version int64, value any) {
		rows.Checks = append(rows.Checks, bvplatform.Check{Key: key, Version: version})
		rows.Puts = append(rows.Puts, bvplatform.Put{Key: key, Value: encode(value)})
	}
	if entry.ending {
		entry.head.State = program.ending.state
	}
	inserted := ""
	if entry.insertsRecord() {
		inserted = entry.call.Request
	}
	entry.head.Pending = program.pending(inserted)
	put(HeadKey(program.key), program.headVersion, entry.head)
	for _, draw := range entry.draws {
		draw.account.inFlight = true
		put(draw.account.key, draw.account.version, draw.row)
	}
	ledger.insertRecord(now, entry, put)
	entry.settlements = program.settlements
	program.settlements = nil
	entry.usedEndpoints = program.usedEndpoints
	program.usedEndpoints = nil
	for _, settlement := range entry.settlements {
		put(settlement.key, program.onceRecords[settlement.key].version, settlement.row)
	}
	for number := program.durableTurns + 1; number <= entry.turns; number++ {
		turn := program.turns[number-1]
		rows.Puts = append(rows.Puts, bvplatform.Put{Key: TurnKey(program.key, number), Value: encode(turnRow{
			Request:  turn.request,
			Digest:   turn.digest,
			Messages: turn.messages,
			Message:  turn.message,
			Answer:   turn.answer,
		})})
	}
	program.dirty = false
	return rows
}

// insertsRecord reports whether the entry inserts a once record.
func (entry *entry) insertsRecord() bool {
	return entry.call != nil && entry.call.Unrepeatable && !entry.call.recordInserted
}

func (ledger *Ledger) insertRecord(now bvclock.Time, entry *entry, put func(string, int64, any)) {
	if !entry.insertsRecord() {
		return
	}
	call := entry.call
	key := OnceKey(entry.program.key, call.Request)
	entry.program.removeSettlement(key)
	call.windowEnd = now.Add(ledger.settings.OnceWindow)
	entry.onceKey = key
	entry.onceRow = onceRow{
		State: onceInserted, Digest: call.Digest, Owner: ledger.owner,
		Epoch: entry.head.Epoch, Turn: entry.turns + 1,
	}
	put(key, entry.program.onceRecords[key].version, entry.onceRow)
}

func (ledger *Ledger) issueEntry(now bvclock.Time, entry *entry, rows Entry) {
	ledger.lastEntry++
	entry.id = ledger.lastEntry
	entry.issued = now
	rows.ID = entry.id
	ledger.entries[entry.id] = entry
	ledger.issued = append(ledger.issued, entry)
	if entry.program != nil {
		entry.program.entry = entry
	}
	ledger.emit(Commit{Entry: rows})
}
