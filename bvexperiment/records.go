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
	latency  bvclock.Duration
	finished bool // otherwise latency is a lower bound
}

// submission is one request submitted to the policy.
type submission struct {
	member        string
	startsProgram bool // it is the first call of a program
	call          bvgate.RequestID
	submittedAt   bvclock.Time
	refused       bool
	gaveUp        bool // the caller abandoned the call after the refusal
	refusedAt     bvclock.Time
	retryAfter    bvclock.Duration // as stated in the refusal
}

// records holds the raw data of a run.
type records struct {
	programsStarted int
	failed          int
	grants          int
	crashLost       int // calls in flight at a crash
	cutOff          int // calls in flight when a leaving endpoint stopped
	sentToLeaving   int
	poisonCrashes   int
	samples         []sample
	submissions     []submission
	workByWindow    [][]float64 // cumulative work by member at each window's end
	lostWork        float64     // work of calls that a crash interrupted
	workAtCrash     float64
	workAfterCrash  float64
	waste           bvmodel.Waste
	prefilled       float64
	repeatedPrefill float64
}

func (records *records) addSubmission(call *call, now bvclock.Time) {
	call.recordIndex = len(records.submissions)
	records.submissions = append(records.submissions, submission{member: call.member, startsProgram: call.stepIndex == 0, call: call.id, submittedAt: now})
}

func (records *records) recordRefusal(call *call, now bvclock.Time, wait bvclock.Duration) {
	record := &records.submissions[call.recordIndex]
	record.refused = true
	record.refusedAt = now
	record.retryAfter = wait
}

func (records *records) recordGiveUp(call *call) { records.submissions[call.recordIndex].gaveUp = true }

func (records *records) recordFailure(*program) { records.failed++ }

func (records *records) recordLostCall(spent bvmodel.Service) {
	records.crashLost++
	records.lostWork += float64(workOf(spent))
}

func (records *records) recordAnswer(program *program, now bvclock.Time) {
	records.samples = append(records.samples, sample{
		member: program.member, class: program.class, started: program.exchangeStart,
		latency: now.Sub(program.exchangeStart), finished: true,
	})
}

// totalWork returns the work done by all endpoints for all members.
func (simulation *simulation) totalWork() float64 {
	total := 0.0
	for _, share := range simulation.scenario.members {
		total += simulation.memberWork(share.Member)
	}
	return total
}

func (simulation *simulation) memberWork(member string) float64 {
	total := 0.0
	for _, endpoint := range simulation.endpoints {
		total += float64(workOf(endpoint.model.MemberService(member)))
	}
	return total
}

func (simulation *simulation) recordShares() {
	for _, endpoint := range simulation.endpoints {
		simulation.advanceEndpoint(endpoint)
	}
	window := make([]float64, len(simulation.scenario.members))
	for at, share := range simulation.scenario.members {
		window[at] = simulation.memberWork(share.Member)
	}
	simulation.records.workByWindow = append(simulation.records.workByWindow, window)
}

func (simulation *simulation) recordWaste() {
	for _, endpoint := range simulation.endpoints {
		simulation.records.waste = simulation.records.waste.Add(endpoint.model.Waste(simulation.now))
		all, repeated := endpoint.model.PrefilledTokens()
		simulation.records.prefilled += all
		simulation.records.repeatedPrefill += repeated
	}
}

// recordUnfinished adds a lower bound of the latency for each answer that a person
// still waits for.
func (simulation *simulation) recordUnfinished() {
	var waiting []*program
	for _, program := range simulation.programs {
		if program.parent == nil && !program.failed && program.isAwaited() {
			waiting = append(waiting, program)
		}
	}
	slices.SortFunc(waiting, func(a, b *program) int { return int(a.startOrder - b.startOrder) })
	for _, program := range waiting {
		simulation.records.samples = append(simulation.records.samples, sample{
			member: program.member, class: program.class, started: program.exchangeStart,
			latency: simulation.now.Sub(program.exchangeStart),
		})
	}
}

// workOf weights service in the same way as the product's accounting.
func workOf(served bvmodel.Service) bvgate.Work {
	return bvgate.Cost{}.Work(int(served.Prefilled), int(served.Decoded))
}
