package bvgate

import "balsamvalve.example/bvclock"

// cache is the model of an endpoint's prefix cache: the sites that no call
// uses, least recently used first. Running calls occupy the same memory.
type cache struct {
	oldest *site
	newest *site
	tokens int // in the list
	pinned int // of running calls

	// age is how long a site stayed unused before it was evicted.
	age average
}

func (cache *cache) add(now bvclock.Time, added *site) {
	if added.cached || added.tokens == 0 {
		return
	}
	added.usedAt = now
	added.cached = true
	added.previous = cache.newest
	if cache.newest != nil {
		cache.newest.next = added
	} else {
		cache.oldest = added
	}
	cache.newest = added
	cache.tokens += added.tokens
}

func (cache *cache) remove(removed *site) {
	if !removed.cached {
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
	removed.previous, removed.next, removed.cached = nil, nil, false
	cache.tokens -= removed.tokens
}

// shrink evicts what does not fit.
func (pool *Pool) shrink(now bvclock.Time, at *endpoint) {
	cache := &at.cache
	for cache.oldest != nil && cache.tokens+cache.pinned > at.report.CacheTokens {
		evicted := cache.oldest
		cache.remove(evicted)
		evicted.tokens = 0
		cache.age.add(float64(now.Sub(evicted.usedAt)))
		pool.countMemory(evicted.program)
	}
}

// outlives reports whether an unused site is expected to be evicted before
// the pause ends.
func (cache *cache) outlives(pause bvclock.Duration) bool {
	return cache.age.seen && float64(pause) > cache.age.value
}
