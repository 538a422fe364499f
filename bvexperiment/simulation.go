package bvexperiment

import (
	"math/rand/v2"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgate"
)

// Delays of the platform and of callers.
const (
	listLag           = 2 * bvclock.Second // time until the list shows a change
	refusedRetryDelay = 100 * bvclock.Millisecond
	maxRetries        = 8   // by a caller that was refused
	maxRepeats        = 30  // of a call whose endpoint crashed
	retryJitter       = 0.1 // of the time until a retry, as a fraction of it
	poisonDelay       = 100 * bvclock.Millisecond
	poisonRestart     = 15 * bvclock.Second
	drainTime         = 60 * bvclock.Second // after the last arrival
	shareWindow       = 10 * bvclock.Second
	leavingGrace      = 5 * bvclock.Second
	leavingLifetime   = 30 * bvclock.Second
)

// simulation runs one scenario under one policy.
type simulation struct {
	scenario        *Scenario
	policy          Policy
	delay           bvclock.Duration // one-way, between an owner and the policy
	now             bvclock.Time
	end             bvclock.Time // last arrival
	events          eventQueue
	random          *rand.Rand
	endpoints       []*endpoint
	byName          map[string]*endpoint
	programs        map[string]*program
	calls           map[bvgate.RequestID]*call
	lastID          bvgate.RequestID
	programsStarted int
	policyNotified  bool // the policy has received an event since its last Tick
	records         records
}

func newSimulation(scenario *Scenario, seed uint64, contender contender, programs []*spec) *simulation {
	simulation := &simulation{
		scenario:  scenario,
		policy:    contender.newPolicy(seed),
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
		clairvoyant.setOracle(simulation)
	}
	simulation.policy.SetMembers(simulation.scenario.members)
	for _, endpoint := range simulation.endpoints {
		simulation.policy.UpdateEndpoint(0, endpoint.report(0))
		simulation.scheduleReports(endpoint)
	}
	for _, spec := range programs {
		simulation.events.schedule(spec.arrival, func() { simulation.startProgram(spec, nil) })
	}
	for _, fault := range simulation.scenario.faults {
		simulation.events.schedule(fault.at, func() { fault.inject(simulation) })
	}
	for at := simulation.scenario.warmUp; !at.After(simulation.end); at = at.Add(shareWindow) {
		simulation.events.schedule(at, simulation.recordShares)
	}
	simulation.events.schedule(simulation.end, simulation.recordWaste)
}

// run runs the scenario until no events are left or the drain time has passed.
func (simulation *simulation) run() *records {
	horizon := simulation.end.Add(drainTime)
	for simulation.step(horizon) {
	}
	simulation.now = horizon
	simulation.recordUnfinished()
	return &simulation.records
}

// step advances to the time of the next event and handles all events due then. It
// reports false if there is none up to the horizon.
func (simulation *simulation) step(horizon bvclock.Time) bool {
	next, ok := simulation.nextTime()
	if !ok || next.After(horizon) {
		return false
	}
	simulation.now = max(next, simulation.now)
	for _, endpoint := range simulation.endpoints {
		if endpoint.hasNext && !endpoint.nextAt.After(simulation.now) {
			simulation.advanceEndpoint(endpoint)
		}
	}
	for {
		do, ok := simulation.events.pop(simulation.now)
		if !ok {
			break
		}
		do()
	}
	simulation.runPolicy()
	return true
}

func (simulation *simulation) nextTime() (bvclock.Time, bool) {
	next, ok := simulation.events.nextTime()
	for _, endpoint := range simulation.endpoints {
		if endpoint.hasNext && (!ok || endpoint.nextAt.Before(next)) {
			next, ok = endpoint.nextAt, true
		}
	}
	if tick := simulation.policy.NextTick(); tick != 0 {
		// A tick that is due in the past has just been handled.
		tick = max(tick, simulation.now+1)
		if !ok || tick.Before(next) {
			next, ok = tick, true
		}
	}
	return next, ok
}

// runPolicy runs the policy's Tick if the policy has received an event or is due.
func (simulation *simulation) runPolicy() {
	tick := simulation.policy.NextTick()
	if !simulation.policyNotified && (tick == 0 || tick.After(simulation.now)) {
		return
	}
	simulation.policyNotified = false
	for _, effect := range simulation.policy.Tick(simulation.now) {
		simulation.applyEffect(effect)
	}
}

func (simulation *simulation) applyEffect(effect bvgate.Effect) {
	switch effect := effect.(type) {
	case bvgate.Grant:
		simulation.records.grants++
		simulation.runAfter(simulation.delay, func() { simulation.sendCall(effect) })
	case bvgate.Refusal:
		simulation.runAfter(simulation.delay, func() { simulation.handleRefusal(effect) })
	case bvgate.Release:
		simulation.releasePrefix(effect)
	}
}

// runAfter runs a function after a delay, or immediately if the delay is zero.
func (simulation *simulation) runAfter(delay bvclock.Duration, do func()) {
	if delay == 0 {
		do()
		return
	}
	simulation.events.schedule(simulation.now.Add(delay), do)
}

// notifyPolicy passes an event to the policy after the delay between owner and policy.
func (simulation *simulation) notifyPolicy(event func()) {
	simulation.runAfter(simulation.delay, func() {
		simulation.policyNotified = true
		event()
	})
}
