package bvgate

import "balsamvalve.example/bvclock"

// cache models an endpoint's prefix cache as an LRU list of the prefixes that no call
// uses. Running calls occupy the same memory.
type cache struct {
	oldest *cachedPrefix
	newest *cachedPrefix
	tokens int // of the prefixes in the list
	pinned int // tokens of running calls

	// evictionAge is how long prefixes stayed unused before they were evicted.
	evictionAge average
}

func (cache *cache) add(now bvclock.Time, added *cachedPrefix) {
	if added.inCache || added.tokens == 0 {
		return
	}
	added.usedAt = now
	added.inCache = true
	added.previous = cache.newest
	if cache.newest != nil {
		cache.newest.next = added
	} else {
		cache.oldest = added
	}
	cache.newest = added
	cache.tokens += added.tokens
}

func (cache *cache) remove(removed *cachedPrefix) {
	if !removed.inCache {
		return
	}
	if removed.previous != nil {
		removed.previous.next = removed.next
	} else {
		cache.oldest = removed.next
	}
	if removed.next != nil {
		removed.next.previous = removed.previous
	} else {
		cache.newest = removed.previous
	}
	removed.previous, removed.next, removed.inCache = nil, nil, false
	cache.tokens -= removed.tokens
}

// evict removes the least recently used prefixes until the rest fits.
func (pool *Pool) evict(now bvclock.Time, target *endpoint) {
	cache := &target.cache
	for cache.oldest != nil && cache.tokens+cache.pinned > target.report.CacheTokens {
		evicted := cache.oldest
		cache.remove(evicted)
		evicted.tokens = 0
		cache.evictionAge.add(float64(now.Sub(evicted.usedAt)))
		pool.countMemory(evicted.program)
	}
}

// evictsWithin reports whether an unused prefix is expected to be evicted before the
// pause ends.
func (cache *cache) evictsWithin(pause bvclock.Duration) bool {
	return cache.evictionAge.hasSamples && float64(pause) > cache.evictionAge.value
}
