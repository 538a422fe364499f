package bvexperiment

import (
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgate"
	"balsamvalve.example/bvmodel"
)

// startProgram starts a program.
func (simulation *simulation) startProgram(spec *spec, parent *program) {
	started := newProgram(spec, parent)
	simulation.programs[spec.key] = started
	started.exchangeStart = simulation.now
	simulation.programsStarted++
	started.startOrder = simulation.programsStarted
	if parent == nil {
		simulation.records.programsStarted++
	}
	simulation.submitNext(started)
}

func (simulation *simulation) submitNext(program *program) {
	simulation.lastID++
	program.callInFlight = true
	next := program.nextCall(simulation.lastID)
	simulation.calls[next.id] = next
	simulation.submit(next)
}

func (simulation *simulation) submit(call *call) {
	call.sent = false
	call.endpoint = nil
	call.request.Attempt = call.repeats
	simulation.records.addSubmission(call, simulation.now)
	simulation.notifyPolicy(func() { simulation.policy.Submit(simulation.now, call.request) })
}

// sendCall sends a granted call to its endpoint.
func (simulation *simulation) sendCall(grant bvgate.Grant) {
	call := simulation.calls[grant.Request]
	if call == nil || call.sent {
		return
	}
	simulation.notifyPolicy(func() { simulation.policy.MarkUsed(simulation.now, grant.Request) })
	endpoint := simulation.byName[grant.Endpoint]
	if endpoint.down {
		simulation.reportFailure(call, bvgate.Refused)
		simulation.runAfter(refusedRetryDelay, func() { simulation.submit(call) })
		return
	}
	if endpoint.leaving && simulation.now.After(endpoint.leavingAt.Add(leavingGrace)) {
		simulation.records.sentToLeaving++
	}
	call.sent = true
	call.endpoint = endpoint
	call.model.Priority = grant.Priority
	endpoint.model.Submit(simulation.now, call.model)
	endpoint.updateNextEvent()
}

func (simulation *simulation) reportFailure(call *call, outcome bvgate.Outcome) {
	finish := bvgate.Finish{ID: call.id, Outcome: outcome, PromptTokens: call.model.PromptTokens}
	simulation.notifyPolicy(func() { simulation.policy.Finish(simulation.now, finish) })
}

// handleRefusal makes the caller retry later, or abandon the call.
func (simulation *simulation) handleRefusal(refusal bvgate.Refusal) {
	call := simulation.calls[refusal.Request]
	if call == nil || call.sent {
		return
	}
	wait := refusal.Err.RetryAfter()
	simulation.records.recordRefusal(call, simulation.now, wait)
	call.refusals++
	if wait <= 0 || call.refusals > maxRetries {
		simulation.records.recordGiveUp(call)
		simulation.failProgram(call)
		return
	}
	jitter := 1 + retryJitter*simulation.random.Float64()
	simulation.runAfter(bvclock.Duration(float64(wait)*jitter), func() { simulation.submit(call) })
}

// failProgram ends a call's program without an answer and marks its root as failed.
func (simulation *simulation) failProgram(call *call) {
	delete(simulation.calls, call.id)
	root := call.root
	if !root.failed {
		root.failed = true
		simulation.records.recordFailure(root)
	}
	simulation.endProgram(call.program)
}

func (simulation *simulation) releasePrefix(release bvgate.Release) {
	endpoint := simulation.byName[release.Endpoint]
	if endpoint.down {
		return
	}
	endpoint.model.Release(simulation.now, release.Member, release.Program)
	endpoint.updateNextEvent()
	simulation.policy.ConfirmRelease(simulation.now, release.Endpoint, release.Member, release.Program)
}

// advanceEndpoint advances an endpoint's model to now and handles its events.
func (simulation *simulation) advanceEndpoint(endpoint *endpoint) {
	for _, event := range endpoint.model.Advance(simulation.now) {
		call := simulation.calls[bvgate.RequestID(event.Call)]
		switch event.Kind {
		case bvmodel.Started:
			simulation.handleStart(endpoint, call)
		case bvmodel.Finished:
			simulation.handleAnswer(call, event)
		}
	}
	endpoint.updateNextEvent()
}

func (simulation *simulation) handleStart(at *endpoint, call *call) {
	if call == nil || !call.poisonous {
		return
	}
	incarnation := at.incarnation
	simulation.runAfter(poisonDelay, func() {
		if at.down || at.incarnation != incarnation {
			return
		}
		simulation.records.poisonCrashes++
		simulation.crashEndpoint(at, poisonRestart)
	})
}

func (simulation *simulation) handleAnswer(call *call, event bvmodel.Event) {
	delete(simulation.calls, call.id)
	program := call.program
	step := program.steps[program.stepIndex]
	program.recordAnswer(call, event.CachedTokens)
	simulation.reportSuccess(call, event, step)
	if step.isAnswer && program.parent == nil {
		simulation.records.recordAnswer(program, simulation.now)
	}
	if program.isDone() {
		simulation.endProgram(program)
		return
	}
	if len(step.children) == 0 {
		simulation.scheduleNextCall(program)
		return
	}
	program.runningChildren = len(step.children)
	for _, child := range step.children {
		simulation.startProgram(child, program)
	}
}

func (simulation *simulation) reportSuccess(call *call, event bvmodel.Event, step step) {
	finish := bvgate.Finish{
		ID: call.id, Outcome: bvgate.Succeeded, PromptTokens: call.model.PromptTokens,
		CachedTokens: event.CachedTokens, OutputTokens: event.OutputTokens,
		Pause: simulation.scenario.expectedPause(call.program, step),
	}
	simulation.notifyPolicy(func() { simulation.policy.Finish(simulation.now, finish) })
}

// scheduleNextCall schedules a program's next call after its pause, in which it uses a
// tool or waits for its user.
func (simulation *simulation) scheduleNextCall(program *program) {
	last := program.steps[program.stepIndex-1]
	simulation.events.schedule(simulation.now.Add(last.pause), func() {
		if last.isAnswer {
			program.exchangeStart = simulation.now
		}
		simulation.submitNext(program)
	})
}

// endProgram ends a program, and resumes its parent after its last sub-agent.
func (simulation *simulation) endProgram(program *program) {
	program.ended = true
	delete(simulation.programs, program.key)
	for _, endpoint := range simulation.endpoints {
		endpoint.model.EndProgram(simulation.now, program.member, program.key)
	}
	simulation.notifyPolicy(func() { simulation.policy.EndProgram(simulation.now, program.member, program.key) })
	parent := program.parent
	if parent == nil || parent.ended {
		return
	}
	parent.runningChildren--
	if parent.runningChildren == 0 {
		simulation.scheduleNextCall(parent)
	}
}
