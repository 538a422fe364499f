package bvexperiment

import (
	"slices"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgate"
	"balsamvalve.example/bvmodel"
)

// sample is one answer that a person waited for.
type sample struct {
	member   string
	class    string
	started  bvclock.Time
	took     bvclock.Duration
	finished bool // otherwise took is a lower bound
}

// asked is one request to the policy.
type asked struct {
	member    string
	starts    bool // a program, and is not a later call of one
	call      bvgate.RequestID
	at        bvclock.Time
	refused   bool
	last      bool // the caller gave up then
	refusedAt bvclock.Time
	wait      bvclock.Duration // as told
}

// records is what a run leaves behind.
type records struct {
	begun            int
	failed           int
	grants           int
	crashLost        int // calls in flight at a crash
	cutOff           int // calls in flight at an endpoint that left
	sentToLeaving    int
	poisoned         int // crashes
	samples          []sample
	asks             []asked
	windows          [][]float64 // cumulated work by member
	lost             float64     // work of calls that a crash cut off
	servedAtCrash    float64
	servedAfterCrash float64
	waste            bvmodel.Waste
	prefilled        float64
	repeatedPrefill  float64
}

func (records *records) ask(call *call, now bvclock.Time) {
	call.record = len(records.asks)
	records.asks = append(records.asks, asked{member: call.member, starts: call.at == 0, call: call.id, at: now})
}

func (records *records) refuse(call *call, now bvclock.Time, wait bvclock.Duration) {
	record := &records.asks[call.record]
	record.refused = true
	record.refusedAt = now
	record.wait = wait
}

func (records *records) giveUp(call *call) { records.asks[call.record].last = true }

func (records *records) fail(*program) { records.failed++ }

func (records *records) lose(spent bvmodel.Service) {
	records.crashLost++
	records.lost += float64(workOf(spent))
}

func (records *records) answer(program *program, now bvclock.Time) {
	records.samples = append(records.samples, sample{
		member: program.member, class: program.class, started: program.asked,
		took: now.Sub(program.asked), finished: true,
	})
}

// served is all work done by all endpoints.
func (simulation *simulation) served() float64 {
	total := 0.0
	for _, share := range simulation.scenario.members {
		total += simulation.servedTo(share.Member)
	}
	return total
}

func (simulation *simulation) servedTo(member string) float64 {
	total := 0.0
	for _, endpoint := range simulation.endpoints {
		total += float64(workOf(endpoint.model.MemberService(member)))
	}
	return total
}

func (simulation *simulation) recordShares() {
	for _, endpoint := range simulation.endpoints {
		simulation.advance(endpoint)
	}
	window := make([]float64, len(simulation.scenario.members))
	for at, share := range simulation.scenario.members {
		window[at] = simulation.servedTo(share.Member)
	}
	simulation.records.windows = append(simulation.records.windows, window)
}

func (simulation *simulation) recordWaste() {
	for _, endpoint := range simulation.endpoints {
		simulation.records.waste = simulation.records.waste.Add(endpoint.model.Waste(simulation.now))
		all, repeated := endpoint.model.PrefilledTokens()
		simulation.records.prefilled += all
		simulation.records.repeatedPrefill += repeated
	}
}

// recordUnfinished adds a lower bound for each person who still waits.
func (simulation *simulation) recordUnfinished() {
	var waiting []*program
	for _, program := range simulation.programs {
		if program.parent == nil && !program.failed && program.waited() {
			waiting = append(waiting, program)
		}
	}
	slices.SortFunc(waiting, func(a, b *program) int { return int(a.order - b.order) })
	for _, program := range waiting {
		simulation.records.samples = append(simulation.records.samples, sample{
			member: program.member, class: program.class, started: program.asked,
			took: simulation.now.Sub(program.asked),
		})
	}
}

// workOf weighs service as the product's own accounting does.
func workOf(served bvmodel.Service) bvgate.Work {
	return bvgate.Cost{}.Work(int(served.Prefilled), int(served.Decoded))
}
