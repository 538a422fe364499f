package bvexperiment

import (
	"math/rand/v2"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgate"
	"balsamvalve.example/bvmodel"
)

// Delays of the platform and of callers.
const (
	listLag         = 2 * bvclock.Second // until the list shows a change
	refusedRetry    = 100 * bvclock.Millisecond
	maxReturns      = 8   // of a caller that was refused
	maxRepeats      = 30  // of a call whose endpoint crashed
	returnJitter    = 0.1 // of the time to come back
	poisonDelay     = 100 * bvclock.Millisecond
	poisonRestart   = 15 * bvclock.Second
	drain           = 60 * bvclock.Second // after the last arrival
	shareWindow     = 10 * bvclock.Second
	leavingGrace    = 5 * bvclock.Second
	leavingLifetime = 30 * bvclock.Second
)

// simulation runs one scenario under one policy.
type simulation struct {
	scenario  *Scenario
	policy    Policy
	delay     bvclock.Duration // between an owner and the policy, one way
	now       bvclock.Time
	end       bvclock.Time // last arrival
	agenda    agenda
	random    *rand.Rand
	endpoints []*endpoint
	byName    map[string]*endpoint
	programs  map[string]*program
	calls     map[bvgate.RequestID]*call
	lastID    bvgate.RequestID
	begun     int
	touched   bool // the policy was told something since its last Tick
	records   records
}

func newSimulation(scenario *Scenario, seed uint64, contender contender, programs []*spec) *simulation {
	simulation := &simulation{
		scenario:  scenario,
		policy:    contender.policy(seed),
		delay:     contender.delay,
		end:       scenario.end(),
		random:    rand.New(rand.NewPCG(seed, 7)),
		endpoints: newEndpoints(scenario.pool),
		byName:    make(map[string]*endpoint),
		programs:  make(map[string]*program),
		calls:     make(map[bvgate.RequestID]*call),
	}
	for _, endpoint := range simulation.endpoints {
		simulation.byName[endpoint.name] = endpoint
	}
	simulation.prepare(programs)
	return simulation
}

func (simulation *simulation) prepare(programs []*spec) {
	if clairvoyant, ok := simulation.policy.(clairvoyantPolicy); ok {
		clairvoyant.foresee(simulation)
	}
	simulation.policy.SetMembers(simulation.scenario.members)
	for _, endpoint := range simulation.endpoints {
		simulation.policy.Report(0, endpoint.report(0))
		simulation.planReports(endpoint)
	}
	for _, spec := range programs {
		simulation.agenda.add(spec.arrival, func() { simulation.begin(spec, nil) })
	}
	for _, fault := range simulation.scenario.faults {
		simulation.agenda.add(fault.at, func() { fault.do(simulation) })
	}
	for at := simulation.scenario.warmUp; !at.After(simulation.end); at = at.Add(shareWindow) {
		simulation.agenda.add(at, simulation.recordShares)
	}
	simulation.agenda.add(simulation.end, simulation.recordWaste)
}

// run carries the scenario out until all is done or the drain time is over.
func (simulation *simulation) run() *records {
	horizon := simulation.end.Add(drain)
	for simulation.step(horizon) {
	}
	simulation.now = horizon
	simulation.recordUnfinished()
	return &simulation.records
}

// step moves to the next time at which something happens.
func (simulation *simulation) step(horizon bvclock.Time) bool {
	next, ok := simulation.nextTime()
	if !ok || next.After(horizon) {
		return false
	}
	simulation.now = max(next, simulation.now)
	for _, endpoint := range simulation.endpoints {
		if endpoint.hasNext && !endpoint.nextAt.After(simulation.now) {
			simulation.advance(endpoint)
		}
	}
	for {
		do, ok := simulation.agenda.take(simulation.now)
		if !ok {
			break
		}
		do()
	}
	simulation.decide()
	return true
}

func (simulation *simulation) nextTime() (bvclock.Time, bool) {
	next, ok := simulation.agenda.next()
	for _, endpoint := range simulation.endpoints {
		if endpoint.hasNext && (!ok || endpoint.nextAt.Before(next)) {
			next, ok = endpoint.nextAt, true
		}
	}
	if tick := simulation.policy.Next(); tick != 0 {
		// A policy that is due in the past has just been asked.
		tick = max(tick, simulation.now+1)
		if !ok || tick.Before(next) {
			next, ok = tick, true
		}
	}
	return next, ok
}

// decide asks the policy for its decisions until it has none left.
func (simulation *simulation) decide() {
	tick := simulation.policy.Next()
	if !simulation.touched && (tick == 0 || tick.After(simulation.now)) {
		return
	}
	simulation.touched = false
	for _, effect := range simulation.policy.Tick(simulation.now) {
		simulation.apply(effect)
	}
}

func (simulation *simulation) apply(effect bvgate.Effect) {
	switch effect := effect.(type) {
	case bvgate.Grant:
		simulation.records.grants++
		simulation.later(simulation.delay, func() { simulation.send(effect) })
	case bvgate.Refusal:
		simulation.later(simulation.delay, func() { simulation.refused(effect) })
	case bvgate.Release:
		simulation.release(effect)
	}
}

// later does something after a delay, or now when there is none.
func (simulation *simulation) later(delay bvclock.Duration, do func()) {
	if delay == 0 {
		do()
		return
	}
	simulation.agenda.add(simulation.now.Add(delay), do)
}

// tell gives the policy an event, delayed by the way to it.
func (simulation *simulation) tell(event func()) {
	simulation.later(simulation.delay, func() {
		simulation.touched = true
		event()
	})
}

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
	simulation.records.ask(call, simulation.now)
	simulation.tell(func() { simulation.policy.Ask(simulation.now, call.request) })
}

// send makes a granted call.
func (simulation *simulation) send(grant bvgate.Grant) {
	call := simulation.calls[grant.Request]
	if call == nil || call.sent {
		return
	}
	simulation.tell(func() { simulation.policy.Used(simulation.now, grant.Request) })
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
	simulation.policy.ReleaseDone(simulation.now, release.Endpoint, release.Member, release.Program)
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

// remaining implements oracle.
func (simulation *simulation) remaining(key string) float64 {
	program := simulation.programs[key]
	if program == nil {
		return 0
	}
	return program.seconds(simulation.scenario.pool.config, program.at)
}

// cached implements oracle.
func (simulation *simulation) cached(endpoint, member, program string) int {
	return simulation.byName[endpoint].model.Cached(member, program)
}

// prefillSeconds implements oracle.
func (simulation *simulation) prefillSeconds(tokens int) float64 {
	return float64(tokens) / simulation.scenario.pool.config.PrefillTokensPerSecond
}

// freeMemory implements oracle.
func (simulation *simulation) freeMemory(endpoint string) float64 {
	return simulation.byName[endpoint].model.FreeMemory()
}
