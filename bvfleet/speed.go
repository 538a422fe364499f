package bvfleet

import (
	"math"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvdispatch"
	"balsamvalve.example/bvroute"
)

const (
	// usualPercent is the pace that an engine reports whose work takes as long as usual.
	usualPercent = 100
	// eventTokens is the number of tokens that an event of a response brings.
	eventTokens = 22
)

// isSlow reports whether an engine is one of the slow ones, which are spread over the zones.
func (load *Load) isSlow(engine int) bool {
	return math.Floor(float64(engine+1)*load.SlowShare) > math.Floor(float64(engine)*load.SlowShare)
}

// factor returns the factor by which an engine's work takes longer at a time.
func (load *Load) factor(now bvclock.Time, engine int) float64 {
	if load.SlowShare == 0 || !load.isSlow(engine) {
		return 1
	}
	if load.SlowPeriod > 0 && (int64(now)/int64(load.SlowPeriod)+int64(engine))%2 == 0 {
		return 1
	}
	return load.SlowFactor
}

// reportsPace reports whether engines report their pace.
func (load *Load) reportsPace() bool { return load.ReportsPace || load.SlowShare > 0 }

// slowdown returns the factor by which an engine's work takes longer at a time by Slow.
func (load *Load) slowdown(now bvclock.Time, engine int) float64 {
	since := bvclock.Duration(now) - load.Slow.Start
	if since < 0 || since >= load.Slow.Duration || float64(engine) >= load.Slow.Share*float64(load.Engines) {
		return 1
	}
	return load.Slow.Factor
}

// reportLoad reports an engine's load and pace to the host of a call that begins to generate.
func (simulation *simulation) reportLoad(call *call) {
	if !simulation.load.reportsPace() {
		return
	}
	call.firstAt, call.pace = simulation.now, usualPercent
	if !simulation.load.FalsePace {
		call.pace = int(usualPercent * call.engine.factor)
	}
	simulation.hosts[call.host].pool.SetLoad(simulation.now, call.engine.id, bvroute.Load{
		Running: len(call.engine.running), Waiting: len(call.engine.waiting), Slots: call.engine.spec.Slots, Pace: call.pace,
	})
}

// addPace adds the time that each event of a response took, and the reported pace.
func (simulation *simulation) addPace(call *call, result *bvdispatch.Result) {
	if !simulation.load.reportsPace() || !call.generating {
		return
	}
	result.ReportedPace = call.pace
	result.Pace = bvclock.Duration(float64(simulation.now.Sub(call.firstAt)) * eventTokens / max(call.output, eventTokens))
}

// sendOutcomes sends the outcomes of a host's calls to the other hosts of its zone.
func (simulation *simulation) sendOutcomes(sender *host) {
	if !simulation.load.reportsPace() {
		return
	}
	reports := sender.pool.TakeOutcomeReports(simulation.now)
	for _, engine := range simulation.engines { // a map has no fixed order
		report, found := reports[engine.hash]
		for _, host := range simulation.hosts {
			if found && host != sender && host.zone == sender.zone {
				host.pool.AddPeerReport(simulation.now, engine.hash, report)
			}
		}
	}
}
