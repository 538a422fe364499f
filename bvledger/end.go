package bvledger

import (
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvverdict"
)

// askEnd takes in a caller's wish to end the program.
func (ledger *Ledger) askEnd(program *program, call *call) {
	if program.headVersion == 0 && program.entry == nil && program.phase != phaseOwned {
		ledger.refuse(call, bvverdict.Refuse(bvverdict.UnknownProgram, "the program is not known"))
		return
	}
	if program.head.State.IsEnded() {
		ledger.answer(call, nil, 0, true)
		return
	}
	if program.ending == nil {
		program.ending = &ending{state: EndedByCaller}
	}
	program.ending.callers = append(program.ending.callers, call)
}

// endReady reports whether nothing has to finish before the end.
func (program *program) endReady() bool {
	return program.ending != nil && program.running == nil && !program.head.State.IsEnded()
}

// advanceEnd refuses what waits in a program that ends, and stops what runs.
// The call is waited for, since the end returns what it didn't spend and
// names the endpoint that it ran on.
func (ledger *Ledger) advanceEnd(now bvclock.Time, program *program) {
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

// expireEnding stops waiting for an aborted call, and for a commit of the end
// that its caller can't wait for any longer.
func (ledger *Ledger) expireEnding(now bvclock.Time, program *program) {
	ending := program.ending
	if ending == nil {
		return
	}
	callers := ending.callers
	ending.callers = nil
	for _, caller := range callers {
		if !due(caller.timeout(), now) {
			ending.callers = append(ending.callers, caller)
			continue
		}
		ledger.refuse(caller, bvverdict.New(bvverdict.MayHaveRun, bvverdict.PlatformUnavailable,
			"the program's end isn't kept yet").WithRetryAfter(ledger.settings.RetryAfter))
	}
	if !due(ending.abortBy, now) {
		return
	}
	ending.abortBy = 0
	if !program.isRunning() {
		return
	}
	running := program.running
	program.running = nil
	program.reserved = 0
	// Where it runs is only known when it ends, perhaps after the release.
	ledger.strays[running.ID] = &stray{call: &call{Call: Call{ID: running.ID, Key: running.Key}}}
	program.head.Spent += running.Cost
	ledger.fail(program, running, Result{Err: bvverdict.New(bvverdict.MayHaveRun, bvverdict.ProgramEnded,
		"the program has ended while the call ran")})
}

// ended takes in that the end is durable.
func (ledger *Ledger) ended(now bvclock.Time, program *program) {
	program.head.State = program.ending.state
	for _, caller := range program.ending.callers {
		ledger.answer(caller, nil, 0, false)
	}
	program.ending = nil
}

func (ledger *Ledger) emitReleased(program *program) {
	if program.head.State.IsEnded() && len(program.head.Endpoints) > 0 {
		ledger.emit(Release{Key: program.key, Endpoints: program.head.clone().Endpoints})
	}
}

// release goes on telling the endpoints of an ended program to drop its cache
// until each has confirmed. The head row names them, so that another host can
// go on after this one.
func (ledger *Ledger) release(now bvclock.Time, program *program) {
	if program.phase != phaseOwned || !program.head.State.IsEnded() || !program.idle() {
		return
	}
	if len(program.head.Endpoints) == 0 {
		if !program.dirty {
			ledger.close(program)
		}
		return
	}
	if due(program.releasedAt.Add(ledger.settings.ReleaseInterval), now) {
		program.releasedAt = now
		ledger.emitReleased(program)
	}
}

// ConfirmRelease tells that an endpoint holds nothing of the program any more,
// or that its incarnation is gone.
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

// expireIdle ends a program that nothing was heard of for too long, and takes
// the history of one that rests out of memory.
func (ledger *Ledger) expireIdle(now bvclock.Time, program *program) {
	if !program.idle() || program.dirty || program.head.State.IsEnded() {
		return
	}
	owned := program.phase == phaseOwned || program.phase == phaseCold
	if !owned {
		return
	}
	if program.head.Idle > 0 && due(program.activeAt.Add(program.head.Idle), now) {
		program.ending = &ending{state: EndedIdle}
		return
	}
	if program.phase == phaseOwned && due(program.activeAt.Add(ledger.settings.EvictAfter), now) {
		program.evict()
	}
}
