package bvexperiment

import (
	"math/rand/v2"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgate"
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
		simulation.policy.UpdateEndpoint(0, endpoint.report(0))
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
	if tick := simulation.policy.NextTick(); tick != 0 {
		// A policy that is due in the past has just been asked.
		tick = max(tick, simulation.now+1)
		if !ok || tick.Before(next) {
			next, ok = tick, true
		}
	}
	return next, ok
}

// decide asks the policy for its decisions if it was told something or is due.
func (simulation *simulation) decide() {
	tick := simulation.policy.NextTick()
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
