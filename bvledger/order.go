package bvledger

import (
	"slices"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvverdict"
)

// serveRepeats answers queued calls that repeat a turn or a call, or joins them to it, so
// that all calls left in the queue are new ones that have never started.
//
// It guards against a repeat that runs a second time: the first submission may be
// queued, running, finished without its commit, or committed, and in each case the
// repeat receives that submission's answer.
func (ledger *Ledger) serveRepeats(now bvclock.Time, program *program) {
	queue := program.queue
	program.queue = nil
	for _, call := range queue {
		if !ledger.serveRepeat(now, program, call) {
			program.queue = append(program.queue, call)
		}
	}
}

func (ledger *Ledger) serveRepeat(now bvclock.Time, program *program, call *call) bool {
	switch call.kind {
	case kindEnd:
		ledger.requestEnd(program, call)
		return true
	case kindFetch:
		return ledger.serveFetch(now, program, call)
	}
	if number, found := program.repeatedTurn(call); found {
		ledger.serveRepeatedTurn(now, program, call, number)
		return true
	}
	if original := program.findOriginal(call); original != nil {
		ledger.join(original, call)
		return true
	}
	if call.Turn > 0 && call.Turn < program.nextTurn() {
		ledger.refuseUnstarted(program, call, bvverdict.Refuse(bvverdict.Conflict,
			"turn %d has been taken by another call", call.Turn))
		return true
	}
	if program.head.State.IsEnded() || program.ending != nil {
		ledger.refuseUnstarted(program, call, bvverdict.Refuse(bvverdict.ProgramEnded, "the program has ended"))
		return true
	}
	return false
}

func (ledger *Ledger) serveFetch(now bvclock.Time, program *program, call *call) bool {
	if number, found := program.requests[call.Request]; found {
		ledger.awaitTurn(now, program, call, number)
		return true
	}
	if original := program.findOriginal(call); original != nil {
		call.state = callJoined
		original.joined = append(original.joined, call)
		return true
	}
	if program.mayBeStale() && !call.ownerChecked {
		return false
	}
	ledger.refuseCall(call, bvverdict.New(bvverdict.MayHaveRun, bvverdict.UnknownRequest,
		"no answer is stored for the request"))
	return true
}

// mayBeStale reports whether another host may have taken over the program unnoticed, and
// the head row can be read now to find out.
func (program *program) mayBeStale() bool {
	return program.phase == phaseOwned && program.running == nil && program.entry == nil
}

// repeatedTurn returns the number of the turn that the call repeats.
func (program *program) repeatedTurn(call *call) (int, bool) {
	if call.Request != "" {
		if number, found := program.requests[call.Request]; found {
			return number, true
		}
	}
	if call.Turn > 0 && call.Turn <= len(program.turns) && program.turns[call.Turn-1].digest == call.Digest {
		return call.Turn, true
	}
	return 0, false
}

// findOriginal returns the running or queued call that the given one repeats.
func (program *program) findOriginal(call *call) *call {
	if program.running != nil && program.running.isRepeatedBy(call) {
		return program.running
	}
	for _, queued := range program.queue {
		if queued.isRepeatedBy(call) {
			return queued
		}
	}
	return nil
}

func (call *call) isRepeatedBy(other *call) bool {
	if call.kind != kindCall {
		return false
	}
	if call.Request != "" && call.Request == other.Request {
		return true
	}
	return other.kind == kindCall && call.Turn > 0 && call.Turn == other.Turn && call.Digest == other.Digest
}

func (ledger *Ledger) serveRepeatedTurn(now bvclock.Time, program *program, call *call, number int) {
	if program.turns[number-1].digest != call.Digest {
		ledger.refuseCall(call, reusedRequest())
		return
	}
	ledger.awaitTurn(now, program, call, number)
}

func reusedRequest() *bvverdict.Error {
	return bvverdict.Refuse(bvverdict.Conflict, "the request id belongs to another body; this one was not run")
}

// awaitTurn answers the call with a finished turn as soon as the turn is durable and its
// answer is in memory.
func (ledger *Ledger) awaitTurn(now bvclock.Time, program *program, call *call, number int) {
	turn := program.turns[number-1]
	if number <= program.durableTurns && turn.hasAnswer {
		ledger.answerCall(call, turn.answer, number, true)
		return
	}
	call.state = callCommitting
	call.commitUntil = now.Add(ledger.settings.CommitTimeout)
	call.repeated = true
	turn.waiters = append(turn.waiters, call)
	if number <= program.durableTurns && !slices.Contains(program.fetching, number) {
		program.fetching = append(program.fetching, number)
	}
}

// serveFetched answers calls that wait for older turns, or requests the turns' rows.
func (ledger *Ledger) serveFetched(program *program) {
	var missing []string
	fetching := program.fetching
	program.fetching = nil
	for _, number := range fetching {
		turn := program.turns[number-1]
		if !turn.hasAnswer {
			program.fetching = append(program.fetching, number)
			missing = append(missing, TurnKey(program.key, number))
			continue
		}
		turn.hasAnswer = number == program.durableTurns
		ledger.answerWaiters(turn, number)
	}
	if len(missing) > 0 && !program.awaitingRows {
		ledger.requestRows(program, false, missing...)
	}
}

func (ledger *Ledger) answerWaiters(turn *turn, number int) {
	for _, waiter := range turn.waiters {
		ledger.answerCall(waiter, turn.answer, number, waiter.repeated)
	}
	turn.waiters = nil
	if !turn.hasAnswer {
		turn.answer = nil
	}
}

func (ledger *Ledger) join(original, call *call) {
	if original.Digest != call.Digest {
		ledger.refuseCall(call, reusedRequest())
		return
	}
	call.state = callJoined
	original.joined = append(original.joined, call)
}

// refuseUnstarted refuses a call that was never started. A once record that was inserted
// for it is settled, so that a repeat may run.
func (ledger *Ledger) refuseUnstarted(program *program, call *call, err *bvverdict.Error) {
	if call.recordInserted {
		call.recordInserted = false
		program.settle(call, onceRow{State: onceNotRun})
	}
	ledger.refuseCall(call, err)
}

// requeue moves a call that is being prepared back to the front of the queue, so that it
// is decided again with the current state.
func (ledger *Ledger) requeue(program *program) {
	call := program.running
	if call == nil || call.state != callPreparing {
		return
	}
	call.state = callQueued
	program.running = nil
	program.queue = slices.Insert(program.queue, 0, call)
}
