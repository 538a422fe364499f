package bvexperiment

import (
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgate"
)

// fault is something that goes wrong at a time.
type fault struct {
	at bvclock.Time
	do func(simulation *simulation)
}

// afterCrash is how long after a crash the work done twice is compared with
// all work.
const afterCrash = 30 * bvclock.Second

// crashZone stops all endpoints of a zone for a while.
func crashZone(at bvclock.Time, zone string, downFor bvclock.Duration) fault {
	return fault{at, func(simulation *simulation) {
		simulation.records.servedAtCrash = simulation.served()
		simulation.agenda.add(simulation.now.Add(afterCrash), func() {
			simulation.records.servedAfterCrash = simulation.served()
		})
		for _, endpoint := range simulation.endpoints {
			if endpoint.zone == zone {
				simulation.crash(endpoint, downFor)
			}
		}
	}}
}

// leave lets an endpoint announce that it goes, and go some time later.
func leave(at bvclock.Time, name string) fault {
	return fault{at, func(simulation *simulation) {
		leaving := simulation.byName[name]
		leaving.leavingAt = simulation.now
		leaving.leaving = true
		simulation.agenda.add(simulation.now.Add(listLag), func() {
			simulation.deliver(leaving, leaving.report(simulation.now))
		})
		simulation.agenda.add(simulation.now.Add(leavingLifetime), func() {
			before := simulation.records.crashLost
			leaving.gone = true
			simulation.crash(leaving, 0)
			simulation.records.cutOff += simulation.records.crashLost - before
		})
	}}
}

// crash stops an endpoint. Owners see their connections break at once; the
// list shows it later.
func (simulation *simulation) crash(crashed *endpoint, downFor bvclock.Duration) {
	if crashed.down {
		return
	}
	simulation.advance(crashed)
	crashed.down = true
	crashed.incarnation++
	simulation.loseCalls(crashed)
	simulation.agenda.add(simulation.now.Add(listLag), func() { simulation.unlist(crashed) })
	if crashed.gone {
		return
	}
	simulation.agenda.add(simulation.now.Add(downFor), func() { crashed.down = false })
	simulation.agenda.add(simulation.now.Add(downFor+listLag), func() { simulation.list(crashed) })
}

func (simulation *simulation) loseCalls(crashed *endpoint) {
	for _, call := range simulation.inFlight(crashed) {
		simulation.records.lose(crashed.model.CallService(call.model.ID))
	}
	lost := crashed.model.Crash(simulation.now)
	crashed.changed()
	for _, id := range lost {
		simulation.repeat(simulation.calls[bvgate.RequestID(id)])
	}
}

// repeat asks again for a call that a crash cut off.
func (simulation *simulation) repeat(call *call) {
	call.repeats++
	simulation.finishFailed(call, bvgate.Crashed)
	if call.repeats > maxRepeats {
		simulation.fail(call)
		return
	}
	simulation.askAgain(call)
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

func (simulation *simulation) unlist(crashed *endpoint) {
	if !crashed.down {
		return
	}
	crashed.listed = false
	simulation.tell(func() { simulation.policy.RemoveEndpoint(simulation.now, crashed.name) })
}

func (simulation *simulation) list(restarted *endpoint) {
	restarted.listed = true
	report := restarted.report(simulation.now)
	simulation.tell(func() { simulation.policy.UpdateEndpoint(simulation.now, report) })
}

// planReports lets an endpoint report its load again and again; each report
// arrives late, and some not at all.
func (simulation *simulation) planReports(from *endpoint) {
	reports := simulation.scenario.reports
	simulation.agenda.add(simulation.now.Add(reports.every), func() {
		if simulation.now.After(simulation.end.Add(drain)) {
			return
		}
		simulation.planReports(from)
		if from.down || simulation.random.Float64() < reports.lost {
			return
		}
		report := from.report(simulation.now)
		simulation.agenda.add(simulation.now.Add(reports.lag), func() { simulation.deliver(from, report) })
	})
}

func (simulation *simulation) deliver(from *endpoint, report bvgate.EndpointReport) {
	if !from.listed || report.Incarnation != from.report(simulation.now).Incarnation {
		return
	}
	report.Leaving = from.leaving && !simulation.now.Before(from.leavingAt.Add(listLag))
	simulation.touched = true
	simulation.policy.UpdateEndpoint(simulation.now, report)
}
