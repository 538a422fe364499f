package bvgate

import (
	"math/bits"
	"slices"

	"balsamvalve.example/bvclock"
)

const (
	// candidates is how many of the endpoints with the least pressure are
	// weighed for a request, besides those that cache its program.
	candidates = 3
	// parkTimeout is how many times its expected wait a request stays parked
	// before it takes any endpoint.
	parkTimeout = 6
	minPark     = 50 * bvclock.Millisecond
	// parkedLimit bounds the parked requests of an endpoint, in its slots; of
	// each member there are as many as slots at most.
	parkedLimit = 4
	// prefillHarm weighs the prefill of a call as harm to the others at its
	// endpoint, which wait for it and whose prefixes it evicts. Without it the
	// choice that ends this one call first is bad for all together.
	prefillHarm = 5
)

// choice is an endpoint for a request, with what is expected there.
type choice struct {
	endpoint *endpoint
	cached   int     // tokens of the prompt
	wait     float64 // until a slot is free, in milliseconds
	service  float64 // from the start to the end
	harm     float64 // to the other calls there, as time
	alone    bool    // with no other call beside it
}

// cost is what choices are compared by.
func (choice choice) cost() float64 { return choice.wait + choice.service + choice.harm }

// choose returns the endpoint with the earliest expected finish, the harm to
// others counted in: one with a
// free slot, or one that caches the program and whose next slot is worth
// waiting for. At least one endpoint must have a free slot.
func (pool *Pool) choose(now bvclock.Time, queued *request) choice {
	var best choice
	for _, site := range queued.program.sites {
		warm, ok := pool.weighSite(now, queued, site)
		if ok && (best.endpoint == nil || warm.cost() < best.cost()) {
			best = warm
		}
	}
	for _, at := range pool.free[:min(candidates, len(pool.free))] {
		cold := pool.weigh(now, queued, at)
		if best.endpoint == nil || cold.cost() < best.cost() {
			best = cold
		}
	}
	return best
}

func (pool *Pool) weigh(now bvclock.Time, queued *request, at *endpoint) choice {
	cached := 0
	if site := queued.program.site(at); site != nil {
		cached = min(site.tokens, queued.PromptTokens)
	}
	own := pool.cost.prefillTime(queued.PromptTokens - cached)
	prefill := max(at.prefillUntil-float64(now), 0) + own
	decode := pool.cost.decodeTime(queued.OutputTokens, at.running()+1)
	weighed := choice{
		endpoint: at,
		cached:   cached,
		service:  (prefill + decode) * at.slowness(),
		harm:     prefillHarm * own,
	}
	if at.crowded(queued.PromptTokens + queued.OutputTokens) {
		// The endpoint would queue the call itself until memory is free.
		weighed.service += pool.slotTime(at)
	}
	return weighed
}

// crowded reports whether running calls leave too little memory for another.
func (endpoint *endpoint) crowded(memory int) bool {
	limit := endpoint.report.CacheTokens
	return limit > 0 && endpoint.running() > 0 && endpoint.cache.pinned+memory > limit
}

func (pool *Pool) weighSite(now bvclock.Time, queued *request, warm *site) (choice, bool) {
	at := warm.endpoint
	if warm.tokens == 0 || !at.open() || at.reserved() {
		return choice{}, false
	}
	weighed := pool.weigh(now, queued, at)
	if at.free() > 0 {
		return weighed, true
	}
	ahead, own := at.line(queued)
	weighed.wait = pool.slotTime(at) * float64(ahead+1)
	fits := own < at.report.Slots && len(at.parked) < parkedLimit*at.report.Slots
	return weighed, fits && !queued.restless
}

// line counts the parked requests that go before another one, and those of its
// member.
func (endpoint *endpoint) line(queued *request) (ahead, own int) {
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

// slotTime is the expected time until a slot of a full endpoint is free.
func (pool *Pool) slotTime(at *endpoint) float64 {
	return pool.duration.or(float64(bvclock.Second)) * at.slowness() / float64(max(at.report.Slots, 1))
}

// park lets a request wait for a slot of the endpoint that caches its program.
func (pool *Pool) park(now bvclock.Time, parked *request, at choice) {
	parked.line().remove(parked)
	parked.member.parkedWork += parked.estimate
	parked.parkedAt = at.endpoint
	pause := max(bvclock.Duration(at.wait*parkTimeout), minPark)
	parked.parkedUntil = now.Add(pause)
	at.endpoint.parked = append(at.endpoint.parked, parked)
	pool.watch(parked)
	pool.place(parked.member)
}

func (endpoint *endpoint) unpark(unparked *request) {
	at := slices.Index(endpoint.parked, unparked)
	endpoint.parked = slices.Delete(endpoint.parked, at, at+1)
	unparked.member.parkedWork -= unparked.estimate
	unparked.parkedAt = nil
	unparked.parkedUntil = 0
}

// unpark puts a parked request back into its member's queue.
func (pool *Pool) unpark(unparked *request) {
	unparked.parkedAt.unpark(unparked)
	unparked.restless = true
	unparked.line().add(unparked)
	pool.place(unparked.member)
}

func (pool *Pool) unparkAll(at *endpoint) {
	for len(at.parked) > 0 {
		unparked := at.parked[0]
		pool.unpark(unparked)
		pool.watch(unparked)
	}
}

// serveWoken grants free slots to the requests parked for them. It reports
// whether more may be done, as serveQueue.
func (pool *Pool) serveWoken(now bvclock.Time) bool {
	woken := pool.woken
	pool.woken = nil
	served := false
	for _, at := range woken {
		at.waking = false
		for at.free() > 0 {
			parked := pool.firstParked(at)
			if parked == nil {
				break
			}
			if pool.suspicion(&parked.Request) != nil {
				pool.setAside(parked)
				served = true
				continue
			}
			pool.grant(now, parked, pool.weigh(now, parked, at))
			served = true
		}
		if at.free() > 0 && len(at.parked) > 0 {
			pool.wake(at)
		}
	}
	return served
}

// firstParked returns the parked request that goes first, unless another
// member's turn is due by more than its claim.
func (pool *Pool) firstParked(at *endpoint) *request {
	var first *request
	for _, parked := range at.parked {
		if parked.member.atConcurrency() || parked.member.atRate() {
			continue
		}
		if first == nil || parked.precedes(first) {
			first = parked
		}
	}
	if first == nil || len(pool.backlog) == 0 {
		return first
	}
	if first.member.virtual > pool.backlog[0].virtual+pool.claim() {
		return nil
	}
	return first
}

func (queued *request) precedes(other *request) bool {
	if queued.member != other.member {
		return queued.member.virtual < other.member.virtual
	}
	return queued.before(other)
}

// priority is what the endpoint is told: shorter prefills go first, in classes
// of doubling length.
func priority(uncachedTokens int) int {
	return highestPriority - bits.Len(uint(max(uncachedTokens, 0)))
}

const highestPriority = 32
