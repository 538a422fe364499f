package bvgate

import (
	"math/bits"
	"slices"

	"balsamvalve.example/bvclock"
)

const (
	// maxCandidates is how many of the endpoints with the least pressure are considered
	// for a request, besides those that cache its program.
	maxCandidates = 3
	// parkTimeoutFactor limits how long a request stays parked before it takes any
	// endpoint, as a multiple of its expected wait.
	parkTimeoutFactor = 6
	minParkTime       = 50 * bvclock.Millisecond
	// maxParkedPerSlot limits the parked requests of an endpoint per slot; each member
	// may park at most as many as the endpoint has slots.
	maxParkedPerSlot = 4
	// prefillPenalty weighs the prefill time of a call as a cost to other calls on the
	// endpoint, which wait for it and whose prefixes it evicts. Without it, each choice
	// minimizes the latency of one call at the expense of all others.
	prefillPenalty = 5
)

// choice is a candidate endpoint for a request, with the expected times there.
type choice struct {
	endpoint     *endpoint
	cachedTokens int     // of the prompt
	wait         float64 // until a slot is free, in milliseconds
	service      float64 // from start to end, in milliseconds
	penalty      float64 // cost to other calls there, in milliseconds
	isolated     bool    // no other call runs beside it
}

// cost is the value by which choices are compared.
func (choice choice) cost() float64 { return choice.wait + choice.service + choice.penalty }

// choose returns the endpoint with the lowest cost: one with a free slot, or one that
// caches the program and whose next slot is worth waiting for. At least one endpoint
// must have a free slot.
func (pool *Pool) choose(now bvclock.Time, queued *request) choice {
	var best choice
	for _, prefix := range queued.program.prefixes {
		warm, ok := pool.weighCached(now, queued, prefix)
		if ok && (best.endpoint == nil || warm.cost() < best.cost()) {
			best = warm
		}
	}
	for _, target := range pool.freeEndpoints[:min(maxCandidates, len(pool.freeEndpoints))] {
		cold := pool.weigh(now, queued, target)
		if best.endpoint == nil || cold.cost() < best.cost() {
			best = cold
		}
	}
	return best
}

func (pool *Pool) weigh(now bvclock.Time, queued *request, target *endpoint) choice {
	cached := 0
	if prefix := queued.program.prefixAt(target); prefix != nil {
		cached = min(prefix.tokens, queued.PromptTokens)
	}
	own := pool.cost.prefillTime(queued.PromptTokens - cached)
	prefill := max(target.prefillUntil-float64(now), 0) + own
	decode := pool.cost.decodeTime(queued.OutputTokens, target.running()+1)
	weighed := choice{
		endpoint:     target,
		cachedTokens: cached,
		service:      (prefill + decode) * target.slowdown(),
		penalty:      prefillPenalty * own,
	}
	if target.isMemoryFull(queued.PromptTokens + queued.OutputTokens) {
		// The endpoint itself would queue the call until memory is free.
		weighed.service += pool.slotTime(target)
	}
	return weighed
}

// isMemoryFull reports whether running calls leave too little memory for another call.
func (endpoint *endpoint) isMemoryFull(memory int) bool {
	limit := endpoint.report.CacheTokens
	return limit > 0 && endpoint.running() > 0 && endpoint.cache.pinned+memory > limit
}

func (pool *Pool) weighCached(now bvclock.Time, queued *request, warm *cachedPrefix) (choice, bool) {
	at := warm.endpoint
	if warm.tokens == 0 || !at.isOpen() || at.isReserved() {
		return choice{}, false
	}
	weighed := pool.weigh(now, queued, at)
	if at.freeSlots() > 0 {
		return weighed, true
	}
	ahead, own := at.countParked(queued)
	weighed.wait = pool.slotTime(at) * float64(ahead+1)
	fits := own < at.report.Slots && len(at.parked) < maxParkedPerSlot*at.report.Slots
	return weighed, fits && !queued.wasParked
}

// countParked counts the parked requests that precede the given one, and those of its
// member.
func (endpoint *endpoint) countParked(queued *request) (ahead, own int) {
	for _, parked := range endpoint.parked {
		if parked.precedes(queued) {
			ahead++
		}
		if parked.member == queued.member {
			own++
		}
	}
	return ahead, own
}

// slotTime is the expected time in milliseconds until a slot of a full endpoint is
// free.
func (pool *Pool) slotTime(target *endpoint) float64 {
	return pool.averageDuration.valueOr(float64(bvclock.Second)) * target.slowdown() / float64(max(target.report.Slots, 1))
}

// park lets a request wait for a slot of the endpoint that caches its program.
func (pool *Pool) park(now bvclock.Time, parked *request, chosen choice) {
	parked.memberQueue().remove(parked)
	parked.member.parkedWork += parked.estimate
	parked.parkedAt = chosen.endpoint
	pause := max(bvclock.Duration(chosen.wait*parkTimeoutFactor), minParkTime)
	parked.parkedUntil = now.Add(pause)
	chosen.endpoint.parked = append(chosen.endpoint.parked, parked)
	pool.updateTimer(parked)
	pool.updateBacklog(parked.member)
}

func (endpoint *endpoint) unpark(unparked *request) {
	at := slices.Index(endpoint.parked, unparked)
	endpoint.parked = slices.Delete(endpoint.parked, at, at+1)
	unparked.member.parkedWork -= unparked.estimate
	unparked.parkedAt = nil
	unparked.parkedUntil = 0
}

// unpark returns a parked request to its member's queue.
func (pool *Pool) unpark(unparked *request) {
	unparked.parkedAt.unpark(unparked)
	unparked.wasParked = true
	unparked.memberQueue().add(unparked)
	pool.updateBacklog(unparked.member)
}

func (pool *Pool) unparkAll(target *endpoint) {
	for len(target.parked) > 0 {
		unparked := target.parked[0]
		pool.unpark(unparked)
		pool.updateTimer(unparked)
	}
}

// serveParked grants free slots to the requests parked for them. Like serveQueue, it
// reports whether another pass may grant more.
func (pool *Pool) serveParked(now bvclock.Time) bool {
	woken := pool.woken
	pool.woken = nil
	served := false
	for _, target := range woken {
		target.woken = false
		for target.freeSlots() > 0 {
			parked := pool.nextParked(target)
			if parked == nil {
				break
			}
			if pool.suspicionOf(&parked.Request) != nil {
				pool.queueSuspect(parked)
				served = true
				continue
			}
			pool.grant(now, parked, pool.weigh(now, parked, target))
			served = true
		}
		if target.freeSlots() > 0 && len(target.parked) > 0 {
			pool.wake(target)
		}
	}
	return served
}

// nextParked returns the parked request that is next, or nil if another member's lag in
// virtual time exceeds the tolerance.
func (pool *Pool) nextParked(target *endpoint) *request {
	var first *request
	for _, parked := range target.parked {
		if parked.member.atConcurrencyLimit() || parked.member.atRateLimit() {
			continue
		}
		if first == nil || parked.precedes(first) {
			first = parked
		}
	}
	if first == nil || len(pool.backlog) == 0 {
		return first
	}
	if first.member.virtualTime > pool.backlog[0].virtualTime+pool.virtualTolerance() {
		return nil
	}
	return first
}

func (queued *request) precedes(other *request) bool {
	if queued.member != other.member {
		return queued.member.virtualTime < other.member.virtualTime
	}
	return queued.before(other)
}

// enginePriority is the priority passed to the endpoint: calls with shorter prefills
// run first, in classes of doubling length.
func enginePriority(uncachedTokens int) int {
	return maxEnginePriority - bits.Len(uint(max(uncachedTokens, 0)))
}

const maxEnginePriority = 32
