package bvgate

import (
	"slices"

	"balsamvalve.example/bvclock"
)

const (
	// isolationDivisor limits the endpoints drained for suspects at a time to one in
	// 16, but at least one.
	isolationDivisor = 16
	// maxSuspectsPerPass limits the work of one pass when many suspects wait.
	maxSuspectsPerPass = 8
)

// countInFlight counts the calls in flight with the same content.
func (pool *Pool) countInFlight(request *Request, change int) {
	if request.Fingerprint == 0 {
		return
	}
	if pool.inFlight == nil {
		pool.inFlight = make(map[suspectKey]int)
	}
	key := suspectKeyOf(request)
	pool.inFlight[key] += change
	if pool.inFlight[key] == 0 {
		delete(pool.inFlight, key)
	}
}

// queueSuspect moves a suspect from its member's queue to the suspects that wait for an
// empty endpoint, and refuses a poisonous request.
func (pool *Pool) queueSuspect(suspect *request) {
	if pool.isPoisonous(&suspect.Request) {
		pool.dequeue(suspect)
		pool.refuse(suspect.ID, errPoisonous())
		return
	}
	if suspect.parkedAt != nil {
		suspect.parkedAt.unpark(suspect)
	}
	if suspect.bucket != nil {
		suspect.memberQueue().remove(suspect)
	}
	pool.updateTimer(suspect)
	pool.updateBacklog(suspect.member)
	suspect.queuedAsSuspect = true
	pool.waitingSuspects = append(pool.waitingSuspects, suspect)
}

// serveSuspects assigns endpoints to suspects, and reports whether anything changed.
func (pool *Pool) serveSuspects(now bvclock.Time) bool {
	served := false
	for range min(maxSuspectsPerPass, len(pool.waitingSuspects)) {
		suspect := pool.waitingSuspects[0]
		pool.waitingSuspects = pool.waitingSuspects[1:]
		suspect.queuedAsSuspect = false
		if !pool.serveSuspect(suspect) {
			suspect.queuedAsSuspect = true
			pool.waitingSuspects = append(pool.waitingSuspects, suspect)
			continue
		}
		served = true
	}
	for _, target := range slices.Clone(pool.isolating) {
		if target.running() == 0 && target.externalCalls == 0 {
			pool.grantIsolated(now, target)
			served = true
		}
	}
	return served
}

// serveSuspect refuses a suspect, returns it to its member's queue or isolates an
// endpoint for it. It returns false if the suspect must wait.
func (pool *Pool) serveSuspect(suspect *request) bool {
	held := pool.suspicionOf(&suspect.Request)
	if held == nil {
		suspect.memberQueue().add(suspect)
		pool.updateBacklog(suspect.member)
		return true
	}
	if held.crashes >= poisonousCrashes {
		pool.dequeue(suspect)
		pool.refuse(suspect.ID, errPoisonous())
		return true
	}
	if !pool.canIsolate(suspect) {
		return false
	}
	pool.isolate(pool.freeEndpoints[0], suspect)
	return true
}

func (pool *Pool) isolate(target *endpoint, suspect *request) {
	suspect.isolating = target
	target.isolatedFor = suspect
	pool.isolating = append(pool.isolating, target)
	pool.countInFlight(&suspect.Request, 1)
	pool.refreshEndpoint(target)
	pool.unparkAll(target)
}

func (pool *Pool) canIsolate(suspect *request) bool {
	if len(pool.freeEndpoints) == 0 || len(pool.isolating) >= max(1, len(pool.endpointNames)/isolationDivisor) {
		return false
	}
	if pool.inFlight[suspectKeyOf(&suspect.Request)] > 0 {
		return false
	}
	from := suspect.member
	if from.atConcurrencyLimit() || from.atRateLimit() {
		return false
	}
	return len(pool.backlog) == 0 || from.virtualTime <= pool.backlog[0].virtualTime+pool.virtualTolerance()
}

// grantIsolated grants an empty endpoint to the suspect for which it was drained.
func (pool *Pool) grantIsolated(now bvclock.Time, target *endpoint) {
	suspect := target.isolatedFor
	if pool.isPoisonous(&suspect.Request) {
		// Another host reported the second crash, or an adopted call with the same
		// content crashed too.
		pool.dequeue(suspect)
		pool.refuse(suspect.ID, errPoisonous())
		return
	}
	if pool.inFlight[suspectKeyOf(&suspect.Request)] > 1 {
		// A call with the same content was adopted while the endpoint drained.
		pool.requeueSuspect(target)
		pool.refreshEndpoint(target)
		return
	}
	chosen := pool.weigh(now, suspect, target)
	chosen.isolated = true
	pool.grant(now, suspect, chosen)
}

// unisolate reopens an endpoint that was being drained for a suspect.
func (pool *Pool) unisolate(suspect *request) {
	target := suspect.isolating
	suspect.isolating = nil
	target.isolatedFor = nil
	pool.isolating = slices.DeleteFunc(pool.isolating, func(other *endpoint) bool { return other == target })
	pool.countInFlight(&suspect.Request, -1)
	pool.refreshEndpoint(target)
}

// requeueSuspect returns the suspect of a closed endpoint to the suspects that wait for
// an endpoint.
func (pool *Pool) requeueSuspect(closed *endpoint) {
	suspect := closed.isolatedFor
	if suspect == nil {
		return
	}
	closed.isolatedFor = nil
	suspect.isolating = nil
	pool.isolating = slices.DeleteFunc(pool.isolating, func(other *endpoint) bool { return other == closed })
	pool.countInFlight(&suspect.Request, -1)
	suspect.queuedAsSuspect = true
	pool.waitingSuspects = append(pool.waitingSuspects, suspect)
}
