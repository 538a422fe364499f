package bvdispatch

import (
	"container/list"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvroute"
)

// cache estimates which parts of prompts an endpoint has, from what this host
// sent there. The least recently used parts yield, as at the endpoint. The zero
// value is empty.
type cache struct {
	byID   map[string]*list.Element
	recent list.List // of *cachedPart, last used in front
	tokens int
}

type cachedPart struct {
	id     string
	tokens int
	usedAt bvclock.Time
}

// cacheShare is the part of an endpoint's memory that this estimate fills: the
// rest holds running calls and what other hosts sent.
const cacheShare = 0.5

// use notes a prompt that is sent.
func (cache *cache) use(now bvclock.Time, prefix []bvroute.Part, room int) {
	if cache.byID == nil {
		cache.byID = make(map[string]*list.Element)
	}
	for i := len(prefix) - 1; i >= 0; i-- { // the first parts are wanted longest
		cache.touch(now, prefix[i])
	}
	limit := int(float64(room) * cacheShare)
	for cache.tokens > limit && cache.recent.Len() > 0 {
		cache.evict(cache.recent.Back())
	}
}

func (cache *cache) touch(now bvclock.Time, part bvroute.Part) {
	if found := cache.byID[part.ID]; found != nil {
		cached := found.Value.(*cachedPart)
		cache.tokens += part.Tokens - cached.tokens
		cached.tokens, cached.usedAt = part.Tokens, now
		cache.recent.MoveToFront(found)
		return
	}
	cache.byID[part.ID] = cache.recent.PushFront(&cachedPart{id: part.ID, tokens: part.Tokens, usedAt: now})
	cache.tokens += part.Tokens
}

func (cache *cache) evict(element *list.Element) {
	cached := element.Value.(*cachedPart)
	cache.tokens -= cached.tokens
	delete(cache.byID, cached.id)
	cache.recent.Remove(element)
}

// cached returns how many tokens at the start of a prompt the endpoint has. A
// part counts only if all parts before it are there.
func (cache *cache) cached(prefix []bvroute.Part) int {
	tokens := 0
	for _, part := range prefix {
		found := cache.byID[part.ID]
		if found == nil {
			break
		}
		tokens += min(part.Tokens, found.Value.(*cachedPart).tokens)
	}
	return tokens
}
