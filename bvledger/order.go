package bvledger

import (
	"slices"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvverdict"
)

// serveRepeats answers or joins the queued calls that run nothing new, so
// that those left in the queue are calls that have never started.
//
// It guards against a caller's repeat that runs twice: the first submission
// may be waiting, running, finished without its commit, or kept, and each
// case has its own way to the one answer.
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
		ledger.askEnd(program, call)
		return true
	case kindFetch:
		return ledger.serveFetch(now, program, call)
	}
	if number, found := program.kept(call); found {
		ledger.serveKept(now, program, call, number)
		return true
	}
	if first := program.first(call); first != nil {
		ledger.join(first, call)
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
		ledger.wait(now, program, call, number)
		return true
	}
	if first := program.first(call); first != nil {
		call.state = callJoined
		first.joined = append(first.joined, call)
		return true
	}
	if program.mayBeStale() && !call.doubted {
		return false
	}
	ledger.refuse(call, bvverdict.New(bvverdict.MayHaveRun, bvverdict.UnknownRequest,
		"no answer is kept for the request"))
	return true
}

// mayBeStale reports whether another host may own the program by now without
// this one having noticed, and whether that can be looked up at once.
func (program *program) mayBeStale() bool {
	return program.phase == phaseOwned && program.running == nil && program.entry == nil
}

// kept returns the turn that the call repeats.
func (program *program) kept(call *call) (int, bool) {
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

// first returns the call under way that the given one repeats.
func (program *program) first(call *call) *call {
	if program.running != nil && program.running.sameAs(call) {
		return program.running
	}
	for _, queued := range program.queue {
		if queued.sameAs(call) {
			return queued
		}
	}
	return nil
}

func (call *call) sameAs(other *call) bool {
	if call.kind != kindCall {
		return false
	}
	if call.Request != "" && call.Request == other.Request {
		return true
	}
	return other.kind == kindCall && call.Turn > 0 && call.Turn == other.Turn && call.Digest == other.Digest
}

func (ledger *Ledger) serveKept(now bvclock.Time, program *program, call *call, number int) {
	if program.turns[number-1].digest != call.Digest {
		ledger.refuse(call, reusedRequest())
		return
	}
	ledger.wait(now, program, call, number)
}

func reusedRequest() *bvverdict.Error {
	return bvverdict.Refuse(bvverdict.Conflict, "the request id belongs to another body; this one was not run")
}

// wait gives the answer of a finished turn as soon as it is kept and read.
func (ledger *Ledger) wait(now bvclock.Time, program *program, call *call, number int) {
	turn := program.turns[number-1]
	if number <= program.durable && turn.held {
		ledger.answer(call, turn.answer, number, true)
		return
	}
	call.state = callUnkept
	call.keepUntil = now.Add(ledger.settings.CommitTimeout)
	call.repeated = true
	turn.waiters = append(turn.waiters, call)
	if number <= program.durable && !slices.Contains(program.fetching, number) {
		program.fetching = append(program.fetching, number)
	}
}

// serveFetched gives the answers of older turns, or has them read.
func (ledger *Ledger) serveFetched(program *program) {
	var missing []string
	fetching := program.fetching
	program.fetching = nil
	for _, number := range fetching {
		turn := program.turns[number-1]
		if !turn.held {
			program.fetching = append(program.fetching, number)
			missing = append(missing, TurnKey(program.key, number))
			continue
		}
		turn.held = number == program.durable
		ledger.answerWaiters(turn, number)
	}
	if len(missing) > 0 && !program.reloading {
		ledger.read(program, false, missing...)
	}
}

func (ledger *Ledger) answerWaiters(turn *turn, number int) {
	for _, waiter := range turn.waiters {
		ledger.answer(waiter, turn.answer, number, waiter.repeated)
	}
	turn.waiters = nil
	if !turn.held {
		turn.answer = nil
	}
}

func (ledger *Ledger) join(first, call *call) {
	if first.Digest != call.Digest {
		ledger.refuse(call, reusedRequest())
		return
	}
	call.state = callJoined
	first.joined = append(first.joined, call)
}

// refuseUnstarted ends a call that was never started. A record that was
// inserted for it is settled, so that a repeat may run.
func (ledger *Ledger) refuseUnstarted(program *program, call *call, err *bvverdict.Error) {
	if call.inserted {
		call.inserted = false
		program.settle(call, onceRow{State: onceNotRun})
	}
	ledger.refuse(call, err)
}

// requeue puts a call that was being prepared back in front, to be judged
// again on what is known now.
func (ledger *Ledger) requeue(program *program) {
	call := program.running
	if call == nil || call.state != callPreparing {
		return
	}
	call.state = callQueued
	program.running = nil
	program.queue = slices.Insert(program.queue, 0, call)
}
