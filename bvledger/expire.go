package bvledger

import (
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvverdict"
)

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
	if program.unkept() >= ledger.settings.MaxUncommitted {
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
