package bvdispatch

import (
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvmechanism"
	"balsamvalve.example/bvplatform"
)

const (
	// contentionFactor is the cost of a call with all slots taken, as a share of its
	// duration on an idle engine: the call takes longer, and so do the calls beside it.
	contentionFactor = 0.6
	// defaultDurationMs is the duration assumed for a call until one has ended.
	defaultDurationMs = 200
	// zoneCostMs is the cost of an endpoint in another availability zone: operators pay
	// for traffic between zones.
	zoneCostMs = 24
	// objectWeightMs is the largest cost of an endpoint's rendezvous rank for a call's
	// object. An endpoint that had the object recently is faster.
	objectWeightMs = 20
	// tieBreakNoiseMs breaks ties between endpoints. Without it, hosts with the same data
	// all send to the same endpoint at once.
	tieBreakNoiseMs = 2
)

// Choose returns the endpoint at which the call is expected to cost least, or
// false if none may be called.
func (pool *Pool) Choose(now bvclock.Time, request *Request) (bvplatform.Endpoint, bool) {
	pool.recordHeldPrefix(request)
	pool.beginToolChoice(request)
	snapshot := snapshot{now: now, loadShare: pool.loadShare(now), toolRules: pool.appliesToolRules(now)}
	request.LoadShare = snapshot.loadShare
	rows := pool.candidates(request)
	best := pool.cheapest(snapshot, request, rows, pool.sampleFor(snapshot, request, rows))
	if best == nil || pool.isFullTool(now, best) {
		best = pool.cheapest(snapshot, request, rows, sample{all: true}) // the sample has no free endpoint
	}
	if best == nil {
		return pool.lastResort(now, request)
	}
	if pool.mustWait(now, request, best) {
		return bvplatform.Endpoint{}, false
	}
	request.CachedTokens, request.Load = best.cache.cachedTokens(request.Prefix), best.load(now)
	return best.entry, true
}

// snapshot is the state of the whole pool that one decision uses.
type snapshot struct {
	now       bvclock.Time
	loadShare float64 // number of calls as a share of all slots
	toolRules bool    // the tool rules apply
}

// cheapest returns the endpoint at which the call costs least, of those rows that are in
// the sample, or nil if none of them may be called.
func (pool *Pool) cheapest(snapshot snapshot, request *Request, rows []*endpoint, sample sample) *endpoint {
	best, lowest := (*endpoint)(nil), 0.0
	for _, row := range rows {
		if !row.isOpen(snapshot.now) || !request.allows(row) || !sample.includes(row) {
			continue
		}
		cost := pool.cost(snapshot, row, request)
		if request.Object == 0 {
			cost += tieBreakNoiseMs * pool.random.Float64() // for an object, the rendezvous rank breaks ties
		}
		if best == nil || cost < lowest {
			best, lowest = row, cost
		}
	}
	return best
}

// lastResort returns an endpoint that accepts calls, even if it is paused after recent
// failures: outlier detection must never empty a pool.
func (pool *Pool) lastResort(now bvclock.Time, request *Request) (bvplatform.Endpoint, bool) {
	var best *endpoint
	for _, row := range pool.rows {
		if !row.entry.AcceptsCalls(now) || !request.allows(row) {
			continue
		}
		if best == nil || row.health.pausedUntil.Before(best.health.pausedUntil) {
			best = row
		}
	}
	if best == nil {
		return bvplatform.Endpoint{}, false
	}
	return best.entry, true
}

// cost returns the time that a call takes at an endpoint beyond the shortest possible at one
// of usual speed, in milliseconds; at a faster endpoint it may be negative. It includes the
// delay of the calls beside it: while an engine reads a prompt, all calls that run there are
// stalled.
//
// The number of calls beside it counts as at least the average over all engines. An
// engine that is idle now soon gets other calls, which are stalled too when it reads a
// prompt again. If only the present calls counted, conversations would move from the
// engines that have them cached to any idle engine.
func (pool *Pool) cost(snapshot snapshot, row *endpoint, request *Request) float64 {
	speed, usualDuration := pool.speedOf(snapshot.now, row), pool.duration.valueOr(defaultDurationMs)
	duration := usualDuration * speed
	load, slots := row.load(snapshot.now), row.slots()
	cost := contentionFactor*duration*load/slots + (duration - usualDuration)
	if row.entry.Zone != pool.zone {
		cost += zoneCostMs
	}
	if len(pool.rows) > maxScannedRows && snapshot.now.Sub(row.lastCallEnd) > connectionLifetime {
		cost += connectionCostMs
	}
	if load >= slots {
		cost += duration * (load - slots + 1) / slots
	}
	if !pool.disabled.Has(bvmechanism.Outliers) {
		cost += row.stats.costMs(snapshot.now, pool.outlierPace(), duration)
	}
	cost += pool.versionCost(row.entry.Version, request)
	if snapshot.toolRules {
		cost += row.toolCost(snapshot, load, duration, request.Once)
	}
	if request.Object != 0 {
		cost += objectWeightMs * row.rendezvousRank(request.Object)
	}
	cached := row.cache.cachedTokens(request.Prefix)
	beside := min(load, slots)
	if !pool.disabled.Has(bvmechanism.Average) {
		beside = max(beside, snapshot.loadShare*slots)
	}
	cost += float64(max(request.PromptTokens-cached, 0)) / pool.ReadingRate() * speed * (1 + beside)
	if len(request.Prefix) > 0 && cached <= request.Prefix[0].Tokens {
		cost += pool.affinityWeight(row) * row.affinityRank(request) // at most the shared first part is cached here
	}
	return cost
}
