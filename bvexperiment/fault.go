package bvexperiment

import (
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgate"
)

// fault is a failure that is injected at a given time.
type fault struct {
	at     bvclock.Time
	inject func(simulation *simulation)
}

// repeatedWorkWindow is the time after a crash in which the repeated work is compared
// with all work.
const repeatedWorkWindow = 30 * bvclock.Second

// crashZone returns a fault that stops all endpoints of a zone for a given time.
func crashZone(at bvclock.Time, zone string, downFor bvclock.Duration) fault {
	return fault{at, func(simulation *simulation) {
		simulation.records.workAtCrash = simulation.totalWork()
		simulation.events.schedule(simulation.now.Add(repeatedWorkWindow), func() {
			simulation.records.workAfterCrash = simulation.totalWork()
		})
		for _, endpoint := range simulation.endpoints {
			if endpoint.zone == zone {
				simulation.crashEndpoint(endpoint, downFor)
			}
		}
	}}
}

// leaveEndpoint returns a fault in which an endpoint announces that it is leaving, and
// stops leavingLifetime later.
func leaveEndpoint(at bvclock.Time, name string) fault {
	return fault{at, func(simulation *simulation) {
		leaving := simulation.byName[name]
		leaving.leavingAt = simulation.now
		leaving.leaving = true
		simulation.events.schedule(simulation.now.Add(listLag), func() {
			simulation.deliverReport(leaving, leaving.report(simulation.now))
		})
		simulation.events.schedule(simulation.now.Add(leavingLifetime), func() {
			before := simulation.records.crashLost
			leaving.stopped = true
			simulation.crashEndpoint(leaving, 0)
			simulation.records.cutOff += simulation.records.crashLost - before
		})
	}}
}

// crashEndpoint stops an endpoint. Owners see their connections break immediately; the
// list shows the change after listLag.
func (simulation *simulation) crashEndpoint(crashed *endpoint, downFor bvclock.Duration) {
	if crashed.down {
		return
	}
	simulation.advanceEndpoint(crashed)
	crashed.down = true
	crashed.incarnation++
	simulation.loseCalls(crashed)
	simulation.events.schedule(simulation.now.Add(listLag), func() { simulation.removeFromList(crashed) })
	if crashed.stopped {
		return
	}
	simulation.events.schedule(simulation.now.Add(downFor), func() { crashed.down = false })
	simulation.events.schedule(simulation.now.Add(downFor+listLag), func() { simulation.addToList(crashed) })
}

func (simulation *simulation) loseCalls(crashed *endpoint) {
	for _, call := range simulation.inFlight(crashed) {
		simulation.records.recordLostCall(crashed.model.CallService(call.model.ID))
	}
	lost := crashed.model.Crash(simulation.now)
	crashed.updateNextEvent()
	for _, id := range lost {
		simulation.repeatCall(simulation.calls[bvgate.RequestID(id)])
	}
}

// repeatCall submits a call again that a crash interrupted.
func (simulation *simulation) repeatCall(call *call) {
	call.repeats++
	simulation.reportFailure(call, bvgate.Crashed)
	if call.repeats > maxRepeats {
		simulation.failProgram(call)
		return
	}
	simulation.submit(call)
}

// inFlight returns the calls at an endpoint, oldest first.
func (simulation *simulation) inFlight(at *endpoint) []*call {
	var found []*call
	for id := bvgate.RequestID(1); id <= simulation.lastID; id++ {
		if call := simulation.calls[id]; call != nil && call.endpoint == at {
			found = append(found, call)
		}
	}
	return found
}

func (simulation *simulation) removeFromList(crashed *endpoint) {
	if !crashed.down {
		return
	}
	crashed.listed = false
	simulation.notifyPolicy(func() { simulation.policy.RemoveEndpoint(simulation.now, crashed.name) })
}

func (simulation *simulation) addToList(restarted *endpoint) {
	restarted.listed = true
	report := restarted.report(simulation.now)
	simulation.notifyPolicy(func() { simulation.policy.UpdateEndpoint(simulation.now, report) })
}

// scheduleReports makes an endpoint report its load periodically; each report arrives
// late, and some are lost.
func (simulation *simulation) scheduleReports(from *endpoint) {
	reports := simulation.scenario.reporting
	simulation.events.schedule(simulation.now.Add(reports.interval), func() {
		if simulation.now.After(simulation.end.Add(drainTime)) {
			return
		}
		simulation.scheduleReports(from)
		if from.down || simulation.random.Float64() < reports.lossRate {
			return
		}
		report := from.report(simulation.now)
		simulation.events.schedule(simulation.now.Add(reports.lag), func() { simulation.deliverReport(from, report) })
	})
}

func (simulation *simulation) deliverReport(from *endpoint, report bvgate.EndpointReport) {
	if !from.listed || report.Incarnation != from.report(simulation.now).Incarnation {
		return
	}
	report.Leaving = from.leaving && !simulation.now.Before(from.leavingAt.Add(listLag))
	simulation.policyNotified = true
	simulation.policy.UpdateEndpoint(simulation.now, report)
}
