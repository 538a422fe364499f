package bvledger

import (
	"errors"
	"slices"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvverdict"
)

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
		ledger.emit(Release{Key: program.key, Endpoints: lost})
	}
}
