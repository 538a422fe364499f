package bvledger

import (
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
)

// entry is a program's write under way.
type entry struct {
	id          EntryID
	program     *program // nil for the record of a stray call
	stray       *stray
	answer      []byte
	call        *call // that is prepared by the entry
	onceKey     string
	onceRow     onceRow
	head        head
	claim       bool
	turns       int // durable ones after the entry
	draws       []draw
	amount      int64
	settlements []settlement
	used        []string
	ending      bool
	handover    bool
	issued      bvclock.Time
	done        bool
}

// write issues the program's next entry if there is something to write. A
// program has one entry under way: the next one is conditional on the version
// that this one gives the head row.
func (ledger *Ledger) write(now bvclock.Time, program *program) {
	if program.entry != nil || program.reloading {
		return
	}
	entry := &entry{program: program, head: program.head.clone(), turns: len(program.turns)}
	entry.ending = program.endReady()
	if program.running != nil && program.running.state == callPreparing {
		entry.call = program.running
	}
	if program.handover {
		ledger.handOver(now, entry)
		return
	}
	if program.phase != phaseOwned {
		if entry.call == nil && !entry.ending && !program.reclaimed {
			return
		}
		ledger.claim(entry)
	}
	if !ledger.draw(now, entry) {
		return
	}
	if entry.call == nil && !entry.ending && !program.mustWrite() && !entry.claim {
		return
	}
	ledger.issue(now, entry, ledger.rows(now, entry))
}

// mustWrite reports whether something waits to be durable.
func (program *program) mustWrite() bool {
	return program.unkept() > 0 || program.dirty || len(program.settlements) > 0
}

// claim makes this host the owner, as of the entry's commit.
//
// It guards against two hosts that serve one program at a time, because their
// lists of live hosts differ or one of them was paused: the epoch changes
// with the head row, the other's next write is conditional on the old row and
// fails, and it refuses what it has.
//
// A former owner that has not handed the program over may have spent its whole
// block, and may have sent calls to endpoints that no row names.
func (ledger *Ledger) claim(entry *entry) {
	entry.claim = true
	entry.head.Spent = entry.head.spentAtClaim()
	if entry.head.Owner != "" && !entry.head.State.IsEnded() {
		entry.head.addEndpoint(AnyEndpoint)
	}
	entry.head.Epoch++
	entry.head.Owner = ledger.owner
}

// rows makes the entry's checks and puts.
func (ledger *Ledger) rows(now bvclock.Time, entry *entry) Entry {
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
	if entry.inserts() {
		inserted = entry.call.Request
	}
	entry.head.Pending = program.pending(inserted)
	put(HeadKey(program.key), program.headVersion, entry.head)
	for _, draw := range entry.draws {
		draw.account.busy = true
		put(draw.account.key, draw.account.version, draw.row)
	}
	ledger.insertOnce(now, entry, put)
	entry.settlements = program.settlements
	program.settlements = nil
	entry.used = program.used
	program.used = nil
	for _, settlement := range entry.settlements {
		put(settlement.key, program.once[settlement.key].version, settlement.row)
	}
	for number := program.durable + 1; number <= entry.turns; number++ {
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

// inserts reports whether the entry inserts an unrepeatable record.
func (entry *entry) inserts() bool {
	return entry.call != nil && entry.call.Unrepeatable && !entry.call.inserted
}

func (ledger *Ledger) insertOnce(now bvclock.Time, entry *entry, put func(string, int64, any)) {
	if !entry.inserts() {
		return
	}
	call := entry.call
	key := OnceKey(entry.program.key, call.Request)
	entry.program.takeSettlement(key)
	call.windowEnd = now.Add(ledger.settings.OnceWindow)
	entry.onceKey = key
	entry.onceRow = onceRow{
		State: onceInserted, Digest: call.Digest, Owner: ledger.owner,
		Epoch: entry.head.Epoch, Turn: entry.turns + 1,
	}
	put(key, entry.program.once[key].version, entry.onceRow)
}

func (ledger *Ledger) issue(now bvclock.Time, entry *entry, rows Entry) {
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
