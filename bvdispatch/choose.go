package bvdispatch

import (
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvmechanism"
	"balsamvalve.example/bvplatform"
)

const (
	// crowding is the cost of a call with all slots taken, as a share of its duration
	// on an idle engine: it takes longer itself, and so do those beside it.
	crowding = 0.6
	// defaultDuration stands for a call's duration before any was measured,
	// in milliseconds.
	defaultDuration = 200
	// zoneCost is the cost of an endpoint in another availability zone, in
	// milliseconds: operators pay for bytes between zones.
	zoneCost = 24
	// objectWeight is the most that an endpoint's place in the order of a call's
	// object counts, in milliseconds. An endpoint that had the object lately is
	// faster.
	objectWeight = 20
	// noise breaks ties between endpoints, in milliseconds. Without it, hosts
	// that know the same send to the same endpoint at once.
	noise = 2
)

// Choose returns the endpoint at which the call is expected to cost least, or
// false if none may be called.
func (pool *Pool) Choose(now bvclock.Time, request *Request) (bvplatform.Endpoint, bool) {
	pool.noteHeld(request)
	snapshot := snapshot{now: now, share: pool.share(now)}
	rows := pool.candidates(request)
	best := pool.cheapest(snapshot, request, rows, pool.sampleOf(snapshot, request, rows))
	if best == nil {
		best = pool.cheapest(snapshot, request, rows, sample{all: true}) // none was drawn
	}
	if best == nil {
		return pool.lastResort(request)
	}
	request.CachedTokens, request.Load = best.cache.cached(request.Prefix), best.load(now)
	return best.entry, true
}

// snapshot is what a decision knows of the whole pool.
type snapshot struct {
	now   bvclock.Time
	share float64 // of the places that are taken
}

// cheapest returns the endpoint of a sample of some at which the call costs least, or
// nil if none of them may be called.
func (pool *Pool) cheapest(snapshot snapshot, request *Request, rows []*endpoint, sample sample) *endpoint {
	best, lowest := (*endpoint)(nil), 0.0
	for _, row := range rows {
		if !row.open(snapshot.now) || request.Excluded[row.entry.Name] || !sample.has(row) {
			continue
		}
		cost := pool.cost(snapshot, row, request)
		if request.Object == 0 {
			cost += noise * pool.random.Float64() // the order of an object breaks ties by itself
		}
		if best == nil || cost < lowest {
			best, lowest = row, cost
		}
	}
	return best
}

// lastResort returns any endpoint that is not leaving, although it failed
// lately: outlier detection must never empty a pool.
func (pool *Pool) lastResort(request *Request) (bvplatform.Endpoint, bool) {
	var best *endpoint
	for _, row := range pool.rows {
		if row.entry.State != bvplatform.HostLive || request.Excluded[row.entry.Name] {
			continue
		}
		if best == nil || row.health.awayUntil.Before(best.health.awayUntil) {
			best = row
		}
	}
	if best == nil {
		return bvplatform.Endpoint{}, false
	}
	return best.entry, true
}

// cost is the time that a call takes at an endpoint beyond the shortest
// possible, in milliseconds, with the time that it costs the calls beside it:
// while an engine reads a prompt, all calls that run there stand still.
//
// Those beside it are at least as many as the engines have on average: one that
// is idle now will not be so a moment later, and what it reads again there takes its
// time from all. Counted by the calls that are there at the moment, conversations
// leave the engines that have them for any that is idle.
func (pool *Pool) cost(snapshot snapshot, row *endpoint, request *Request) float64 {
	duration := pool.duration.or(defaultDuration)
	load, slots := row.load(snapshot.now), row.slots()
	cost := crowding * duration * load / slots
	if row.entry.Zone != pool.zone {
		cost += zoneCost
	}
	if len(pool.rows) > scannedRows && snapshot.now.Sub(row.endedAt) > connectionKept {
		cost += connectionCost
	}
	if load >= slots {
		cost += duration * (load - slots + 1) / slots
	}
	if !pool.without.Has(bvmechanism.Outliers) {
		cost += row.seen.cost(snapshot.now, pool.pace.or(0), duration)
	}
	if request.Object != 0 {
		cost += objectWeight * row.place(request.Object)
	}
	cached := row.cache.cached(request.Prefix)
	beside := min(load, slots)
	if !pool.without.Has(bvmechanism.Average) {
		beside = max(beside, snapshot.share*slots)
	}
	cost += float64(max(request.PromptTokens-cached, 0)) / pool.ReadingRate() * (1 + beside)
	if len(request.Prefix) > 0 && cached <= request.Prefix[0].Tokens {
		cost += pool.affinityWeight(row) * row.affinity(request) // nothing of the conversation itself is here
	}
	return cost
}
