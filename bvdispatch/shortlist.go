package bvdispatch

import (
	"cmp"
	"slices"

	"balsamvalve.example/bvclock"
)

// What hosts know of each other's calls is some tenths of a second old, which is as
// long as a call takes. Decisions on it send calls to engines that others have just
// filled, and move conversations away from engines that have room again; also where
// half of all places are free, some engines then have a queue. So a decision first
// draws up a short list by what is known, is told how many calls these endpoints have
// now, and then chooses among them.

// askedShare is the share of the places of a service's endpoints from which decisions
// ask. Below, nearly all endpoints are idle.
const askedShare = 0.1

// NeedsPeerCalls reports whether a decision should be told how many calls endpoints have now.
func (pool *Pool) NeedsPeerCalls(now bvclock.Time) bool { return pool.share(now) >= askedShare }

// shortlisted is how many endpoints are asked about. With three, most calls find one
// with room when a third of all places is free; each more is a datagram and its answer.
const shortlisted = 5

// Shortlist returns the endpoints at which the call is expected to cost least, by the
// hashes of their IDs.
func (pool *Pool) Shortlist(now bvclock.Time, request *Request) []uint64 {
	pool.noteHeld(request)
	snapshot := snapshot{now: now, share: pool.share(now)}
	type candidate struct {
		endpoint *endpoint
		cost     float64
	}
	var candidates []candidate
	rows := pool.candidates(request)
	sample := pool.newSample(snapshot, request, rows)
	for _, row := range rows {
		if row.open(now) && !request.Excluded[row.entry.Name] && sample.has(row) {
			candidates = append(candidates, candidate{row, pool.cost(snapshot, row, request)})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	var hashes []uint64
	for _, candidate := range candidates[:min(shortlisted, len(candidates))] {
		hashes = append(hashes, candidate.endpoint.hash)
	}
	return hashes
}

// sampleOf returns which of some endpoints a decision looks at: those that it was told
// of, or a sample.
func (pool *Pool) sampleOf(snapshot snapshot, request *Request, rows []*endpoint) sample {
	if len(request.PeerCalls) == 0 {
		return pool.newSample(snapshot, request, rows)
	}
	for endpoint, count := range request.PeerCalls {
		if row := pool.byHash[endpoint]; row != nil {
			row.setPeers(snapshot.now, count)
		}
	}
	return sample{among: request.PeerCalls}
}

// setPeers takes in how many calls the other hosts have at the endpoint now. That is
// newer than what the endpoint itself last told.
func (endpoint *endpoint) setPeers(now bvclock.Time, count int) {
	endpoint.peers, endpoint.peersAt = count, now
	endpoint.others = 0
}
