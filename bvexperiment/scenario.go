package bvexperiment

import (
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgate"
	"balsamvalve.example/bvmodel"
)

// reports says how endpoints report their load.
type reports struct {
	every bvclock.Duration
	lag   bvclock.Duration
	lost  float64 // part of the reports that never arrive
}

// Scenario is a workload with what goes wrong in it.
type Scenario struct {
	name     string
	about    string
	pool     poolSize
	members  []bvgate.MemberShare
	warmUp   bvclock.Time
	duration bvclock.Duration // after the warm-up
	// Answers to programs that began in this time are measured.
	measureFrom, measureTo bvclock.Time
	reports                reports
	faults                 []fault
	contenders             []contender
	programs               func(seed uint64) []*spec
	pauses                 map[string]bvclock.Duration // usual pause of a class, where it differs
}

// Name returns the scenario's name on the command line.
func (scenario *Scenario) Name() string { return scenario.name }

// About returns a sentence on the scenario.
func (scenario *Scenario) About() string { return scenario.about }

func (scenario *Scenario) end() bvclock.Time { return scenario.warmUp.Add(scenario.duration) }

// expectedPause is what an owner expects after a call: the usual pause of the
// class, the usual time between two exchanges after an answer, and a negative
// one after a program's last call, since its caller ends it then.
func (scenario *Scenario) expectedPause(program *program, step step) bvclock.Duration {
	if program.done() {
		return -1
	}
	if step.answers {
		return bvclock.Duration(assistantShape().betweenAnswers.median)
	}
	if pause, ok := scenario.pauses[program.class]; ok {
		return pause
	}
	return expectedPause(program.class)
}

// Sizes of the scenarios.
const (
	warmUp       = bvclock.Time(40 * bvclock.Second)
	duration     = 300 * bvclock.Second
	faultAt      = bvclock.Time(120 * bvclock.Second)
	floodUntil   = bvclock.Time(240 * bvclock.Second)
	zoneDown     = 60 * bvclock.Second
	usualEngines = 12
	usualZones   = 4
)

func usualPool() poolSize {
	return poolSize{
		engines: usualEngines,
		zones:   usualZones,
		config: bvmodel.Config{
			Slots: 8, CacheTokens: 64_000, PrefillTokensPerSecond: 5000, DecodeTokensPerSecond: 50, Slowdown: 0.06,
		},
	}
}

func equalShares() []bvgate.MemberShare {
	return []bvgate.MemberShare{{Member: brindley, Weight: 1}, {Member: piran, Weight: 1}}
}

func usualReports() reports {
	return reports{every: 500, lag: 500}
}

// usual is a scenario in which both members offer the same load and nothing
// goes wrong.
func usual(name, about string, load float64) *Scenario {
	scenario := &Scenario{
		name: name, about: about, pool: usualPool(), members: equalShares(),
		warmUp: warmUp, duration: duration, reports: usualReports(), contenders: standardContenders(),
		measureFrom: warmUp, measureTo: warmUp.Add(duration),
	}
	scenario.programs = func(seed uint64) []*spec {
		return byArrival(
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
		usual("load-0.50", "both mixes at half of what the pool can do", 0.5),
		usual(nameLoad80, "both mixes at load 0.8", 0.8),
		usual("load-0.95", "both mixes at load 0.95", 0.95),
		usual(nameOverload, "both mixes at load 1.2", 1.2),
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

// unloaded has four times the engines for the programs of load 0.8: what is
// left of the latency there no policy can take away.
func unloaded() *Scenario {
	const times = 4
	scenario := usual(nameUnloaded, "the programs of load 0.8 before four times the engines", 0)
	pool := scenario.pool
	scenario.pool.engines *= times
	scenario.contenders = only(nameAffinity, nameClairvoyant, nameProduct)
	scenario.programs = func(seed uint64) []*spec {
		return byArrival(
			piranMix().arrivals(seed, 0.4, pool, 0, scenario.end()),
			brindleyMix().arrivals(seed, 0.4, pool, 0, scenario.end()),
		)
	}
	return scenario
}

// backlog has both members ask for more than the whole pool, with weights 3
// to 1.
func backlog() *Scenario {
	scenario := usual(nameBacklog, "each member asks for the whole pool; weights 3 to 1", 2)
	scenario.members = []bvgate.MemberShare{{Member: brindley, Weight: 1}, {Member: piran, Weight: 3}}
	scenario.duration = 150 * bvclock.Second
	scenario.measureTo = scenario.end()
	return scenario
}

const victimLoad = 0.35

func victim(seed uint64, scenario *Scenario) []*spec {
	return piranMix().arrivals(seed, victimLoad, usualPool(), 0, scenario.end())
}

// flood has the rival ask for three times the whole pool for two minutes.
func flood() *Scenario {
	const floodLoad = 3
	scenario := usual(nameFlood, "a rival asks for three times the pool from 120 s to 240 s", 0)
	scenario.measureFrom, scenario.measureTo = faultAt, floodUntil
	scenario.programs = func(seed uint64) []*spec {
		return byArrival(
			victim(seed, scenario),
			brindleyMix().arrivals(seed, floodLoad, scenario.pool, faultAt, floodUntil),
		)
	}
	return scenario
}

// loops has the rival run programs that never end.
func loops() *Scenario {
	scenario := usual(nameLoops, "a rival starts 150 programs at 120 s that loop without end", 0)
	scenario.measureFrom, scenario.measureTo = faultAt, floodUntil
	scenario.programs = func(seed uint64) []*spec {
		return byArrival(victim(seed, scenario), endlessLoops(150, faultAt))
	}
	return scenario
}

// aloneAtShare has the victim of flood and loops alone before half of the
// endpoints, which is its share.
func aloneAtShare() *Scenario {
	scenario := usual(nameAlone, "the victim of flood and loops alone before its share, half of the engines", 0)
	scenario.pool.engines /= 2
	scenario.measureFrom, scenario.measureTo = faultAt, floodUntil
	scenario.programs = func(seed uint64) []*spec { return victim(seed, scenario) }
	return scenario
}

const longPause = 12_000

func longPauses() *Scenario {
	scenario := usual(nameLongPauses, "tools take 12 s at the median", 0)
	scenario.programs = func(seed uint64) []*spec {
		return byArrival(
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
	scenario := usual(name, "load 0.8; reports arrive late, and some never", 0.8)
	scenario.reports = reports{every: 1 * bvclock.Second, lag: lag, lost: lost}
	// The others don't use reports: they do as at load 0.8.
	scenario.contenders = only(nameLeastLoad, nameProduct)
	return scenario
}

func crashedZone() *Scenario {
	scenario := usual(nameCrashedZone, "load 0.6; a quarter of the engines is down from 120 s to 180 s", 0.6)
	scenario.faults = []fault{crashZone(faultAt, "zone-1", zoneDown)}
	return scenario
}

func leavingEndpoint() *Scenario {
	scenario := usual(nameLeaving, "load 0.8; an engine leaves at 120 s and stops 30 s later", 0.8)
	scenario.faults = []fault{leave(faultAt, "engine-03")}
	return scenario
}

func poison() *Scenario {
	scenario := usual("poison", "load 0.6; at 120 s a request arrives that crashes each engine that runs it", 0.6)
	original := scenario.programs
	scenario.programs = func(seed uint64) []*spec {
		return byArrival(original(seed), []*spec{{
			member: brindley, class: classQuoting, key: "poison", arrival: faultAt, poisonous: true,
			steps: []step{{fresh: 1000, output: 200, answers: true}},
		}})
	}
	return scenario
}

// weekly has conversations alone whose histories together do not fit in the
// engines' memory.
func weekly() *Scenario {
	scenario := usual(nameWeekly, "load 0.7; conversations with long histories and pauses, cache too small for all", 0)
	scenario.pool.config.CacheTokens = 48_000
	scenario.programs = func(seed uint64) []*spec {
		return byArrival(
			piranMix().arrivals(seed, 0.25, scenario.pool, 0, scenario.end()),
			assistantMix().arrivals(seed, 0.45, scenario.pool, 0, scenario.end()),
		)
	}
	return scenario
}

// endpointDecision compares the ways to decide for an endpoint.
func endpointDecision() *Scenario {
	scenario := usual("decision-0.90", "load 0.9, 13 hosts, reports 1 s late: who decides for an endpoint", 0.9)
	scenario.reports = reports{every: 1 * bvclock.Second, lag: 1 * bvclock.Second}
	scenario.contenders = decisionContenders()
	return scenario
}

// endpointDecisionInFlood compares them where a rival asks for three times the
// pool.
func endpointDecisionInFlood() *Scenario {
	scenario := flood()
	scenario.name = "decision-flood"
	scenario.about = "the flood with 13 hosts, reports 1 s late: who decides for an endpoint"
	scenario.reports = reports{every: 1 * bvclock.Second, lag: 1 * bvclock.Second}
	scenario.contenders = decisionContenders()
	return scenario
}
