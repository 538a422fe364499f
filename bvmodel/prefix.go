package bvmodel

import "container/list"

type prefixKey struct{ salt, prefix string }

// cachedPrefix is the KV cache of a program that has no running call.
type cachedPrefix struct {
	prefixKey
	tokens         int
	cachedAt       float64
	programEnded   bool // the program has ended
	programEndedAt float64
}

// prefixCache holds cached prefixes in order of last use, with the least recently
// used at the front.
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

// Waste counts engine memory whose content was not used again, in tokens of KV
// cache times milliseconds.
type Waste struct {
	Evicted float64 // prefixes evicted or dropped before they were used again
	Ended   float64 // prefixes cached for programs that had ended
}

// Total returns the sum of both kinds.
func (waste Waste) Total() float64 {
	return waste.Evicted + waste.Ended
}

// Add returns the sum of two counts.
func (waste Waste) Add(other Waste) Waste {
	return Waste{Evicted: waste.Evicted + other.Evicted, Ended: waste.Ended + other.Ended}
}

// charge adds the cost of a prefix that leaves the cache without being used again.
func (waste *Waste) charge(prefix *cachedPrefix, now float64) {
	tokens := float64(prefix.tokens)
	if prefix.programEnded {
		waste.Ended += tokens * (now - prefix.programEndedAt)
		return
	}
	waste.Evicted += tokens * (now - prefix.cachedAt)
}
