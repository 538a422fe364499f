package bvexperiment

import (
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgate"
	"balsamvalve.example/bvmodel"
)

// begin starts a program.
func (simulation *simulation) begin(spec *spec, parent *program) {
	begun := newProgram(spec, parent)
	simulation.programs[spec.key] = begun
	begun.asked = simulation.now
	simulation.begun++
	begun.order = simulation.begun
	if parent == nil {
		simulation.records.begun++
	}
	simulation.ask(begun)
}

func (simulation *simulation) ask(program *program) {
	simulation.lastID++
	program.asking = true
	next := program.next(simulation.lastID)
	simulation.calls[next.id] = next
	simulation.askAgain(next)
}

func (simulation *simulation) askAgain(call *call) {
	call.sent = false
	call.endpoint = nil
	call.request.Attempt = call.repeats
	simulation.records.ask(call, simulation.now)
	simulation.tell(func() { simulation.policy.Submit(simulation.now, call.request) })
}

// send makes a granted call.
func (simulation *simulation) send(grant bvgate.Grant) {
	call := simulation.calls[grant.Request]
	if call == nil || call.sent {
		return
	}
	simulation.tell(func() { simulation.policy.MarkUsed(simulation.now, grant.Request) })
	endpoint := simulation.byName[grant.Endpoint]
	if endpoint.down {
		simulation.finishFailed(call, bvgate.Refused)
		simulation.later(refusedRetry, func() { simulation.askAgain(call) })
		return
	}
	if endpoint.leaving && simulation.now.After(endpoint.leavingAt.Add(leavingGrace)) {
		simulation.records.sentToLeaving++
	}
	call.sent = true
	call.endpoint = endpoint
	call.model.Priority = grant.Priority
	endpoint.model.Submit(simulation.now, call.model)
	endpoint.changed()
}

func (simulation *simulation) finishFailed(call *call, outcome bvgate.Outcome) {
	finish := bvgate.Finish{ID: call.id, Outcome: outcome, PromptTokens: call.model.PromptTokens}
	simulation.tell(func() { simulation.policy.Finish(simulation.now, finish) })
}

// refused lets the caller come back, or give up.
func (simulation *simulation) refused(refusal bvgate.Refusal) {
	call := simulation.calls[refusal.Request]
	if call == nil || call.sent {
		return
	}
	wait := refusal.Err.RetryAfter()
	simulation.records.refuse(call, simulation.now, wait)
	call.refusals++
	if wait <= 0 || call.refusals > maxReturns {
		simulation.records.giveUp(call)
		simulation.fail(call)
		return
	}
	jitter := 1 + returnJitter*simulation.random.Float64()
	simulation.later(bvclock.Duration(float64(wait)*jitter), func() { simulation.askAgain(call) })
}

// fail ends a call's whole program without an answer.
func (simulation *simulation) fail(call *call) {
	delete(simulation.calls, call.id)
	root := call.root
	if !root.failed {
		root.failed = true
		simulation.records.fail(root)
	}
	simulation.endProgram(call.program)
}

func (simulation *simulation) release(release bvgate.Release) {
	endpoint := simulation.byName[release.Endpoint]
	if endpoint.down {
		return
	}
	endpoint.model.Release(simulation.now, release.Member, release.Program)
	endpoint.changed()
	simulation.policy.ConfirmRelease(simulation.now, release.Endpoint, release.Member, release.Program)
}

// advance takes what happened in an endpoint.
func (simulation *simulation) advance(endpoint *endpoint) {
	for _, event := range endpoint.model.Advance(simulation.now) {
		call := simulation.calls[bvgate.RequestID(event.Call)]
		switch event.Kind {
		case bvmodel.Started:
			simulation.started(endpoint, call)
		case bvmodel.Finished:
			simulation.answered(call, event)
		}
	}
	endpoint.changed()
}

func (simulation *simulation) started(at *endpoint, call *call) {
	if call == nil || !call.poisonous {
		return
	}
	incarnation := at.incarnation
	simulation.later(poisonDelay, func() {
		if at.down || at.incarnation != incarnation {
			return
		}
		simulation.records.poisoned++
		simulation.crash(at, poisonRestart)
	})
}

func (simulation *simulation) answered(call *call, event bvmodel.Event) {
	delete(simulation.calls, call.id)
	program := call.program
	step := program.steps[program.at]
	program.finish(call, event.CachedTokens)
	simulation.finishSucceeded(call, event, step)
	if step.answers && program.parent == nil {
		simulation.records.answer(program, simulation.now)
	}
	if program.done() {
		simulation.endProgram(program)
		return
	}
	if len(step.children) == 0 {
		simulation.pause(program)
		return
	}
	program.children = len(step.children)
	for _, child := range step.children {
		simulation.begin(child, program)
	}
}

func (simulation *simulation) finishSucceeded(call *call, event bvmodel.Event, step step) {
	finish := bvgate.Finish{
		ID: call.id, Outcome: bvgate.Succeeded, PromptTokens: call.model.PromptTokens,
		CachedTokens: event.CachedTokens, OutputTokens: event.OutputTokens,
		Pause: simulation.scenario.expectedPause(call.program, step),
	}
	simulation.tell(func() { simulation.policy.Finish(simulation.now, finish) })
}

// pause lets a program use a tool, or wait for its person, before its next
// call.
func (simulation *simulation) pause(program *program) {
	last := program.steps[program.at-1]
	simulation.agenda.add(simulation.now.Add(last.pause), func() {
		if last.answers {
			program.asked = simulation.now
		}
		simulation.ask(program)
	})
}

// endProgram ends one program and lets its parent go on.
func (simulation *simulation) endProgram(program *program) {
	program.ended = true
	delete(simulation.programs, program.key)
	for _, endpoint := range simulation.endpoints {
		endpoint.model.EndProgram(simulation.now, program.member, program.key)
	}
	simulation.tell(func() { simulation.policy.EndProgram(simulation.now, program.member, program.key) })
	parent := program.parent
	if parent == nil || parent.ended {
		return
	}
	parent.children--
	if parent.children == 0 {
		simulation.pause(parent)
	}
}
