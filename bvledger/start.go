package bvledger

import (
	"slices"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvverdict"
)

// startNextCall starts the next call of the program, or prepares it, in which case
// writeEntry writes the rows that must be durable before it starts. One call of a program
// runs at a time.
func (ledger *Ledger) startNextCall(now bvclock.Time, program *program) {
	for program.running == nil && program.ending == nil && !program.awaitingRows {
		call := program.takeNextCall()
		if call == nil {
			return
		}
		program.running = call
		call.state = callPreparing
		call.addHistoryCost(program)
		if call.preparingSince == 0 {
			call.preparingSince = now
			call.waitUntil = now.Add(ledger.settings.PrepareTimeout)
		}
		decision, err := ledger.decide(now, program, call)
		if err != nil {
			program.running = nil
			ledger.refuseUnstarted(program, call, err)
			continue
		}
		if decision == mustWait {
			ledger.requeue(program)
			return
		}
		if decision == turnAdopted {
			ledger.requeue(program)
			ledger.serveRepeats(now, program)
		}
		if decision == mayRun && ledger.isPrepared(program, call) {
			ledger.startCall(now, program, call)
		}
	}
}

// addHistoryCost adds the cost of the history, which the caller's host can't know.
// Without it, a call with a short message and a long history would spend more than was
// reserved for it, and the program more than its budget.
func (call *call) addHistoryCost(program *program) {
	cost := call.HistoryCost * int64(len(program.history.items))
	call.Cost += cost - call.historyCost
	call.historyCost = cost
}

// decision is the next step of the call whose turn is next.
type decision int

const (
	mayRun      decision = iota
	mustWait             // returns to the front of the queue
	completed            // was answered or refused
	turnAdopted          // repeats a turn that was just adopted into the history
)

// takeNextCall removes the call for the next turn from the queue, if there is one.
func (program *program) takeNextCall() *call {
	for i, call := range program.queue {
		if call.kind == kindCall && (call.Turn == 0 || call.Turn == program.nextTurn()) {
			program.queue = slices.Delete(program.queue, i, i+1)
			return call
		}
	}
	return nil
}

// decide decides whether the call may run, by the rows that this host has read.
func (ledger *Ledger) decide(now bvclock.Time, program *program, call *call) (decision, *bvverdict.Error) {
	if program.uncommitted() >= ledger.settings.MaxUncommitted {
		return mustWait, nil
	}
	if program.headVersion == 0 && program.entry == nil {
		program.head.Parent = call.Parent // the first call that runs creates the program
	}
	if limit := program.limits.Turns; limit > 0 && program.head.Calls >= limit {
		program.ending = &ending{state: EndedAtCallLimit}
		return completed, bvverdict.Refuse(bvverdict.LimitExceeded, "the program has reached its limit of %d calls", limit)
	}
	if call.FullHistory {
		if _, same := program.history.newMessages(call.Messages); !same {
			return completed, bvverdict.Refuse(bvverdict.Conflict, "the messages don't start with the program's stored history")
		}
	}
	if call.Unrepeatable {
		if decision, err := ledger.decideOnce(now, program, call); err != nil || decision != mayRun {
			return decision, err
		}
	}
	return ledger.decideBudget(program, call)
}

// decideBudget refuses a call that the budget no longer covers.
//
// It checks three amounts: what may still be drawn from every account; what the program
// itself has spent and its sub-agents have drawn; and the rest of the block that is
// already drawn. A lowered limit thereby also stops calls inside an old block.
func (ledger *Ledger) decideBudget(program *program, call *call) (decision, *bvverdict.Error) {
	accounts, missing, err := ledger.accountChain(program)
	if err != nil {
		return completed, err
	}
	if len(missing) > 0 {
		ledger.requestRows(program, false, missing...)
		return mustWait, nil
	}
	if !hasBounded(accounts) {
		return mayRun, nil
	}
	own := accounts[0]
	spent, need := ledger.neededDraw(program, call)
	others := max(own.row.Drawn-program.head.Drawn, 0)
	if own.isBounded() && spent+others+call.Cost > own.row.Budget {
		return completed, budgetExceeded()
	}
	if need > 0 && !hasInFlight(accounts) && need > remainingBudget(accounts) {
		return completed, budgetExceeded()
	}
	return mayRun, nil
}

func budgetExceeded() *bvverdict.Error {
	return bvverdict.Refuse(bvverdict.BudgetExceeded, "the program's budget doesn't cover the call")
}

// neededDraw returns how much the program has spent and how much must be drawn before the
// call may start. The block of a former owner counts as spent, since it is unknown how
// much of it that owner has used.
func (ledger *Ledger) neededDraw(program *program, call *call) (spent, need int64) {
	spent = program.head.Spent
	if program.phase != phaseOwned {
		spent = program.head.spentAtClaim()
	}
	return spent, call.Cost - (program.head.Drawn - spent)
}

// isPrepared reports whether all rows are durable that the call needs before it starts:
// the claim, the block of budget and the once record of an unrepeatable call.
func (ledger *Ledger) isPrepared(program *program, call *call) bool {
	if program.phase != phaseOwned {
		return false
	}
	if call.Unrepeatable && !call.recordInserted {
		return false
	}
	accounts, missing, err := ledger.accountChain(program)
	if err != nil || len(missing) > 0 {
		return false
	}
	_, need := ledger.neededDraw(program, call)
	return need <= 0 || !hasBounded(accounts)
}

func (ledger *Ledger) startCall(now bvclock.Time, program *program, call *call) {
	if call.FullHistory {
		call.Messages, _ = program.history.newMessages(call.Messages)
		call.FullHistory = false
	}
	call.state = callRunning
	program.reserved = call.Cost
	program.lastCost = call.Cost
	program.head.Calls++
	program.activeAt = now
	ledger.emit(Start{
		Call:     call.ID,
		History:  program.history.array(),
		Turn:     program.nextTurn(),
		Epoch:    program.head.Epoch,
		Attained: program.head.Spent,
		Endpoint: program.head.Endpoint,
	})
}

// MayStart reports whether a started call may be sent now; call it directly before the
// send. It returns false if the call was aborted or its program has moved, and for an
// unrepeatable call also if it has returned true before or the call's window is over.
//
// It guards against a host that was paused between the insertion of the record and the
// send: the caller received the verdict that the request may have run long ago, and may
// have been retrying for days. The window bounds how late the request can still take
// effect. No other host ever sends a request whose record this host inserted, so the
// window needs only this host's clock.
func (ledger *Ledger) MayStart(now bvclock.Time, id CallID) bool {
	call := ledger.calls[id]
	if call == nil || call.state != callRunning || call.aborted || call.program.closed {
		return false
	}
	if call.Unrepeatable && (call.startAllowed || now.After(call.windowEnd)) {
		return false
	}
	call.startAllowed = true
	return true
}

// SetEndpoint records which endpoint a started call is sent to, before its result. The
// endpoint is then released even if this host fails during the call.
func (ledger *Ledger) SetEndpoint(now bvclock.Time, id CallID, endpoint string) {
	call := ledger.calls[id]
	if call == nil || call.state != callRunning || call.program.closed {
		return
	}
	if call.program.head.addEndpoint(endpoint) {
		call.program.dirty = true
		ledger.advance(now, call.program)
	}
}

// Finish processes the result of a started call.
func (ledger *Ledger) Finish(now bvclock.Time, id CallID, result Result) {
	if detached := ledger.detachedCalls[id]; detached != nil {
		ledger.finishDetached(now, detached, result)
		return
	}
	call := ledger.calls[id]
	if call == nil || call.state != callRunning {
		return
	}
	program := call.program
	program.running = nil
	program.reserved = 0
	program.activeAt = now
	program.head.Spent += charge(call, result)
	if result.Endpoint != "" {
		program.head.addEndpoint(result.Endpoint)
		program.usedEndpoints = append(program.usedEndpoints, result.Endpoint)
	}
	program.dirty = true // also after a failure: a program whose calls all fail must reach its limits
	if result.Err == nil && result.Message != nil && !isArray(result.Message) {
		result.Err = bvverdict.New(bvverdict.Ran, bvverdict.Internal, "the answer's messages are not a JSON array")
	}
	if result.Err != nil {
		ledger.failCall(program, call, result)
	} else {
		ledger.finishCall(now, program, call, result)
	}
	ledger.advance(now, program)
}

// charge returns the cost of a call. A call that may have run, but whose result doesn't
// state what it spent, is charged with all that was reserved for it.
func charge(call *call, result Result) int64 {
	if result.Err != nil && result.Err.Verdict() != bvverdict.NotRun && result.Spent == 0 {
		return call.Cost
	}
	return result.Spent
}

func (ledger *Ledger) failCall(program *program, call *call, result Result) {
	if call.Unrepeatable {
		state := onceUnknown
		if result.Err.Verdict() == bvverdict.NotRun {
			state = onceNotRun
		}
		program.settle(call, onceRow{State: state})
	}
	ledger.refuseCall(call, result.Err)
}

func (ledger *Ledger) finishCall(now bvclock.Time, program *program, call *call, result Result) {
	turn := &turn{
		request:      call.Request,
		digest:       call.Digest,
		messages:     call.Messages,
		message:      result.Message,
		answer:       result.Answer,
		hasAnswer:    true,
		unrepeatable: call.Unrepeatable,
	}
	program.addTurn(turn)
	program.history.add(turn.messages, turn.message)
	program.head.Digest = program.history.digest
	program.head.Endpoint = result.Endpoint
	if call.Unrepeatable {
		program.settle(call, onceRow{State: onceAnswered, Turn: len(program.turns), Answer: result.Answer})
	}
	turn.waiters = append(turn.waiters, call)
	for _, joined := range call.joined {
		joined.repeated = true
		turn.waiters = append(turn.waiters, joined)
	}
	call.joined = nil
	for _, waiter := range turn.waiters {
		waiter.state = callCommitting
		waiter.commitUntil = now.Add(ledger.settings.CommitTimeout)
	}
}
