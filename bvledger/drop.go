package bvledger

import (
	"errors"
	"slices"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvverdict"
)

// dropProgram drops a program that another host owns now, or whose entry could not be
// written at all. Calls that never started are refused as not run, started ones as may
// have run, and finished ones as ran.
func (ledger *Ledger) dropProgram(now bvclock.Time, program *program, cause error) {
	ledger.requeue(program)
	dropErr := ledger.dropError(cause)
	for _, call := range program.queue {
		if call.recordInserted {
			ledger.recordDetached(now, program.detachedCall(call), Result{Err: dropErr})
			continue
		}
		ledger.refuseCall(call, bvverdict.Refuse(dropErr.Code(), "%s", dropErr.Reason()).
			WithRetryAfter(dropErr.RetryAfter()).WithCause(cause))
	}
	program.queue = nil
	if program.isRunning() {
		ledger.dropRunning(program, cause)
	}
	for _, turn := range program.turns[program.durableTurns:] {
		ledger.dropTurn(now, program, turn, cause)
	}
	ledger.writeSettlements(now, program)
	ledger.releaseUnlisted(program)
	if program.ending != nil {
		for _, caller := range program.ending.callers {
			ledger.refuseCall(caller, dropErr)
		}
	}
	ledger.closeProgram(program)
}

func (ledger *Ledger) dropError(cause error) *bvverdict.Error {
	var conflict *bvplatform.ConflictError
	if errors.As(cause, &conflict) {
		return bvverdict.Refuse(bvverdict.NotOwner, "another host serves the program now").
			WithRetryAfter(ledger.settings.RetryAfter).WithCause(cause)
	}
	return ledger.unavailable("the program's state could not be written").WithCause(cause)
}

func (ledger *Ledger) dropRunning(program *program, cause error) {
	call := program.running
	program.running = nil
	ledger.detachedCalls[call.ID] = program.detachedCall(call)
	if call.Unrepeatable {
		return
	}
	ledger.emit(Abort{Call: call.ID})
	ledger.refuseCall(call, bvverdict.New(bvverdict.MayHaveRun, bvverdict.NotOwner,
		"another host serves the program now").WithRetryAfter(ledger.settings.RetryAfter).WithCause(cause))
}

// dropTurn refuses the calls that wait for a finished turn. The answer of an
// unrepeatable turn is still written to its once record.
func (ledger *Ledger) dropTurn(now bvclock.Time, program *program, turn *turn, cause error) {
	if !turn.unrepeatable {
		ledger.refuseWaiters(turn, bvverdict.New(bvverdict.Ran, bvverdict.NotOwner,
			"the call ran, but another host serves the program now and its answer is not persisted").
			WithRetryAfter(ledger.settings.RetryAfter).WithCause(cause))
		return
	}
	call := &call{Call: Call{Key: program.key, Request: turn.request, Messages: turn.messages}}
	detached := program.detachedCall(call)
	if len(turn.waiters) > 0 {
		detached.call = turn.waiters[0]
		detached.call.joined = slices.Concat(detached.call.joined, turn.waiters[1:])
	}
	ledger.recordDetached(now, detached, Result{Answer: turn.answer, Message: turn.message})
}

// writeSettlements writes the outcomes of once records that this host inserted; dropTurn
// handles the answered ones.
func (ledger *Ledger) writeSettlements(now bvclock.Time, program *program) {
	for _, settlement := range program.settlements {
		if settlement.row.State == onceAnswered {
			continue
		}
		ledger.issueEntry(now, &entry{detachedCall: &detachedCall{call: &call{}}}, Entry{
			Checks: []bvplatform.Check{{Key: settlement.key, Version: program.onceRecords[settlement.key].version}},
			Puts:   []bvplatform.Put{{Key: settlement.key, Value: encode(settlement.row)}},
		})
	}
}

// releaseUnlisted releases the endpoints that the durable head row doesn't list, so that
// the new owner can't know them, and those that ran a call since this host's last
// commit: the new owner may have ended the program and released them before that call
// ran.
func (ledger *Ledger) releaseUnlisted(program *program) {
	endpoints := slices.Clone(program.usedEndpoints)
	for _, endpoint := range program.head.Endpoints {
		if !slices.Contains(program.durableEndpoints, endpoint) {
			endpoints = append(endpoints, endpoint)
		}
	}
	slices.Sort(endpoints)
	endpoints = slices.Compact(endpoints)
	if len(endpoints) > 0 {
		ledger.emit(Release{Key: program.key, Endpoints: endpoints})
	}
}
