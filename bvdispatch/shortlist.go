package bvdispatch

import (
	"cmp"
	"slices"

	"balsamvalve.example/bvclock"
)

// Hosts' reports on each other's calls are some tenths of a second old, which is as long as
// a call takes. Decisions based on them alone send calls to engines that other hosts have
// just filled, and move conversations away from engines that have free slots again; some
// engines then have a queue even though half of all slots are free. So a decision first
// draws up a shortlist from the reports, queries how many calls these endpoints have now,
// and then chooses among them.

// peerQueryShare is the load share of a service's endpoints from which decisions query the
// current counts. Below it, nearly all endpoints are idle.
const peerQueryShare = 0.1

// NeedsPeerCalls reports whether a decision should query how many calls endpoints have now.
func (pool *Pool) NeedsPeerCalls(now bvclock.Time) bool { return pool.loadShare(now) >= peerQueryShare }

// shortlistSize is the number of endpoints whose count is queried. With three, most calls
// find a free slot when a third of all slots is free; each further endpoint costs a
// datagram and its answer.
const shortlistSize = 5

// Shortlist returns the endpoints at which the call is expected to cost least, by the
// hashes of their IDs.
func (pool *Pool) Shortlist(now bvclock.Time, request *Request) []uint64 {
	pool.recordHeldPrefix(request)
	snapshot := snapshot{now: now, loadShare: pool.loadShare(now), toolRules: pool.appliesToolRules(now)}
	type candidate struct {
		endpoint *endpoint
		cost     float64
	}
	var candidates []candidate
	rows := pool.candidates(request)
	sample := pool.newSample(snapshot, request, rows)
	for _, row := range rows {
		if row.isOpen(now) && request.allows(row) && sample.includes(row) {
			candidates = append(candidates, candidate{row, pool.cost(snapshot, row, request)})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	var hashes []uint64
	for _, candidate := range candidates[:min(shortlistSize, len(candidates))] {
		hashes = append(hashes, candidate.endpoint.hash)
	}
	return hashes
}

// sampleFor returns the sample of a decision: the endpoints whose counts were queried, if
// any, else a new sample.
func (pool *Pool) sampleFor(snapshot snapshot, request *Request, rows []*endpoint) sample {
	if len(request.PeerCalls) == 0 {
		return pool.newSample(snapshot, request, rows)
	}
	for endpoint, count := range request.PeerCalls {
		if row := pool.byHash[endpoint]; row != nil {
			row.setPeerCalls(snapshot.now, count)
		}
	}
	return sample{shortlist: request.PeerCalls}
}

// setPeerCalls sets how many calls the other hosts have at the endpoint now. The count is
// newer than the load that the endpoint itself last reported.
func (endpoint *endpoint) setPeerCalls(now bvclock.Time, count int) {
	endpoint.peerCalls, endpoint.peerCallsAt = count, now
	endpoint.reportedOthers = 0
	endpoint.tool.recordCalls(endpoint.running + count)
}
