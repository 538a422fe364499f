package bvexperiment

import (
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgate"
	"balsamvalve.example/bvmodel"
)

// reporting describes how endpoints report their load.
type reporting struct {
	interval bvclock.Duration
	lag      bvclock.Duration
	lossRate float64 // fraction of the reports that never arrive
}

// Scenario is a workload together with the faults that occur during it.
type Scenario struct {
	name     string
	about    string
	pool     poolSize
	members  []bvgate.MemberShare
	warmUp   bvclock.Time
	duration bvclock.Duration // after the warm-up
	// Only exchanges that start in this time are measured.
	measureFrom, measureTo bvclock.Time
	reporting              reporting
	faults                 []fault
	contenders             []contender
	programs               func(seed uint64) []*spec
	pauses                 map[string]bvclock.Duration // usual pause of a class, if it differs from the default
}

// Name returns the scenario's name on the command line.
func (scenario *Scenario) Name() string { return scenario.name }

// About returns a one-sentence description of the scenario.
func (scenario *Scenario) About() string { return scenario.about }

func (scenario *Scenario) end() bvclock.Time { return scenario.warmUp.Add(scenario.duration) }

// expectedPause returns the pause that an owner expects after a call: the usual
// pause of the class; after an answer, the usual time between two exchanges; and
// after a program's last call a negative value, since its caller ends it then.
func (scenario *Scenario) expectedPause(program *program, step step) bvclock.Duration {
	if program.isDone() {
		return -1
	}
	if step.isAnswer {
		return bvclock.Duration(assistantShape().answerPause.median)
	}
	if pause, ok := scenario.pauses[program.class]; ok {
		return pause
	}
	return expectedPause(program.class)
}

// Sizes of the scenarios.
const (
	warmUp         = bvclock.Time(40 * bvclock.Second)
	duration       = 300 * bvclock.Second
	faultAt        = bvclock.Time(120 * bvclock.Second)
	floodUntil     = bvclock.Time(240 * bvclock.Second)
	zoneDowntime   = 60 * bvclock.Second
	defaultEngines = 12
	defaultZones   = 4
)

func defaultPool() poolSize {
	return poolSize{
		engines: defaultEngines,
		zones:   defaultZones,
		config: bvmodel.Config{
			Slots: 8, CacheTokens: 64_000, PrefillTokensPerSecond: 5000, DecodeTokensPerSecond: 50, Slowdown: 0.06,
		},
	}
}

func equalShares() []bvgate.MemberShare {
	return []bvgate.MemberShare{{Member: brindley, Weight: 1}, {Member: piran, Weight: 1}}
}

func defaultReporting() reporting {
	return reporting{interval: 500, lag: 500}
}

// newScenario returns a scenario in which both members offer the same load and no
// faults occur.
func newScenario(name, about string, load float64) *Scenario {
	scenario := &Scenario{
		name: name, about: about, pool: defaultPool(), members: equalShares(),
		warmUp: warmUp, duration: duration, reporting: defaultReporting(), contenders: standardContenders(),
		measureFrom: warmUp, measureTo: warmUp.Add(duration),
	}
	scenario.programs = func(seed uint64) []*spec {
		return mergeByArrival(
			piranMix().arrivals(seed, load/2, scenario.pool, 0, scenario.end()),
			brindleyMix().arrivals(seed, load/2, scenario.pool, 0, scenario.end()),
		)
	}
	return scenario
}

// Scenarios returns all scenarios in the order of the report.
func Scenarios() []*Scenario {
	return []*Scenario{
		unloaded(),
		newScenario("load-0.50", "both mixes at half of what the pool can do", 0.5),
		newScenario(nameLoad80, "both mixes at load 0.8", 0.8),
		newScenario("load-0.95", "both mixes at load 0.95", 0.95),
		newScenario(nameOverload, "both mixes at load 1.2", 1.2),
		backlog(),
		flood(),
		loops(),
		aloneAtShare(),
		longPauses(),
		lagging("lag-1s", 1*bvclock.Second, 0.1),
		lagging("lag-5s", 5*bvclock.Second, 0.3),
		crashedZone(),
		leavingEndpoint(),
		poison(),
		weekly(),
		endpointDecision(),
		endpointDecisionInFlood(),
	}
}

// unloaded runs the programs of load 0.8 on four times the engines: its latency is
// the part that no policy can remove.
func unloaded() *Scenario {
	const times = 4
	scenario := newScenario(nameUnloaded, "the programs of load 0.8 before four times the engines", 0)
	pool := scenario.pool
	scenario.pool.engines *= times
	scenario.contenders = selectContenders(nameAffinity, nameClairvoyant, nameProduct)
	scenario.programs = func(seed uint64) []*spec {
		return mergeByArrival(
			piranMix().arrivals(seed, 0.4, pool, 0, scenario.end()),
			brindleyMix().arrivals(seed, 0.4, pool, 0, scenario.end()),
		)
	}
	return scenario
}

// backlog has each member offer as much load as the entire pool can serve, with
// weights 3 to 1.
func backlog() *Scenario {
	scenario := newScenario(nameBacklog, "each member asks for the whole pool; weights 3 to 1", 2)
	scenario.members = []bvgate.MemberShare{{Member: brindley, Weight: 1}, {Member: piran, Weight: 3}}
	scenario.duration = 150 * bvclock.Second
	scenario.measureTo = scenario.end()
	return scenario
}

const victimLoad = 0.35

func victim(seed uint64, scenario *Scenario) []*spec {
	return piranMix().arrivals(seed, victimLoad, defaultPool(), 0, scenario.end())
}

// flood has the rival offer three times the load of the entire pool for two minutes.
func flood() *Scenario {
	const floodLoad = 3
	scenario := newScenario(nameFlood, "a rival asks for three times the pool from 120 s to 240 s", 0)
	scenario.measureFrom, scenario.measureTo = faultAt, floodUntil
	scenario.programs = func(seed uint64) []*spec {
		return mergeByArrival(
			victim(seed, scenario),
			brindleyMix().arrivals(seed, floodLoad, scenario.pool, faultAt, floodUntil),
		)
	}
	return scenario
}

// loops has the rival run programs that do not end.
func loops() *Scenario {
	scenario := newScenario(nameLoops, "a rival starts 150 programs at 120 s that loop without end", 0)
	scenario.measureFrom, scenario.measureTo = faultAt, floodUntil
	scenario.programs = func(seed uint64) []*spec {
		return mergeByArrival(victim(seed, scenario), endlessLoops(150, faultAt))
	}
	return scenario
}

// aloneAtShare runs the victim of flood and loops alone on half of the endpoints,
// which is its share.
func aloneAtShare() *Scenario {
	scenario := newScenario(nameAlone, "the victim of flood and loops alone before its share, half of the engines", 0)
	scenario.pool.engines /= 2
	scenario.measureFrom, scenario.measureTo = faultAt, floodUntil
	scenario.programs = func(seed uint64) []*spec { return victim(seed, scenario) }
	return scenario
}

const longPause = 12_000

func longPauses() *Scenario {
	scenario := newScenario(nameLongPauses, "tools take 12 s at the median", 0)
	scenario.programs = func(seed uint64) []*spec {
		return mergeByArrival(
			longPauseMix(piranMix(), longPause).arrivals(seed, 0.35, scenario.pool, 0, scenario.end()),
			longPauseMix(brindleyMix(), longPause).arrivals(seed, 0.35, scenario.pool, 0, scenario.end()),
		)
	}
	scenario.pauses = map[string]bvclock.Duration{
		classBooking: longPause, classQuoting: longPause, classAssistant: longPause,
	}
	return scenario
}

func lagging(name string, lag bvclock.Duration, lost float64) *Scenario {
	scenario := newScenario(name, "load 0.8; reports arrive late, and some never", 0.8)
	scenario.reporting = reporting{interval: 1 * bvclock.Second, lag: lag, lossRate: lost}
	// The other policies do not use reports: their results are those of load 0.8.
	scenario.contenders = selectContenders(nameLeastLoad, nameProduct)
	return scenario
}

func crashedZone() *Scenario {
	scenario := newScenario(nameCrashedZone, "load 0.6; a quarter of the engines is down from 120 s to 180 s", 0.6)
	scenario.faults = []fault{crashZone(faultAt, "zone-1", zoneDowntime)}
	return scenario
}

func leavingEndpoint() *Scenario {
	scenario := newScenario(nameLeaving, "load 0.8; an engine leaves at 120 s and stops 30 s later", 0.8)
	scenario.faults = []fault{leaveEndpoint(faultAt, "engine-03")}
	return scenario
}

func poison() *Scenario {
	scenario := newScenario("poison", "load 0.6; at 120 s a request arrives that crashes each engine that runs it", 0.6)
	original := scenario.programs
	scenario.programs = func(seed uint64) []*spec {
		return mergeByArrival(original(seed), []*spec{{
			member: brindley, class: classQuoting, key: "poison", arrival: faultAt, poisonous: true,
			steps: []step{{newTokens: 1000, outputTokens: 200, isAnswer: true}},
		}})
	}
	return scenario
}

// weekly has conversations whose histories together do not fit in the engines'
// memory, beside a smaller load of short programs.
func weekly() *Scenario {
	scenario := newScenario(nameWeekly, "load 0.7; conversations with long histories and pauses, cache too small for all", 0)
	scenario.pool.config.CacheTokens = 48_000
	scenario.programs = func(seed uint64) []*spec {
		return mergeByArrival(
			piranMix().arrivals(seed, 0.25, scenario.pool, 0, scenario.end()),
			assistantMix().arrivals(seed, 0.45, scenario.pool, 0, scenario.end()),
		)
	}
	return scenario
}

// endpointDecision compares the strategies for choosing an endpoint.
func endpointDecision() *Scenario {
	scenario := newScenario("decision-0.90", "load 0.9, 13 hosts, reports 1 s late: who decides for an endpoint", 0.9)
	scenario.reporting = reporting{interval: 1 * bvclock.Second, lag: 1 * bvclock.Second}
	scenario.contenders = decisionContenders()
	return scenario
}

// endpointDecisionInFlood compares them while a rival offers three times the load of
// the pool.
func endpointDecisionInFlood() *Scenario {
	scenario := flood()
	scenario.name = "decision-flood"
	scenario.about = "the flood with 13 hosts, reports 1 s late: who decides for an endpoint"
	scenario.reporting = reporting{interval: 1 * bvclock.Second, lag: 1 * bvclock.Second}
	scenario.contenders = decisionContenders()
	return scenario
}
