package bvfleet

import (
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"balsamvalve.example/bvroute"
)

// unbounded is the LRU's capacity in parts; the actual bound is in tokens.
const unbounded = 1 << 30

// engine is the state of a model engine.
type engine struct {
	spec     Engine
	id       string
	hash     uint64
	zone     int
	slowdown float64 // factor by which work takes longer
	waiting  []*call // by urgency, then by arrival
	running  []*call // in order of start

	cachedParts     *simplelru.LRU[uint64, int] // tokens by key
	cachedTokens    int                         // of cachedParts
	prefilledTokens int                         // since the start
}

func newEngine(spec Engine, id string, hash uint64, zone int) *engine {
	engine := &engine{spec: spec, id: id, hash: hash, zone: zone, slowdown: 1}
	engine.cachedParts, _ = simplelru.NewLRU(unbounded, func(_ uint64, tokens int) { engine.cachedTokens -= tokens })
	return engine
}

func (engine *engine) calls() int { return len(engine.running) + len(engine.waiting) }

func (engine *engine) submit(sent *call) {
	at, _ := slices.BinarySearchFunc(engine.waiting, sent.urgency, func(waiting *call, urgency int) int {
		if waiting.urgency <= urgency {
			return -1
		}
		return 1
	})
	engine.waiting = slices.Insert(engine.waiting, at, sent)
}

func (engine *engine) cancel(canceled *call) {
	isCanceled := func(call *call) bool { return call == canceled }
	engine.waiting = slices.DeleteFunc(engine.waiting, isCanceled)
	engine.running = slices.DeleteFunc(engine.running, isCanceled)
}

// step advances the engine by a millisecond and returns the calls that ended.
func (engine *engine) step() (ended []*call) {
	engine.admit()
	tokenTime := engine.spec.TokenTime + engine.spec.TokenTimePerCall*float64(len(engine.running))
	if engine.prefillStep() {
		tokenTime += float64(engine.spec.PrefillChunk) / engine.spec.PrefillRate
	}
	running := engine.running[:0]
	for _, call := range engine.running {
		if call.unprefilled <= 0 {
			call.outputLeft -= 1 / (tokenTime * engine.slowdown)
		}
		if call.outputLeft <= 0 {
			ended = append(ended, call)
			continue
		}
		running = append(running, call)
	}
	engine.running = running
	return ended
}

// admit starts waiting calls while there are slots.
func (engine *engine) admit() {
	for len(engine.waiting) > 0 && len(engine.running) < engine.spec.Slots {
		call := engine.waiting[0]
		engine.waiting = engine.waiting[1:]
		call.started = true
		call.unprefilled = float64(call.request.PromptTokens - engine.cachedPrefixTokens(call.request.Prefix))
		engine.prefilledTokens += int(call.unprefilled)
		engine.running = append(engine.running, call)
		engine.cachePrompt(call.request.Prefix)
	}
}

// prefillStep prefills the first prompt that is not fully prefilled, for a millisecond.
// It reports whether there was one.
func (engine *engine) prefillStep() bool {
	for _, call := range engine.running {
		if call.unprefilled > 0 {
			call.unprefilled -= engine.spec.PrefillRate / engine.slowdown
			return true
		}
	}
	return false
}

// cachedPrefixTokens returns how many tokens at the start of a prompt are cached.
func (engine *engine) cachedPrefixTokens(prefix []bvroute.Part) int {
	tokens := 0
	for _, part := range prefix {
		if !engine.cachedParts.Contains(part.Key) {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// cachePrompt records the use of a prompt's parts and evicts the least recently used
// ones until the rest fit in the cache.
func (engine *engine) cachePrompt(prefix []bvroute.Part) {
	for _, part := range slices.Backward(prefix) { // the first parts must be evicted last
		if !engine.cachedParts.Contains(part.Key) {
			engine.cachedTokens += part.Tokens
		}
		engine.cachedParts.Add(part.Key, part.Tokens)
	}
	for engine.cachedTokens > engine.spec.CacheTokens {
		engine.cachedParts.RemoveOldest()
	}
}
