package bvdispatch

import (
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvhost"
	"balsamvalve.example/bvmechanism"
)

// Where conversations that begin alike meet.
//
// Prompts of a kind begin with one of some long parts. Where an engine's memory
// holds only a few of these beside its running calls, and calls are spread
// evenly, each beginning is read again and again. So all hosts order the
// endpoints by the beginning, in the same way and without a word between them,
// and a new conversation goes to one that is early in the order unless that is
// much more loaded.
const (
	// fullAffinityWeight is the most that the place in the order counts, in
	// milliseconds: some times what reading a beginning takes, as a call that goes
	// elsewhere also drives another beginning out of that engine's memory.
	fullAffinityWeight = 600
	// scarceFrom and scarceTo bound the share of an endpoint's memory that all
	// beginnings seen here together take, between which the order counts more and
	// more. A host sees only some of them.
	// Under the first, each endpoint can hold all of them.
	scarceFrom = 0.30
	scarceTo   = 0.50
	// beginningKept is how long a beginning counts after its last use.
	beginningKept = 20 * bvclock.Second
)

// beginning is what is known of a prompt's first part.
type beginning struct {
	tokens int
	usedAt bvclock.Time
}

// noteBeginning counts a prompt's first part as in use.
func (pool *Pool) noteBeginning(now bvclock.Time, request *Request) {
	if len(request.Prefix) == 0 {
		return
	}
	first := request.Prefix[0]
	known, found := pool.beginnings[first.Key]
	pool.beginningTokens += first.Tokens - known.tokens
	pool.beginnings[first.Key] = beginning{tokens: first.Tokens, usedAt: now}
	if !found {
		pool.dropBeginnings(now)
	}
}

// dropBeginnings forgets those that were not used for a while.
func (pool *Pool) dropBeginnings(now bvclock.Time) {
	for key, known := range pool.beginnings {
		if now.Sub(known.usedAt) > beginningKept {
			pool.beginningTokens -= known.tokens
			delete(pool.beginnings, key)
		}
	}
}

// affinityWeight is what the order counts at an endpoint, by how scarce its memory
// is.
func (pool *Pool) affinityWeight(row *endpoint) float64 {
	if row.entry.CacheTokens <= 0 || pool.without.Has(bvmechanism.Affinity) {
		return 0
	}
	share := float64(pool.beginningTokens) / float64(row.entry.CacheTokens)
	return fullAffinityWeight * min(max((share-scarceFrom)/(scarceTo-scarceFrom), 0), 1)
}

// affinity is the endpoint's place in the order of the prompt's first part, from 0
// for the first to 1 for the last.
func (endpoint *endpoint) affinity(request *Request) float64 {
	return endpoint.place(request.Prefix[0].Key)
}

// place is the endpoint's place in the order of a key, from 0 to 1.
func (endpoint *endpoint) place(key uint64) float64 {
	return float64(bvhost.Weight(endpoint.hash, key)>>11) / (1 << 53)
}
