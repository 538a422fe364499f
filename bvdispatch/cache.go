package bvdispatch

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"balsamvalve.example/bvmechanism"
	"balsamvalve.example/bvroute"
)

// cache estimates which parts of prompts an endpoint has cached, from the prompts that
// hosts sent there. It evicts the least recently used parts, as the endpoint does. The
// zero value is empty.
type cache struct {
	parts  *simplelru.LRU[uint64, int] // tokens by key
	tokens int
}

// cacheShare is the share of an endpoint's memory that the estimate fills: the rest holds
// the tokens that running calls generate.
const cacheShare = 0.8

// unboundedParts is the capacity of the LRU list in parts. The cache is bounded in tokens
// instead.
const unboundedParts = 1 << 30

// recordPrompt records a prompt that is sent to the endpoint, and returns the parts that
// are new there.
func (cache *cache) recordPrompt(prefix []bvroute.Part, capacity int) []bvroute.Part {
	if cache.parts == nil {
		cache.parts, _ = simplelru.NewLRU(unboundedParts, func(_ uint64, tokens int) { cache.tokens -= tokens })
	}
	var added []bvroute.Part
	for i := len(prefix) - 1; i >= 0; i-- { // the first parts must be evicted last
		if cache.touch(prefix[i]) {
			added = append(added, prefix[i])
		}
	}
	limit := int(float64(capacity) * cacheShare)
	for cache.tokens > limit && cache.parts.Len() > 0 {
		cache.parts.RemoveOldest()
	}
	return added
}

// touch records the use of a part and reports whether it is new or has grown.
func (cache *cache) touch(part bvroute.Part) bool {
	cachedTokens, found := cache.parts.Get(part.Key)
	if found && cachedTokens >= part.Tokens {
		return false
	}
	cache.tokens += part.Tokens - cachedTokens
	cache.parts.Add(part.Key, part.Tokens) // replacing a part does not call the eviction callback
	return true
}

// cachedTokens returns how many tokens at the start of a prompt the endpoint has cached. A
// part counts only if all parts before it are cached.
func (cache *cache) cachedTokens(prefix []bvroute.Part) int {
	if cache.parts == nil {
		return 0
	}
	tokens := 0
	for _, part := range prefix {
		cachedTokens, found := cache.parts.Peek(part.Key)
		if !found {
			break
		}
		tokens += min(part.Tokens, cachedTokens)
	}
	return tokens
}

// recordHeldPrefix records where the previous turn ran. The next turn arrives some tens of
// milliseconds later, through any host, and digests take longer: without this record,
// turns go to engines that have none of the conversation cached and must read all of it.
func (pool *Pool) recordHeldPrefix(request *Request) {
	row := pool.byHash[request.HeldPrefix.Endpoint]
	if row != nil && !pool.disabled.Has(bvmechanism.Held) {
		row.cache.recordPrompt(truncatePrefix(request.Prefix, request.HeldPrefix.Tokens), row.entry.CacheTokens)
	}
}

// truncatePrefix returns the first parts of a prompt, up to a number of tokens.
func truncatePrefix(prefix []bvroute.Part, tokens int) []bvroute.Part {
	var parts []bvroute.Part
	for _, part := range prefix {
		part.Tokens = min(part.Tokens, tokens)
		if part.Tokens <= 0 {
			break
		}
		parts = append(parts, part)
		tokens -= part.Tokens
	}
	return parts
}
