package bvdispatch

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"balsamvalve.example/bvmechanism"
	"balsamvalve.example/bvroute"
)

// cache estimates which parts of prompts an endpoint has, from what the hosts
// sent there. The least recently used parts yield, as at the endpoint. The zero
// value is empty.
type cache struct {
	parts  *simplelru.LRU[uint64, int] // tokens by key
	tokens int
}

// cacheShare is the part of an endpoint's memory that this estimate fills: the
// rest holds what running calls generate.
const cacheShare = 0.8

// unboundedParts stands for no bound: the bound is in tokens.
const unboundedParts = 1 << 30

// use notes a prompt that is sent, and returns the parts that are new there.
func (cache *cache) use(prefix []bvroute.Part, room int) []bvroute.Part {
	if cache.parts == nil {
		cache.parts, _ = simplelru.NewLRU(unboundedParts, func(_ uint64, tokens int) { cache.tokens -= tokens })
	}
	var added []bvroute.Part
	for i := len(prefix) - 1; i >= 0; i-- { // the first parts are wanted longest
		if cache.touch(prefix[i]) {
			added = append(added, prefix[i])
		}
	}
	limit := int(float64(room) * cacheShare)
	for cache.tokens > limit && cache.parts.Len() > 0 {
		cache.parts.RemoveOldest()
	}
	return added
}

// touch notes the use of a part; it reports whether there is more of it now.
func (cache *cache) touch(part bvroute.Part) bool {
	had, found := cache.parts.Get(part.Key)
	if found && had >= part.Tokens {
		return false
	}
	cache.tokens += part.Tokens - had
	cache.parts.Add(part.Key, part.Tokens) // replacing calls no eviction
	return true
}

// cached returns how many tokens at the start of a prompt the endpoint has. A
// part counts only if all parts before it are there.
func (cache *cache) cached(prefix []bvroute.Part) int {
	if cache.parts == nil {
		return 0
	}
	tokens := 0
	for _, part := range prefix {
		had, found := cache.parts.Peek(part.Key)
		if !found {
			break
		}
		tokens += min(part.Tokens, had)
	}
	return tokens
}

// noteHeld takes in where the turn before ran. The next one comes some tens of
// milliseconds later, through any host, and digests take longer: without this, turns
// go to engines that have nothing of the conversation and read it all again.
func (pool *Pool) noteHeld(request *Request) {
	row := pool.byHash[request.HeldPrefix.Endpoint]
	if row != nil && !pool.without.Has(bvmechanism.Held) {
		row.cache.use(head(request.Prefix, request.HeldPrefix.Tokens), row.entry.CacheTokens)
	}
}

// head returns the parts that begin a prompt, up to a number of tokens.
func head(prefix []bvroute.Part, tokens int) []bvroute.Part {
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
