package bvmodel

import "container/list"

type prefixKey struct{ salt, prefix string }

// cachedPrefix is the KV cache of a program with no call running.
type cachedPrefix struct {
	prefixKey
	tokens   int
	cachedAt float64
	ended    bool // its program has ended
	endedAt  float64
}

// prefixCache keeps cached prefixes in the order of their last use, the least
// recent one in front.
type prefixCache struct {
	byKey     map[prefixKey]*list.Element
	byLastUse list.List
	tokens    int
}

func (cache *prefixCache) put(prefix *cachedPrefix) {
	if cache.byKey == nil {
		cache.byKey = make(map[prefixKey]*list.Element)
	}
	cache.byKey[prefix.prefixKey] = cache.byLastUse.PushBack(prefix)
	cache.tokens += prefix.tokens
}

func (cache *prefixCache) get(key prefixKey) *cachedPrefix {
	element, ok := cache.byKey[key]
	if !ok {
		return nil
	}
	return element.Value.(*cachedPrefix)
}

func (cache *prefixCache) remove(key prefixKey) *cachedPrefix {
	element, ok := cache.byKey[key]
	if !ok {
		return nil
	}
	prefix := cache.byLastUse.Remove(element).(*cachedPrefix)
	delete(cache.byKey, key)
	cache.tokens -= prefix.tokens
	return prefix
}

func (cache *prefixCache) removeLeastRecent() *cachedPrefix {
	front := cache.byLastUse.Front()
	if front == nil {
		return nil
	}
	return cache.remove(front.Value.(*cachedPrefix).prefixKey)
}

func (cache *prefixCache) clear() {
	*cache = prefixCache{}
}

// Waste counts engine memory that brought nothing, in tokens of KV cache times
// milliseconds.
type Waste struct {
	Evicted float64 // prefixes evicted or dropped before they were used again
	Ended   float64 // prefixes held for programs that had ended
}

// Total is the sum of both kinds.
func (waste Waste) Total() float64 {
	return waste.Evicted + waste.Ended
}

// Add returns the sum of two counts.
func (waste Waste) Add(other Waste) Waste {
	return Waste{Evicted: waste.Evicted + other.Evicted, Ended: waste.Ended + other.Ended}
}

// charge adds what a prefix that leaves the cache without being used again has
// cost.
func (waste *Waste) charge(prefix *cachedPrefix, now float64) {
	tokens := float64(prefix.tokens)
	if prefix.ended {
		waste.Ended += tokens * (now - prefix.endedAt)
		return
	}
	waste.Evicted += tokens * (now - prefix.cachedAt)
}
