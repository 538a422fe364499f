package bvledger

import (
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvverdict"
)

// expire refuses calls that have waited for too long, and ends or evicts an idle
// program.
func (ledger *Ledger) expire(now bvclock.Time, program *program) {
	ledger.expireQueue(now, program)
	ledger.expirePreparing(now, program)
	ledger.expireJoined(now, program)
	ledger.expireUncommitted(now, program)
	ledger.expireEnding(now, program)
	ledger.expireIdle(now, program)
}

func (ledger *Ledger) expireQueue(now bvclock.Time, program *program) {
	queue := program.queue
	program.queue = nil
	for _, call := range queue {
		if !isDue(call.timeout(), now) {
			program.queue = append(program.queue, call)
			continue
		}
		ledger.refuseUnstarted(program, call, ledger.timeoutError(now, program, call))
	}
}

func (ledger *Ledger) timeoutError(now bvclock.Time, program *program, call *call) *bvverdict.Error {
	if isDue(call.Deadline, now) {
		return bvverdict.Refuse(bvverdict.DeadlinePassed, "the deadline passed before the call could start")
	}
	if program.phase == phaseLoading || program.awaitingRows || call.state == callPreparing {
		return ledger.unavailable("the program's state couldn't be read or written in time")
	}
	if program.uncommitted() >= ledger.settings.MaxUncommitted {
		return ledger.unavailable("too many turns of the program wait to be persisted")
	}
	return bvverdict.Refuse(bvverdict.TurnOutOfOrder, "the turn before this one has not finished").
		WithRetryAfter(ledger.settings.RetryAfter)
}

func (ledger *Ledger) expirePreparing(now bvclock.Time, program *program) {
	call := program.running
	if call == nil || call.state != callPreparing || !isDue(call.timeout(), now) {
		return
	}
	program.running = nil
	ledger.refuseUnstarted(program, call, ledger.timeoutError(now, program, call))
}

func (ledger *Ledger) expireJoined(now bvclock.Time, program *program) {
	if program.running != nil {
		ledger.expireJoinedTo(now, program.running)
	}
	for _, call := range program.queue {
		ledger.expireJoinedTo(now, call)
	}
}

func (ledger *Ledger) expireJoinedTo(now bvclock.Time, original *call) {
	joined := original.joined
	original.joined = nil
	for _, call := range joined {
		if !isDue(call.timeout(), now) {
			original.joined = append(original.joined, call)
			continue
		}
		ledger.refuseCall(call, bvverdict.New(bvverdict.MayHaveRun, bvverdict.DeadlinePassed,
			"the deadline passed while the request was in progress"))
	}
}

// expireUncommitted refuses calls that ran but whose answer was not persisted in time.
// The answer is not sent: it is complete only once a repeat of the call would receive
// the same one.
func (ledger *Ledger) expireUncommitted(now bvclock.Time, program *program) {
	for _, turn := range program.turns[min(program.durableTurns, len(program.turns)):] {
		waiters := turn.waiters
		turn.waiters = nil
		for _, waiter := range waiters {
			if !isDue(waiter.timeout(), now) {
				turn.waiters = append(turn.waiters, waiter)
				continue
			}
			ledger.refuseCall(waiter, bvverdict.New(bvverdict.Ran, bvverdict.PlatformUnavailable,
				"the call ran but its answer is not persisted yet; retry the request").
				WithRetryAfter(ledger.settings.RetryAfter))
		}
	}
}
