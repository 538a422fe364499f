package bvledger

import (
	"slices"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
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
	if program.head.State.Ended() || program.ending != nil {
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
	call.keepUntil = now.Add(ledger.settings.KeepWait)
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

// expire refuses what has waited for too long.
func (ledger *Ledger) expire(now bvclock.Time, program *program) {
	ledger.expireQueue(now, program)
	ledger.expirePreparing(now, program)
	ledger.expireJoined(now, program)
	ledger.expireUnkept(now, program)
	ledger.expireEnding(now, program)
	ledger.expireIdle(now, program)
}

func (ledger *Ledger) expireQueue(now bvclock.Time, program *program) {
	queue := program.queue
	program.queue = nil
	for _, call := range queue {
		if !due(call.timeout(), now) {
			program.queue = append(program.queue, call)
			continue
		}
		ledger.refuseUnstarted(program, call, ledger.lateError(now, program, call))
	}
}

func (ledger *Ledger) lateError(now bvclock.Time, program *program, call *call) *bvverdict.Error {
	if due(call.Deadline, now) {
		return bvverdict.Refuse(bvverdict.DeadlinePassed, "the deadline passed before the call could start")
	}
	if program.phase == phaseLoading || program.reloading || call.state == callPreparing {
		return ledger.unavailable("the program's state couldn't be read or written in time")
	}
	if program.unkept() >= ledger.settings.MaxUnkept {
		return ledger.unavailable("too many turns of the program wait to be kept")
	}
	return bvverdict.Refuse(bvverdict.TurnOutOfOrder, "the turn before this one has not finished").
		WithRetryAfter(ledger.settings.RetryAfter)
}

func (ledger *Ledger) expirePreparing(now bvclock.Time, program *program) {
	call := program.running
	if call == nil || call.state != callPreparing || !due(call.timeout(), now) {
		return
	}
	program.running = nil
	ledger.refuseUnstarted(program, call, ledger.lateError(now, program, call))
}

func (ledger *Ledger) expireJoined(now bvclock.Time, program *program) {
	if program.running != nil {
		ledger.expireJoinedTo(now, program.running)
	}
	for _, call := range program.queue {
		ledger.expireJoinedTo(now, call)
	}
}

func (ledger *Ledger) expireJoinedTo(now bvclock.Time, first *call) {
	joined := first.joined
	first.joined = nil
	for _, call := range joined {
		if !due(call.timeout(), now) {
			first.joined = append(first.joined, call)
			continue
		}
		ledger.refuse(call, bvverdict.New(bvverdict.MayHaveRun, bvverdict.DeadlinePassed,
			"the deadline passed while the request was under way"))
	}
}

// expireUnkept tells callers whose answer couldn't be kept in time that the
// call ran. Their answer is not given: it counts as complete only when a
// repeat of the call would get the same.
func (ledger *Ledger) expireUnkept(now bvclock.Time, program *program) {
	for _, turn := range program.turns[min(program.durable, len(program.turns)):] {
		waiters := turn.waiters
		turn.waiters = nil
		for _, waiter := range waiters {
			if !due(waiter.timeout(), now) {
				turn.waiters = append(turn.waiters, waiter)
				continue
			}
			ledger.refuse(waiter, bvverdict.New(bvverdict.Ran, bvverdict.PlatformUnavailable,
				"the call ran but its answer isn't kept yet; ask again").
				WithRetryAfter(ledger.settings.RetryAfter))
		}
	}
}

// doubtOwnership reads the head row when a call is for a later turn than this
// host expects, or asks for an answer that it does not have, and nothing is
// under way.
//
// It guards against a stale owner that has nothing to write and so never
// learns of its successor: it would refuse the caller's next turns as out of
// order for as long as the caller keeps asking, and not know answers that the
// caller was given elsewhere.
func (ledger *Ledger) doubtOwnership(program *program) {
	if !program.mayBeStale() || program.reloading {
		return
	}
	doubted := false
	for _, call := range program.queue {
		doubted = doubted || !call.doubted
		call.doubted = true
	}
	if doubted {
		ledger.read(program, false, HeadKey(program.key))
	}
}

// outdated reports whether the rows show that another host has written the
// head of a program that this host owned.
func (program *program) outdated(rows []bvplatform.Row) bool {
	if program.phase != phaseOwned {
		return false
	}
	return slices.ContainsFunc(rows, func(row bvplatform.Row) bool {
		return row.Key == HeadKey(program.key) && row.Version != program.headVersion
	})
}

// unburdened reports whether this host has nothing of the program but calls
// that were never started, so that reading it again loses nothing.
func (program *program) unburdened() bool {
	return program.running == nil && program.entry == nil && program.unkept() == 0 && !program.dirty &&
		program.ending == nil && len(program.fetching) == 0 && len(program.settlements) == 0 && len(program.used) == 0
}

// reload reads a program again that other hosts owned in the meantime, and
// keeps the calls that wait. To refuse them would let their callers notice
// that the program came back to a host that had it before.
func (ledger *Ledger) reload(program *program) {
	program.phase = phaseLoading
	ledger.load(program, program.head.Parent)
	ledger.schedule(program)
}
