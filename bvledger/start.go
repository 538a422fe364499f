package bvledger

import (
	"slices"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvverdict"
)

// startNext starts the next call of the program, or has written what must be
// durable before. One call of a program runs at a time.
func (ledger *Ledger) startNext(now bvclock.Time, program *program) {
	for program.running == nil && program.ending == nil && !program.reloading {
		call := program.takeNext()
		if call == nil {
			return
		}
		program.running = call
		call.state = callPreparing
		call.addHistoryCost(program)
		if call.waitsSince == 0 {
			call.waitsSince = now
			call.waitUntil = now.Add(ledger.settings.PrepareTimeout)
		}
		judgement, err := ledger.judge(now, program, call)
		if err != nil {
			program.running = nil
			ledger.refuseUnstarted(program, call, err)
			continue
		}
		if judgement == mustWait {
			ledger.requeue(program)
			return
		}
		if judgement == adopted {
			ledger.requeue(program)
			ledger.serveRepeats(now, program)
		}
		if judgement == mayRun && ledger.prepared(program, call) {
			ledger.start(now, program, call)
		}
	}
}

// addHistoryCost adds what the history costs, which the caller's host can't
// know. Without it, a call with few new words on a long history would spend
// more than was reserved for it, and the program more than its budget.
func (call *call) addHistoryCost(program *program) {
	cost := call.HistoryCost * int64(len(program.history.inside))
	call.Cost += cost - call.historyCost
	call.historyCost = cost
}

// judgement says what becomes of a call whose turn it is.
type judgement int

const (
	mayRun   judgement = iota
	mustWait           // stays in front of the queue
	answered           // has its outcome
	adopted            // repeats a turn that was just added to the history
)

// takeNext takes the call whose turn it is out of the queue.
func (program *program) takeNext() *call {
	for i, call := range program.queue {
		if call.kind == kindCall && (call.Turn == 0 || call.Turn == program.nextTurn()) {
			program.queue = slices.Delete(program.queue, i, i+1)
			return call
		}
	}
	return nil
}

// judge decides whether the call may run as far as is known now.
func (ledger *Ledger) judge(now bvclock.Time, program *program, call *call) (judgement, *bvverdict.Error) {
	if program.unkept() >= ledger.settings.MaxUncommitted {
		return mustWait, nil
	}
	if program.headVersion == 0 && program.entry == nil {
		program.head.Parent = call.Parent // the first call that runs makes the program
	}
	if limit := program.limits.Turns; limit > 0 && program.head.Calls >= limit {
		program.ending = &ending{state: EndedAtCallLimit}
		return answered, bvverdict.Refuse(bvverdict.LimitExceeded, "the program has made all its %d calls", limit)
	}
	if call.FullHistory {
		if _, same := program.history.after(call.Messages); !same {
			return answered, bvverdict.Refuse(bvverdict.Conflict, "the messages don't begin with the program's kept history")
		}
	}
	if call.Unrepeatable {
		if judgement, err := ledger.judgeOnce(now, program, call); err != nil || judgement != mayRun {
			return judgement, err
		}
	}
	return ledger.judgeBudget(program, call)
}

// judgeBudget refuses a call that the budget can't cover any more.
//
// Three sums are looked at: what may be drawn from every account; what the
// program itself and its sub-agents have taken; and the block that is drawn
// already. A lowered cell thereby stops calls inside an old block, too.
func (ledger *Ledger) judgeBudget(program *program, call *call) (judgement, *bvverdict.Error) {
	accounts, missing, err := ledger.chain(program)
	if err != nil {
		return answered, err
	}
	if len(missing) > 0 {
		ledger.read(program, false, missing...)
		return mustWait, nil
	}
	if !anyBounded(accounts) {
		return mayRun, nil
	}
	own := accounts[0]
	spent, need := ledger.need(program, call)
	others := max(own.row.Drawn-program.head.Drawn, 0)
	if own.bounded() && spent+others+call.Cost > own.row.Budget {
		return answered, budgetExceeded()
	}
	if need > 0 && !anyBusy(accounts) && need > room(accounts) {
		return answered, budgetExceeded()
	}
	return mayRun, nil
}

func budgetExceeded() *bvverdict.Error {
	return bvverdict.Refuse(bvverdict.BudgetExceeded, "the program's budget doesn't cover the call")
}

// need returns what the program has spent and what must be drawn before the
// call may start. The block of a former owner counts as spent: nobody knows
// how much of it that owner has used.
func (ledger *Ledger) need(program *program, call *call) (spent, need int64) {
	spent = program.head.Spent
	if program.phase != phaseOwned {
		spent = program.head.spentAtClaim()
	}
	return spent, call.Cost - (program.head.Drawn - spent)
}

// prepared reports whether everything is durable that must be so before the
// call starts: the claim, the block of budget and the unrepeatable record.
func (ledger *Ledger) prepared(program *program, call *call) bool {
	if program.phase != phaseOwned {
		return false
	}
	if call.Unrepeatable && !call.inserted {
		return false
	}
	accounts, missing, err := ledger.chain(program)
	if err != nil || len(missing) > 0 {
		return false
	}
	_, need := ledger.need(program, call)
	return need <= 0 || !anyBounded(accounts)
}

func (ledger *Ledger) start(now bvclock.Time, program *program, call *call) {
	if call.FullHistory {
		call.Messages, _ = program.history.after(call.Messages)
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

// MayStart reports whether a started call may be sent now; ask right before
// the send. It says no when the call was aborted or its program moved, and
// for an unrepeatable call also when it has said yes before or when the
// call's window is over.
//
// It guards against a host that was paused between the record's insertion and
// the send: its caller was told long ago that the request may be running and
// has asked again, perhaps for days. The window bounds how late the request
// can still take effect. Nobody else ever sends a request whose record this
// host inserted, so the window needs no clock but this host's own.
func (ledger *Ledger) MayStart(now bvclock.Time, id CallID) bool {
	call := ledger.calls[id]
	if call == nil || call.state != callRunning || call.aborted || call.program.gone {
		return false
	}
	if call.Unrepeatable && (call.sent || now.After(call.windowEnd)) {
		return false
	}
	call.sent = true
	return true
}

// SetEndpoint tells which endpoint a started call goes to, before its result. The
// endpoint is then released even if this host dies in mid-call.
func (ledger *Ledger) SetEndpoint(now bvclock.Time, id CallID, endpoint string) {
	call := ledger.calls[id]
	if call == nil || call.state != callRunning || call.program.gone {
		return
	}
	if call.program.head.addEndpoint(endpoint) {
		call.program.dirty = true
		ledger.advance(now, call.program)
	}
}

// Finish tells how a started call ended.
func (ledger *Ledger) Finish(now bvclock.Time, id CallID, result Result) {
	if stray := ledger.strays[id]; stray != nil {
		ledger.strayFinished(now, stray, result)
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
		program.used = append(program.used, result.Endpoint)
	}
	program.dirty = true // also after a failure: a program that only fails must reach its limits
	if result.Err == nil && result.Message != nil && !isArray(result.Message) {
		result.Err = bvverdict.New(bvverdict.Ran, bvverdict.Internal, "the answer's messages are not a JSON array")
	}
	if result.Err != nil {
		ledger.fail(program, call, result)
	} else {
		ledger.finish(now, program, call, result)
	}
	ledger.advance(now, program)
}

// charge is what a call cost. One that may have run without telling what it
// spent is charged with all that was reserved for it.
func charge(call *call, result Result) int64 {
	if result.Err != nil && result.Err.Verdict() != bvverdict.NotRun && result.Spent == 0 {
		return call.Cost
	}
	return result.Spent
}

func (ledger *Ledger) fail(program *program, call *call, result Result) {
	if call.Unrepeatable {
		state := onceUnknown
		if result.Err.Verdict() == bvverdict.NotRun {
			state = onceNotRun
		}
		program.settle(call, onceRow{State: state})
	}
	ledger.refuse(call, result.Err)
}

func (ledger *Ledger) finish(now bvclock.Time, program *program, call *call, result Result) {
	turn := &turn{
		request:  call.Request,
		digest:   call.Digest,
		messages: call.Messages,
		message:  result.Message,
		answer:   result.Answer,
		held:     true,
		once:     call.Unrepeatable,
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
		waiter.state = callUnkept
		waiter.keepUntil = now.Add(ledger.settings.CommitTimeout)
	}
}
