package bvdispatch

import "balsamvalve.example/bvmechanism"

// Hosts decide independently, on reports from each other that are up to a tenth of a second
// old. Under contention, an engine whose calls have just ended looks best to all of them at
// once, and their calls queue up there. So under contention each decision compares only a
// few endpoints: those that have the conversation cached, and a random sample. The calls of
// other decisions within the same tenth of a second then go elsewhere.
const (
	// cachedSampleSize is the average number of endpoints drawn from those that have the
	// prompt's first part cached; sampleSize, from all.
	cachedSampleSize = 4
	sampleSize       = 3
	// contendedShare is the load share of a service's endpoints from which samples are
	// drawn: from about there on, calls wait for each other.
	contendedShare = 0.5
)

// isContended reports whether calls are likely to wait for each other.
func (snapshot snapshot) isContended() bool { return snapshot.loadShare >= contendedShare }

// sample determines the endpoints that a decision compares.
type sample struct {
	pool           *Pool
	request        *Request
	all            bool    // every endpoint is included
	cachedFraction float64 // probability for those that have the prompt's first part cached
	otherFraction  float64 // probability for the others
	firstInOrder   *endpoint
	shortlist      map[uint64]int // if not nil, only these are included
}

// newSample returns the sample for a request. Calls that concern an object need none, as
// they spread by the object's rendezvous rank.
func (pool *Pool) newSample(snapshot snapshot, request *Request, rows []*endpoint) sample {
	sample := sample{pool: pool, request: request}
	if request.Object != 0 || !snapshot.isContended() || pool.disabled.Has(bvmechanism.Samples) {
		sample.all = true
		return sample
	}
	cachedRows, openRows := 0, 0
	for _, row := range rows {
		if !row.isOpen(snapshot.now) || !request.allows(row) {
			continue
		}
		openRows++
		if row.cache.cachedTokens(request.Prefix) > 0 {
			cachedRows++
		}
		if len(request.Prefix) > 0 && (sample.firstInOrder == nil || row.affinityRank(request) < sample.firstInOrder.affinityRank(request)) {
			sample.firstInOrder = row
		}
	}
	sample.cachedFraction = cachedSampleSize / float64(max(cachedRows, 1))
	sample.otherFraction = sampleSize / float64(max(openRows, 1))
	sample.all = openRows <= sampleSize
	return sample
}

// includes draws whether an endpoint is in the sample. Always included are those that have
// more of the prompt cached than its first part, and the one of the lowest rendezvous rank
// for the first part.
func (sample *sample) includes(row *endpoint) bool {
	if sample.shortlist != nil {
		_, found := sample.shortlist[row.hash]
		return found
	}
	if sample.all || row == sample.firstInOrder {
		return true
	}
	fraction := sample.otherFraction
	if cached := row.cache.cachedTokens(sample.request.Prefix); cached > 0 {
		if cached > sample.request.Prefix[0].Tokens {
			return true
		}
		fraction = max(fraction, sample.cachedFraction)
	}
	return sample.pool.random.Float64() < fraction
}
