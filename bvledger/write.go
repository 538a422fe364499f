package bvledger

import (
	"errors"
	"slices"
	"strings"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvverdict"
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
	if entry.head.Owner != "" && !entry.head.State.Ended() {
		entry.head.addEndpoint(AnyEndpoint)
	}
	entry.head.Epoch++
	entry.head.Owner = ledger.owner
}

// draw plans the entry's changes to accounts. It reports false when the entry
// has to wait for an account, or when its call was refused.
func (ledger *Ledger) draw(now bvclock.Time, entry *entry) bool {
	program := entry.program
	accounts, missing, err := ledger.chain(program)
	if len(missing) > 0 {
		ledger.read(program, false, missing...)
		return false
	}
	if err != nil {
		return true // no account to draw from; a call was refused for it, so this is an end
	}
	own := accounts[0]
	if anyBounded(accounts) || entry.ending {
		if anyBusy(accounts) && (entry.ending || ledger.mustDraw(entry)) {
			ledger.starved = append(ledger.starved, program)
			if entry.ending || entry.claim || !program.mustWrite() {
				return false
			}
			entry.call = nil
		}
		entry.amount = ledger.amount(entry, accounts)
	}
	if entry.amount == 0 {
		if !own.busy && (own.version == 0 || own.row != own.durable) {
			entry.draws = []draw{{account: own, row: own.row}}
		}
		return true
	}
	for _, account := range accounts {
		row := account.row
		row.Drawn += entry.amount
		entry.draws = append(entry.draws, draw{account: account, row: row})
	}
	entry.head.Drawn += entry.amount
	return true
}

func (ledger *Ledger) mustDraw(entry *entry) bool {
	return entry.call != nil && entry.call.Cost > entry.head.Drawn-entry.head.Spent
}

// amount is what the entry draws; negative when a program ends and returns
// the rest of its block.
func (ledger *Ledger) amount(entry *entry, accounts []*account) int64 {
	available := entry.head.Drawn - entry.head.Spent - entry.program.reserved
	if entry.ending {
		return -max(available, 0)
	}
	cost := entry.program.lastCost
	if entry.call != nil {
		cost = entry.call.Cost
	}
	if available >= cost || anyBusy(accounts) {
		return 0
	}
	return ledger.blockSize(accounts, cost-available, cost)
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

// Committed tells the outcome of a Commit: the version that its rows have
// now, or an error, which means that nothing of the entry was or ever will be
// written. A *bvplatform.ConflictError on the head row means that another
// host owns the program.
func (ledger *Ledger) Committed(now bvclock.Time, id EntryID, version int64, err error) {
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

// lose drops a program that another host owns now, or whose entry could not
// be written at all. What never started is refused as not run; what started
// may have run; what finished ran.
func (ledger *Ledger) lose(now bvclock.Time, program *program, cause error) {
	ledger.requeue(program)
	moved := ledger.moved(cause)
	for _, call := range program.queue {
		if call.inserted {
			ledger.finishStray(now, program.stray(call), Result{Err: moved})
			continue
		}
		ledger.refuse(call, bvverdict.Refuse(moved.Code(), "%s", moved.Reason()).
			WithRetryAfter(moved.RetryAfter()).WithCause(cause))
	}
	program.queue = nil
	if program.isRunning() {
		ledger.loseRunning(program, cause)
	}
	for _, turn := range program.turns[program.durable:] {
		ledger.loseTurn(now, program, turn, cause)
	}
	ledger.loseSettlements(now, program)
	ledger.loseEndpoints(program)
	if program.ending != nil {
		for _, caller := range program.ending.callers {
			ledger.refuse(caller, moved)
		}
	}
	ledger.close(program)
}

func (ledger *Ledger) moved(cause error) *bvverdict.Error {
	var conflict *bvplatform.ConflictError
	if errors.As(cause, &conflict) {
		return bvverdict.Refuse(bvverdict.NotOwner, "another host serves the program now").
			WithRetryAfter(ledger.settings.RetryAfter).WithCause(cause)
	}
	return ledger.unavailable("the program's state could not be written").WithCause(cause)
}

func (ledger *Ledger) loseRunning(program *program, cause error) {
	call := program.running
	program.running = nil
	ledger.strays[call.ID] = program.stray(call)
	if call.Unrepeatable {
		return
	}
	ledger.emit(Abort{Call: call.ID})
	ledger.refuse(call, bvverdict.New(bvverdict.MayHaveRun, bvverdict.NotOwner,
		"another host serves the program now").WithRetryAfter(ledger.settings.RetryAfter).WithCause(cause))
}

// loseTurn gives up a finished turn. The answer of an unrepeatable one still
// goes into its record.
func (ledger *Ledger) loseTurn(now bvclock.Time, program *program, turn *turn, cause error) {
	if !turn.once {
		ledger.refuseWaiters(turn, bvverdict.New(bvverdict.Ran, bvverdict.NotOwner,
			"the call ran, but another host serves the program now and its answer is not kept").
			WithRetryAfter(ledger.settings.RetryAfter).WithCause(cause))
		return
	}
	call := &call{Call: Call{Key: program.key, Request: turn.request, Messages: turn.messages}}
	stray := program.stray(call)
	if len(turn.waiters) > 0 {
		stray.call = turn.waiters[0]
		stray.call.joined = slices.Concat(stray.call.joined, turn.waiters[1:])
	}
	ledger.finishStray(now, stray, Result{Answer: turn.answer, Message: turn.message})
}

// loseSettlements writes what became of records that this host inserted; the
// answered ones went with their turns.
func (ledger *Ledger) loseSettlements(now bvclock.Time, program *program) {
	for _, settlement := range program.settlements {
		if settlement.row.State == onceAnswered {
			continue
		}
		ledger.issue(now, &entry{stray: &stray{call: &call{}}}, Entry{
			Checks: []bvplatform.Check{{Key: settlement.key, Version: program.once[settlement.key].version}},
			Puts:   []bvplatform.Put{{Key: settlement.key, Value: encode(settlement.row)}},
		})
	}
}

// loseEndpoints has the endpoints released that the new owner can't know of,
// and those that ran a call since this host's last commit: the new owner may
// have ended the program and released them before that call ran.
func (ledger *Ledger) loseEndpoints(program *program) {
	lost := slices.Clone(program.used)
	for _, endpoint := range program.head.Endpoints {
		if !slices.Contains(program.placed, endpoint) {
			lost = append(lost, endpoint)
		}
	}
	slices.Sort(lost)
	lost = slices.Compact(lost)
	if len(lost) > 0 {
		ledger.emit(Released{Key: program.key, Endpoints: lost})
	}
}
