package bvdispatch

import (
	"slices"

	"balsamvalve.example/bvclock"
)

// The cost of comparing all endpoints grows with the fleet. Beyond maxScannedRows
// endpoints, a decision compares only likely candidates: the endpoint that has the
// conversation cached, those of the lowest rendezvous rank for the prompt's first part or
// the object, those that this host has used most recently, and a random sample.
const (
	maxScannedRows = 512
	// zoneSampleSize and fleetSampleSize are the numbers of endpoints drawn from this
	// availability zone and from all; a sample of this size contains idle endpoints
	// unless nearly all are full.
	zoneSampleSize  = 64
	fleetSampleSize = 64
	// rendezvousRows is how many endpoints of the lowest rank for a key are candidates.
	rendezvousRows = 8
	// maxRecentRows is how many recently used endpoints are candidates.
	maxRecentRows = 32
	// loadSampleRows is the size of the sample from which the load share is estimated.
	loadSampleRows = 512
)

const (
	// connectionCostMs is the time to open a new connection. It does not count on a list
	// of up to maxScannedRows: there a host keeps a connection to each endpoint and
	// spreads its calls over all of them.
	connectionCostMs = 2
	// connectionLifetime is how long after a call its connection is likely to be open.
	connectionLifetime = 4 * bvclock.Second
)

// candidates returns the endpoints that a decision compares. The result is valid until
// the next call.
func (pool *Pool) candidates(request *Request) []*endpoint {
	if len(pool.rows) <= maxScannedRows {
		return pool.rows
	}
	if request.Pinned {
		return pool.pinnedCandidates(request)
	}
	pool.candidateRound++
	pool.candidateRows = pool.candidateRows[:0]
	pool.addCandidates(pool.byHash[request.HeldPrefix.Endpoint])
	for endpoint := range request.PeerCalls {
		pool.addCandidates(pool.byHash[endpoint])
	}
	if request.Object != 0 {
		pool.addCandidates(pool.firstInOrder(request.Object)...)
	}
	if len(request.Prefix) > 0 {
		pool.addCandidates(pool.firstInOrder(request.Prefix[0].Key)...)
	}
	pool.addCandidates(pool.recent...)
	zoneRows := pool.rowsInZone()
	for range min(zoneSampleSize, len(zoneRows)) {
		pool.addCandidates(zoneRows[pool.random.IntN(len(zoneRows))])
	}
	for range fleetSampleSize {
		pool.addCandidates(pool.rows[pool.random.IntN(len(pool.rows))])
	}
	return pool.candidateRows
}

// pinnedCandidates returns the endpoints of the request's version, or a random sample of them.
func (pool *Pool) pinnedCandidates(request *Request) []*endpoint {
	pool.candidateRows = pool.candidateRows[:0]
	for _, row := range pool.rows {
		if request.allows(row) {
			pool.candidateRows = append(pool.candidateRows, row)
		}
	}
	pool.random.Shuffle(len(pool.candidateRows), func(i, j int) {
		pool.candidateRows[i], pool.candidateRows[j] = pool.candidateRows[j], pool.candidateRows[i]
	})
	return pool.candidateRows[:min(len(pool.candidateRows), maxScannedRows)]
}

// addCandidates adds endpoints to the candidates, each once; it skips nil.
func (pool *Pool) addCandidates(rows ...*endpoint) {
	for _, row := range rows {
		if row != nil && row.lastRound != pool.candidateRound {
			row.lastRound = pool.candidateRound
			pool.candidateRows = append(pool.candidateRows, row)
		}
	}
}

// rowsInZone returns the endpoints in this host's availability zone.
func (pool *Pool) rowsInZone() []*endpoint {
	if pool.zoneRowsRevision != pool.revision {
		pool.zoneRowsRevision, pool.zoneRows = pool.revision, pool.zoneRows[:0]
		for _, row := range pool.rows {
			if row.entry.Zone == pool.zone {
				pool.zoneRows = append(pool.zoneRows, row)
			}
		}
	}
	return pool.zoneRows
}

// orderCache caches the endpoints of the lowest rank for some keys.
type orderCache struct {
	revision int // of the list of endpoints
	rows     map[uint64][]*endpoint
}

// maxCachedOrders bounds the cached orders: prompts of a kind share a few prefixes, but
// there are many objects.
const maxCachedOrders = 64

// firstInOrder returns the endpoints of the lowest rendezvous rank for a key.
func (pool *Pool) firstInOrder(key uint64) []*endpoint {
	if pool.orders.revision != pool.revision || len(pool.orders.rows) >= maxCachedOrders {
		pool.orders = orderCache{revision: pool.revision, rows: make(map[uint64][]*endpoint)}
	}
	if rows, found := pool.orders.rows[key]; found {
		return rows
	}
	type rankedRow struct {
		row  *endpoint
		rank float64
	}
	best := make([]rankedRow, 0, rendezvousRows+1)
	for _, row := range pool.rows {
		rank := row.rendezvousRank(key)
		if len(best) == rendezvousRows && rank >= best[rendezvousRows-1].rank {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, rank, func(other rankedRow, rank float64) int {
			if other.rank < rank {
				return -1
			}
			return 1
		})
		best = slices.Insert(best, at, rankedRow{row, rank})
		best = best[:min(len(best), rendezvousRows)]
	}
	rows := make([]*endpoint, len(best))
	for i, ranked := range best {
		rows[i] = ranked.row
	}
	pool.orders.rows[key] = rows
	return rows
}

// recordRecent records that this host calls an endpoint.
func (pool *Pool) recordRecent(row *endpoint) {
	if at := slices.Index(pool.recent, row); at >= 0 {
		pool.recent = slices.Delete(pool.recent, at, at+1)
	}
	pool.recent = append(pool.recent, row)
	if len(pool.recent) > maxRecentRows {
		pool.recent = slices.Delete(pool.recent, 0, 1)
	}
}

// invalidateCaches invalidates values derived from the list of endpoints and drops a
// removed endpoint, if any, from the recently used ones.
func (pool *Pool) invalidateCaches(removed *endpoint) {
	pool.revision++
	if at := slices.Index(pool.recent, removed); at >= 0 {
		pool.recent = slices.Delete(pool.recent, at, at+1)
	}
}
