package bvdispatch

import (
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvhost"
	"balsamvalve.example/bvmechanism"
)

// Affinity of conversations that share a prefix.
//
// Prompts of a kind share one of a few long prefixes, each the first part of the prompt.
// Where an engine's memory holds only a few of these beside its running calls, and calls
// are spread evenly, engines evict each prefix and read it again. So all hosts rank the
// endpoints for a prefix by rendezvous hashing, which needs no messages between them, and
// a new conversation goes to an endpoint of low rank unless that is much more loaded.
const (
	// maxAffinityWeightMs is the largest cost of a rendezvous rank: a multiple of the
	// time that an engine takes to read a prefix, since a call that goes elsewhere also
	// evicts another prefix from that engine's memory.
	maxAffinityWeightMs = 600
	// affinityRampStart and affinityRampEnd are the bounds between which the weight of
	// the rank grows from zero to its maximum. They are shares of an endpoint's memory
	// that all prefixes seen by this host would take together; other hosts see more
	// prefixes. Below the first bound, each endpoint can hold all of them.
	affinityRampStart = 0.30
	affinityRampEnd   = 0.50
	// prefixRetention is how long a prefix counts after its last use.
	prefixRetention = 20 * bvclock.Second
)

// prefixUse is the size and the last use of a prompt's first part.
type prefixUse struct {
	tokens int
	usedAt bvclock.Time
}

// recordPrefix records the use of a prompt's first part.
func (pool *Pool) recordPrefix(now bvclock.Time, request *Request) {
	if len(request.Prefix) == 0 {
		return
	}
	first := request.Prefix[0]
	previous, found := pool.prefixes[first.Key]
	pool.prefixTokens += first.Tokens - previous.tokens
	pool.prefixes[first.Key] = prefixUse{tokens: first.Tokens, usedAt: now}
	if !found {
		pool.dropIdlePrefixes(now)
	}
}

// dropIdlePrefixes removes prefixes that were not used within prefixRetention.
func (pool *Pool) dropIdlePrefixes(now bvclock.Time) {
	for key, use := range pool.prefixes {
		if now.Sub(use.usedAt) > prefixRetention {
			pool.prefixTokens -= use.tokens
			delete(pool.prefixes, key)
		}
	}
}

// affinityWeight returns the cost of the highest rendezvous rank at an endpoint, in
// milliseconds. It grows as the endpoint's memory gets scarcer.
func (pool *Pool) affinityWeight(row *endpoint) float64 {
	if row.entry.CacheTokens <= 0 || pool.disabled.Has(bvmechanism.Affinity) {
		return 0
	}
	memoryShare := float64(pool.prefixTokens) / float64(row.entry.CacheTokens)
	return maxAffinityWeightMs * min(max((memoryShare-affinityRampStart)/(affinityRampEnd-affinityRampStart), 0), 1)
}

// affinityRank returns the endpoint's rendezvous rank for the prompt's first part, from 0
// for the most preferred to 1 for the least preferred.
func (endpoint *endpoint) affinityRank(request *Request) float64 {
	return endpoint.rendezvousRank(request.Prefix[0].Key)
}

// rendezvousRank returns the endpoint's rank for a key, from 0 to 1.
func (endpoint *endpoint) rendezvousRank(key uint64) float64 {
	return float64(bvhost.Weight(endpoint.hash, key)>>11) / (1 << 53)
}
