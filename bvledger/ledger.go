// Package bvledger manages the programs that this host owns: the order of their calls,
// their history, their budgets and their unrepeatable requests.
//
// A Ledger is a state machine: its methods are its events, and Tick returns the effects
// that the caller must carry out. It does no I/O and reads no clock. State that must be
// durable is written by Commit effects, and counts as durable only after HandleCommit.
//
// A program is claimed by a write to its head row that increments the epoch. Each later
// write is conditional on the version of the previous one, so a host that has lost the
// program without noticing fails at its next write, and no lease has to be renewed.
// docs/design/program-state.md explains the rows and rules.
//
// # Usage
//
//	ledger := bvledger.New("host-1/incarnation")
//	ledger.Submit(now, call)
//	for _, effect := range ledger.Tick(now) {
//		switch effect := effect.(type) {
//		case bvledger.Load:     // read rows, then ledger.HandleRows(now, key, rows, err)
//		case bvledger.Commit:   // write, then ledger.HandleCommit(now, entry.ID, version, err)
//		case bvledger.Start:    // check MayStart, run the call, then ledger.Finish(now, call, result)
//		case bvledger.Answer:   // reply
//		case bvledger.Refuse:   // reply
//		case bvledger.Abort:    // cancel the call, then Finish
//		case bvledger.Release:  // drop the cache at the endpoints, then ledger.ConfirmRelease
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

// Ledger holds the programs that one host owns. It is not safe for concurrent use.
// Create it with New.
type Ledger struct {
	owner         string
	settings      Settings
	programs      map[ProgramKey]*program
	calls         map[CallID]*call
	accounts      map[string]*account
	entries       map[EntryID]*entry
	issued        []*entry // entries in flight, oldest first; finished ones are removed lazily
	detachedCalls map[CallID]*detachedCall
	observations  map[string]observation
	lastEntry     EntryID
	effects       []Effect
	timers        timers
	timerOrder    uint64
	leaving       bool
	starved       []*program // programs that wait for an account that another program writes
}

// New returns an empty Ledger. The owner identifies this host and its incarnation and
// must never be reused by another process: rows that contain it count as claimed by this
// Ledger.
func New(owner string) *Ledger {
	return &Ledger{
		owner:         owner,
		settings:      Settings{}.withDefaults(),
		programs:      make(map[ProgramKey]*program),
		calls:         make(map[CallID]*call),
		accounts:      make(map[string]*account),
		entries:       make(map[EntryID]*entry),
		detachedCalls: make(map[CallID]*detachedCall),
	}
}

// Configure replaces the settings.
func (ledger *Ledger) Configure(settings Settings) {
	ledger.settings = settings.withDefaults()
}

// Submit adds a call. Its outcome is one Answer or Refuse.
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

// Fetch requests the stored answer of a request, and never runs the request. The
// outcome is one Answer or Refuse for the call id.
func (ledger *Ledger) Fetch(now bvclock.Time, id CallID, key ProgramKey, request string) {
	ledger.enqueue(now, &call{Call: Call{ID: id, Key: key, Request: request}, kind: kindFetch})
}

// End ends a program at its caller's request. The outcome is one Answer, after the end
// is durable, or one Refuse for the call id.
func (ledger *Ledger) End(now bvclock.Time, key ProgramKey, id CallID) {
	ledger.enqueue(now, &call{Call: Call{ID: id, Key: key}, kind: kindEnd})
}

func (ledger *Ledger) enqueue(now bvclock.Time, call *call) {
	program := ledger.programs[call.Key]
	if program == nil {
		program = ledger.openProgram(call.Key)
	}
	if len(program.queue) >= ledger.settings.MaxQueue {
		err := bvverdict.Refuse(bvverdict.Overloaded, "too many calls of the program are queued").
			WithRetryAfter(ledger.settings.RetryAfter)
		ledger.emit(Refuse{Call: call.ID, Err: err})
		return
	}
	call.program = program
	call.arrivedAt = now
	call.waitUntil = now.Add(ledger.settings.OrderTimeout)
	ledger.calls[call.ID] = call
	program.activeAt = now
	if call.kind == kindCall && program.ending != nil && program.ending.state == EndedIdle && program.entry == nil {
		program.ending = nil // the program is still in use
	}
	program.queue = append(program.queue, call)
	program.pendingRead = false
	if call.kind == kindCall {
		ledger.applyLimits(program, call.Limits)
	}
	if program.phase == phaseLoading && !program.awaitingRows {
		ledger.loadProgram(program, call.Parent)
	}
	ledger.advance(now, program)
}

func (ledger *Ledger) openProgram(key ProgramKey) *program {
	program := &program{key: key}
	ledger.programs[key] = program
	return program
}

// SetLimits applies changed limits to a program before its next call.
func (ledger *Ledger) SetLimits(now bvclock.Time, key ProgramKey, limits Limits) {
	program := ledger.programs[key]
	if program == nil || program.phase == phaseLoading {
		return
	}
	ledger.applyLimits(program, limits)
	ledger.advance(now, program)
}

// applyLimits replaces the program's limits by the latest ones. A lowered budget applies
// to new draws on this host immediately; sub-agents on other hosts read it from the
// account row, which therefore has to be written.
func (ledger *Ledger) applyLimits(program *program, limits Limits) {
	if program.limitsKnown && program.limits.Budget != limits.Budget {
		program.dirty = true
	}
	program.limits = limits
	program.limitsKnown = true
	program.head.Idle = limits.Idle
}

// Abandon reports that the caller no longer waits for the call. A call that has started
// continues and its answer is persisted, so that a repeat finds it.
func (ledger *Ledger) Abandon(_ bvclock.Time, id CallID) {
	if call := ledger.calls[id]; call != nil {
		call.abandoned = true
	}
}

// Tick handles the timers that are due and returns the effects since the last Tick, in
// order.
func (ledger *Ledger) Tick(now bvclock.Time) []Effect {
	for _, program := range ledger.takeDue(now) {
		ledger.expire(now, program)
		ledger.advance(now, program)
	}
	effects := ledger.effects
	ledger.effects = nil
	return effects
}

// Next returns when Tick is due if no event comes first; false means never.
func (ledger *Ledger) Next() (bvclock.Time, bool) {
	if len(ledger.timers) == 0 {
		return 0, false
	}
	return ledger.timers[0].at, true
}

// advance takes all steps that the program's state allows.
func (ledger *Ledger) advance(now bvclock.Time, program *program) {
	if program.closed {
		return
	}
	if program.handover {
		ledger.schedule(program) // no call may start that is missing from the state handed over
		return
	}
	if program.phase == phaseCold && (len(program.queue) > 0 || program.ending != nil || program.dirty) {
		program.phase = phaseLoading
		ledger.loadProgram(program, "")
	}
	if program.phase == phaseLoaded || program.phase == phaseOwned {
		ledger.adoptPending(program)
		ledger.serveRepeats(now, program)
		ledger.serveFetched(program)
		ledger.startNextCall(now, program)
		ledger.verifyOwnership(program)
		ledger.stopCalls(now, program)
		ledger.writeEntry(now, program)
	}
	ledger.leaveProgram(now, program)
	ledger.retryRelease(now, program)
	ledger.closeUnused(program)
	ledger.schedule(program)
}

// closeUnused drops a program that this host doesn't own and has no calls of, since its
// loaded state would become outdated.
func (ledger *Ledger) closeUnused(program *program) {
	if program.phase != phaseLoaded || !program.isIdle() {
		return
	}
	ledger.closeProgram(program)
}

func (ledger *Ledger) closeProgram(program *program) {
	program.closed = true
	delete(ledger.programs, program.key)
	ledger.closeAccounts(program)
}

func (ledger *Ledger) closeAccounts(program *program) {
	key := program.key
	parent := program.head.Parent
	for range maxDepth {
		name := AccountKey(key)
		account := ledger.accounts[name]
		if account == nil || account.inFlight || ledger.programs[key] != nil {
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

// isPlatformSuspected reports whether the platform appears to be unreachable: a write
// has been in flight for longer than SuspectAfter.
func (ledger *Ledger) isPlatformSuspected(now bvclock.Time) bool {
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

// requestRows requests rows of the program; the program's next step waits for them.
func (ledger *Ledger) requestRows(program *program, turns bool, keys ...string) {
	program.awaitingRows = true
	ledger.emit(Load{Key: program.key, Keys: keys, ScanTurns: turns})
}

// loadProgram requests all rows of the program.
func (ledger *Ledger) loadProgram(program *program, parent string) {
	keys := []string{HeadKey(program.key), AccountKey(program.key)}
	if parent != "" {
		keys = append(keys, AccountKey(ProgramKey{Member: program.key.Member, Program: parent}))
	}
	ledger.requestRows(program, true, keys...)
}

// HandleRows processes the outcome of a Load.
func (ledger *Ledger) HandleRows(now bvclock.Time, key ProgramKey, rows []bvplatform.Row, err error) {
	program := ledger.programs[key]
	if program == nil || !program.awaitingRows || err == nil && program.isLate(rows) {
		return
	}
	program.awaitingRows = false
	if err == nil && program.isOutdated(rows) {
		if program.isDiscardable() {
			ledger.reloadProgram(program)
			return
		}
		ledger.dropProgram(now, program, &bvplatform.ConflictError{Keys: []string{HeadKey(key)}})
		return
	}
	if err == nil {
		err = ledger.applyRows(program, rows)
	}
	if err != nil {
		ledger.handleLoadError(program, err)
	}
	ledger.requeue(program)
	ledger.advance(now, program)
}
