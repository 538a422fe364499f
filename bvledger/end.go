package bvledger

import (
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvverdict"
)

// requestEnd handles a caller's request to end the program.
func (ledger *Ledger) requestEnd(program *program, call *call) {
	if program.headVersion == 0 && program.entry == nil && program.phase != phaseOwned {
		ledger.refuseCall(call, bvverdict.Refuse(bvverdict.UnknownProgram, "the program is not known"))
		return
	}
	if program.head.State.IsEnded() {
		ledger.answerCall(call, nil, 0, true)
		return
	}
	if program.ending == nil {
		program.ending = &ending{state: EndedByCaller}
	}
	program.ending.callers = append(program.ending.callers, call)
}

// canEnd reports whether the program is to end and no call has to finish before that.
func (program *program) canEnd() bool {
	return program.ending != nil && program.running == nil && !program.head.State.IsEnded()
}

// stopCalls refuses the queued calls of a program that ends, and aborts the running
// one. The end waits for the running call, since it returns the unspent part of that
// call's budget and lists the endpoint that it ran on.
func (ledger *Ledger) stopCalls(now bvclock.Time, program *program) {
	if program.ending == nil {
		return
	}
	ledger.requeue(program)
	queue := program.queue
	program.queue = nil
	for _, call := range queue {
		ledger.refuseUnstarted(program, call, bvverdict.Refuse(bvverdict.ProgramEnded, "the program has ended"))
	}
	call := program.running
	if call == nil || call.aborted {
		return
	}
	call.aborted = true
	program.ending.abortBy = now.Add(ledger.settings.AbortGrace)
	ledger.emit(Abort{Call: call.ID})
}

// expireEnding refuses callers that timed out before the commit of the end, and detaches
// an aborted call that did not finish within AbortGrace.
func (ledger *Ledger) expireEnding(now bvclock.Time, program *program) {
	ending := program.ending
	if ending == nil {
		return
	}
	callers := ending.callers
	ending.callers = nil
	for _, caller := range callers {
		if !isDue(caller.timeout(), now) {
			ending.callers = append(ending.callers, caller)
			continue
		}
		ledger.refuseCall(caller, bvverdict.New(bvverdict.MayHaveRun, bvverdict.PlatformUnavailable,
			"the program's end is not persisted yet").WithRetryAfter(ledger.settings.RetryAfter))
	}
	if !isDue(ending.abortBy, now) {
		return
	}
	ending.abortBy = 0
	if !program.isRunning() {
		return
	}
	running := program.running
	program.running = nil
	program.reserved = 0
	// Its endpoint may become known only when it finishes, perhaps after the release.
	ledger.detachedCalls[running.ID] = &detachedCall{call: &call{Call: Call{ID: running.ID, Key: running.Key}}}
	program.head.Spent += running.Cost
	ledger.failCall(program, running, Result{Err: bvverdict.New(bvverdict.MayHaveRun, bvverdict.ProgramEnded,
		"the program has ended while the call ran")})
}

// completeEnd updates the program's state and answers the callers after the end has
// become durable.
func (ledger *Ledger) completeEnd(now bvclock.Time, program *program) {
	program.head.State = program.ending.state
	for _, caller := range program.ending.callers {
		ledger.answerCall(caller, nil, 0, false)
	}
	program.ending = nil
}

func (ledger *Ledger) emitRelease(program *program) {
	if program.head.State.IsEnded() && len(program.head.Endpoints) > 0 {
		ledger.emit(Release{Key: program.key, Endpoints: program.head.clone().Endpoints})
	}
}

// retryRelease repeats the Release of an ended program at intervals until each of its
// endpoints has confirmed. The head row lists them, so that another host can continue
// if this one fails.
func (ledger *Ledger) retryRelease(now bvclock.Time, program *program) {
	if program.phase != phaseOwned || !program.head.State.IsEnded() || !program.isIdle() {
		return
	}
	if len(program.head.Endpoints) == 0 {
		if !program.dirty {
			ledger.closeProgram(program)
		}
		return
	}
	if isDue(program.releasedAt.Add(ledger.settings.ReleaseInterval), now) {
		program.releasedAt = now
		ledger.emitRelease(program)
	}
}

// ConfirmRelease reports that an endpoint no longer has any cache of the program, or
// that its incarnation no longer exists.
func (ledger *Ledger) ConfirmRelease(now bvclock.Time, key ProgramKey, endpoint string) {
	program := ledger.programs[key]
	if program == nil || !program.head.State.IsEnded() {
		return
	}
	program.head.removeEndpoint(endpoint)
	if len(program.head.Endpoints) == 0 {
		program.dirty = true
	}
	ledger.advance(now, program)
}

// expireIdle ends a program that has been idle for its limit, and evicts the history of
// an idle one from memory.
func (ledger *Ledger) expireIdle(now bvclock.Time, program *program) {
	if !program.isIdle() || program.dirty || program.head.State.IsEnded() {
		return
	}
	owned := program.phase == phaseOwned || program.phase == phaseCold
	if !owned {
		return
	}
	if program.head.Idle > 0 && isDue(program.activeAt.Add(program.head.Idle), now) {
		program.ending = &ending{state: EndedIdle}
		return
	}
	if program.phase == phaseOwned && isDue(program.activeAt.Add(ledger.settings.EvictAfter), now) {
		program.evict()
	}
}
