package bvdispatch

import "balsamvalve.example/bvmechanism"

// Hosts decide by themselves, on what they heard of each other up to a tenth of
// a second ago. In a crowd, an engine whose calls have just ended looks best to
// all of them at once, and their calls wait there for each other. So in a crowd each
// decision looks at a few endpoints only, drawn at random beside those that have
// the conversation, and the rest of a tenth of a second's calls go elsewhere.
const (
	// sampleCached is how many are drawn, on average, of the endpoints that
	// have the prompt's first part; sampleAll, of all.
	sampleCached = 4
	sampleAll    = 3
	// crowdedShare is the share of the places of a service's endpoints from which
	// samples are drawn: from about here on, calls wait for each other.
	crowdedShare = 0.5
)

// crowded reports whether the endpoints have little room left.
func (snapshot snapshot) crowded() bool { return snapshot.share >= crowdedShare }

// sample draws the endpoints that a decision looks at.
type sample struct {
	pool    *Pool
	request *Request
	all     bool    // no need to draw
	cached  float64 // share of those that have the prompt's first part
	others  float64 // share of the others
	first   *endpoint
	among   map[uint64]int // the only ones, where not nil
}

// newSample prepares the drawing for a request. Calls that concern one object
// spread by it.
func (pool *Pool) newSample(snapshot snapshot, request *Request, rows []*endpoint) sample {
	sample := sample{pool: pool, request: request}
	if request.Object != 0 || !snapshot.crowded() || pool.without.Has(bvmechanism.Samples) {
		sample.all = true
		return sample
	}
	cached, open := 0, 0
	for _, row := range rows {
		if !row.open(snapshot.now) || request.Excluded[row.entry.Name] {
			continue
		}
		open++
		if row.cache.cached(request.Prefix) > 0 {
			cached++
		}
		if len(request.Prefix) > 0 && (sample.first == nil || row.affinity(request) < sample.first.affinity(request)) {
			sample.first = row
		}
	}
	sample.cached = sampleCached / float64(max(cached, 1))
	sample.others = sampleAll / float64(max(open, 1))
	sample.all = open <= sampleAll
	return sample
}

// has draws whether the decision looks at an endpoint. It always does at those
// that have more of the prompt than its first part, and at the first one in the
// order of the first part.
func (sample *sample) has(row *endpoint) bool {
	if sample.among != nil {
		_, found := sample.among[row.hash]
		return found
	}
	if sample.all || row == sample.first {
		return true
	}
	share := sample.others
	if cached := row.cache.cached(sample.request.Prefix); cached > 0 {
		if cached > sample.request.Prefix[0].Tokens {
			return true
		}
		share = max(share, sample.cached)
	}
	return sample.pool.random.Float64() < share
}
