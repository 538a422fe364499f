// Package bvledger keeps the programs that this host owns: the order of their
// calls, their history, their budgets and their unrepeatable requests.
//
// A Ledger is told of events by its methods and asked for what to do by Tick;
// it knows no sockets, no clock and no platform. What must last goes out as
// Commit effects and counts only after HandleCommit.
//
// A program is claimed by a write to its head row that raises the epoch. Each
// later write is conditional on the version of the one before, so a host that
// lost the program without noticing fails at its next write, and no lease has
// to be renewed. docs/design/program-state.md explains the rows and rules.
//
// # Usage
//
//	ledger := bvledger.New("host-1/incarnation")
//	ledger.Submit(now, call)
//	for _, effect := range ledger.Tick(now) {
//		switch effect := effect.(type) {
//		case bvledger.Load:     // read rows, then ledger.HandleRows(now, key, rows, err)
//		case bvledger.Commit:   // write, then ledger.HandleCommit(now, entry.ID, version, err)
//		case bvledger.Start:    // ask MayStart, run the call, then ledger.Finish(now, call, result)
//		case bvledger.Answer:   // reply
//		case bvledger.Refuse:   // reply
//		case bvledger.Abort:    // cancel the call, then Finish
//		case bvledger.Release: // tell the endpoints, then ledger.ConfirmRelease
//		}
//	}
//	// sleep until ledger.Next() or the next event, then Tick again
package bvledger

import (
	"encoding/json"
	"slices"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvverdict"
)

// Ledger holds the programs that one host owns. It is not safe for concurrent
// use. Make one with New.
type Ledger struct {
	owner      string
	settings   Settings
	programs   map[ProgramKey]*program
	calls      map[CallID]*call
	accounts   map[string]*account
	entries    map[EntryID]*entry
	issued     []*entry // under way, oldest first
	strays     map[CallID]*stray
	sightings  map[string]sighting
	lastEntry  EntryID
	effects    []Effect
	timers     timers
	timerOrder uint64
	leaving    bool
	starved    []*program // wait for an account that another program writes
}

// New returns an empty Ledger. The owner names this host and its incarnation
// and must never be used again by another process: rows that bear it count as
// claimed by this Ledger.
func New(owner string) *Ledger {
	return &Ledger{
		owner:    owner,
		settings: Settings{}.withDefaults(),
		programs: make(map[ProgramKey]*program),
		calls:    make(map[CallID]*call),
		accounts: make(map[string]*account),
		entries:  make(map[EntryID]*entry),
		strays:   make(map[CallID]*stray),
	}
}

// Configure replaces the settings.
func (ledger *Ledger) Configure(settings Settings) {
	ledger.settings = settings.withDefaults()
}

// Submit takes in a call. Its outcome is one Answer or Refuse.
func (ledger *Ledger) Submit(now bvclock.Time, request Call) {
	if request.Messages != nil && !isArray(request.Messages) {
		err := bvverdict.Refuse(bvverdict.BadRequest, "messages are not a JSON array")
		ledger.emit(Refuse{Call: request.ID, Err: err})
		return
	}
	if request.Unrepeatable && request.Request == "" {
		err := bvverdict.Refuse(bvverdict.BadRequest, "an unrepeatable call needs a request id")
		ledger.emit(Refuse{Call: request.ID, Err: err})
		return
	}
	ledger.enqueue(now, &call{Call: request, kind: kindCall})
}

// Fetch asks for the kept answer of a request, which it never runs. The
// outcome is one Answer or Refuse for the call id.
func (ledger *Ledger) Fetch(now bvclock.Time, id CallID, key ProgramKey, request string) {
	ledger.enqueue(now, &call{Call: Call{ID: id, Key: key, Request: request}, kind: kindFetch})
}

// End ends a program for its caller. The outcome is one Answer or Refuse for
// the call id, after the end is durable.
func (ledger *Ledger) End(now bvclock.Time, key ProgramKey, id CallID) {
	ledger.enqueue(now, &call{Call: Call{ID: id, Key: key}, kind: kindEnd})
}

func (ledger *Ledger) enqueue(now bvclock.Time, call *call) {
	program := ledger.programs[call.Key]
	if program == nil {
		program = ledger.open(call.Key)
	}
	if len(program.queue) >= ledger.settings.MaxQueue {
		err := bvverdict.Refuse(bvverdict.Overloaded, "too many calls of the program wait").
			WithRetryAfter(ledger.settings.RetryAfter)
		ledger.emit(Refuse{Call: call.ID, Err: err})
		return
	}
	call.program = program
	call.arrived = now
	call.waitUntil = now.Add(ledger.settings.OrderTimeout)
	ledger.calls[call.ID] = call
	program.activeAt = now
	if call.kind == kindCall && program.ending != nil && program.ending.state == EndedIdle && program.entry == nil {
		program.ending = nil // the program isn't lost after all
	}
	program.queue = append(program.queue, call)
	program.looked = false
	if call.kind == kindCall {
		ledger.limit(program, call.Limits)
	}
	if program.phase == phaseLoading && !program.reloading {
		ledger.load(program, call.Parent)
	}
	ledger.advance(now, program)
}

func (ledger *Ledger) open(key ProgramKey) *program {
	program := &program{key: key}
	ledger.programs[key] = program
	return program
}

// SetLimits tells of changed cells for a program before its next call.
func (ledger *Ledger) SetLimits(now bvclock.Time, key ProgramKey, limits Limits) {
	program := ledger.programs[key]
	if program == nil || program.phase == phaseLoading {
		return
	}
	ledger.limit(program, limits)
	ledger.advance(now, program)
}

// limit takes the cells that came last. A lowered budget binds new
// reservations at once, here; sub-agents on other hosts see it with the
// account row, which therefore has to be written.
func (ledger *Ledger) limit(program *program, limits Limits) {
	if program.limitsKnown && program.limits.Budget != limits.Budget {
		program.dirty = true
	}
	program.limits = limits
	program.limitsKnown = true
	program.head.Idle = limits.Idle
}

// Abandon says that nobody waits for the call any more. A call that has
// started goes on and its answer is kept, so that a repeat finds it.
func (ledger *Ledger) Abandon(_ bvclock.Time, id CallID) {
	if call := ledger.calls[id]; call != nil {
		call.abandoned = true
	}
}

// Tick does what has fallen due and returns the effects since the last Tick,
// in order.
func (ledger *Ledger) Tick(now bvclock.Time) []Effect {
	for _, program := range ledger.dueNow(now) {
		ledger.expire(now, program)
		ledger.advance(now, program)
	}
	effects := ledger.effects
	ledger.effects = nil
	return effects
}

// Next is when Tick is due without a further event; false means never.
func (ledger *Ledger) Next() (bvclock.Time, bool) {
	if len(ledger.timers) == 0 {
		return 0, false
	}
	return ledger.timers[0].at, true
}

// advance does all that the program's state allows.
func (ledger *Ledger) advance(now bvclock.Time, program *program) {
	if program.gone {
		return
	}
	if program.handover {
		ledger.schedule(program) // nothing may start that the next owner can't know of
		return
	}
	if program.phase == phaseCold && (len(program.queue) > 0 || program.ending != nil || program.dirty) {
		program.phase = phaseLoading
		ledger.load(program, "")
	}
	if program.phase == phaseLoaded || program.phase == phaseOwned {
		ledger.lookForPending(program)
		ledger.serveRepeats(now, program)
		ledger.serveFetched(program)
		ledger.startNext(now, program)
		ledger.doubtOwnership(program)
		ledger.advanceEnd(now, program)
		ledger.write(now, program)
	}
	ledger.leaveProgram(now, program)
	ledger.release(now, program)
	ledger.closeUnused(program)
	ledger.schedule(program)
}

// closeUnused drops a program that this host doesn't own and has no call of.
// What was loaded would only grow old.
func (ledger *Ledger) closeUnused(program *program) {
	if program.phase != phaseLoaded || !program.idle() {
		return
	}
	ledger.close(program)
}

func (ledger *Ledger) close(program *program) {
	program.gone = true
	delete(ledger.programs, program.key)
	ledger.closeAccounts(program)
}

func (ledger *Ledger) closeAccounts(program *program) {
	key := program.key
	parent := program.head.Parent
	for range maxDepth {
		name := AccountKey(key)
		account := ledger.accounts[name]
		if account == nil || account.busy || ledger.programs[key] != nil {
			return
		}
		delete(ledger.accounts, name)
		if parent == "" {
			return
		}
		key.Program = parent
		parent = ledger.account(key).row.Parent
	}
}

func isArray(messages []byte) bool {
	var elements []json.RawMessage
	return json.Unmarshal(messages, &elements) == nil
}

// suspected reports whether the platform seems out of reach: a write has been
// under way for too long.
func (ledger *Ledger) suspected(now bvclock.Time) bool {
	ledger.issued = slices.DeleteFunc(ledger.issued, func(entry *entry) bool { return entry.done })
	if len(ledger.issued) == 0 {
		return false
	}
	return now.Sub(ledger.issued[0].issued) > ledger.settings.SuspectAfter
}

func (ledger *Ledger) unavailable(reason string) *bvverdict.Error {
	return bvverdict.Refuse(bvverdict.PlatformUnavailable, "%s", reason).
		WithRetryAfter(ledger.settings.RetryAfter)
}

// read has rows of the program read again before it goes on.
func (ledger *Ledger) read(program *program, turns bool, keys ...string) {
	program.reloading = true
	ledger.emit(Load{Key: program.key, Keys: keys, ScanTurns: turns})
}

// load has all rows of the program read.
func (ledger *Ledger) load(program *program, parent string) {
	keys := []string{HeadKey(program.key), AccountKey(program.key)}
	if parent != "" {
		keys = append(keys, AccountKey(ProgramKey{Member: program.key.Member, Program: parent}))
	}
	ledger.read(program, true, keys...)
}

// HandleRows tells the outcome of a Load.
func (ledger *Ledger) HandleRows(now bvclock.Time, key ProgramKey, rows []bvplatform.Row, err error) {
	program := ledger.programs[key]
	if program == nil || !program.reloading || err == nil && program.belated(rows) {
		return
	}
	program.reloading = false
	if err == nil && program.outdated(rows) {
		if program.unburdened() {
			ledger.reload(program)
			return
		}
		ledger.lose(now, program, &bvplatform.ConflictError{Keys: []string{HeadKey(key)}})
		return
	}
	if err == nil {
		err = ledger.takeRows(program, rows)
	}
	if err != nil {
		ledger.loadFailed(program, err)
	}
	ledger.requeue(program)
	ledger.advance(now, program)
}
