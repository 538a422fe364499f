// Package bvmodel is a small model of a model engine with continuous batching,
// in virtual time.
//
// The model is fluid: prompts are prefilled one at a time at a fixed rate,
// first by priority and then by arrival; all prefilled calls are decoded side
// by side, each at a rate that falls with the number of calls in the batch.
// Memory holds the KV cache of running calls and, in what is left, the prefixes
// of programs whose last call ended here, of which the least recently used is
// evicted first. Prefixes are salted with the member, so that no member's call
// ever gains from another's.
//
// An Engine knows no clock and starts nothing: its user tells it the time.
// It is not safe for concurrent use.
//
// # Usage
//
//	engine := bvmodel.New(bvmodel.Config{Slots: 16, CacheTokens: 200_000})
//	engine.Submit(now, bvmodel.Call{ID: 1, Salt: "piran", Prefix: "p1", PromptTokens: 900, OutputTokens: 80})
//	for {
//		next, ok := engine.Next()
//		if !ok {
//			break
//		}
//		for _, event := range engine.Advance(next) {
//			// event.Kind, event.Call
//		}
//	}
package bvmodel

import (
	"math"
	"slices"

	"balsamvalve.example/bvclock"
)

// arithmeticError is a difference of tokens or milliseconds that comes from
// the arithmetic alone.
const arithmeticError = 1e-6

// Values that a zero Config stands for.
const (
	defaultSlots          = 16
	defaultCacheTokens    = 200_000
	defaultPrefillTokens  = 8000
	defaultDecodeTokens   = 60
	millisecondsPerSecond = 1000
)

// Config describes an engine. A zero field stands for its default.
type Config struct {
	Slots                  int     // calls batched at once; 16
	CacheTokens            int     // memory for KV cache; 200,000
	PrefillTokensPerSecond float64 // of the engine; 8,000
	DecodeTokensPerSecond  float64 // of one call that runs alone; 60
	// Slowdown is by how much each further call in the batch stretches the
	// time between two tokens of every call, as a share of the time alone.
	Slowdown float64
}

func (config Config) withDefaults() Config {
	if config.Slots <= 0 {
		config.Slots = defaultSlots
	}
	if config.CacheTokens <= 0 {
		config.CacheTokens = defaultCacheTokens
	}
	if config.PrefillTokensPerSecond <= 0 {
		config.PrefillTokensPerSecond = defaultPrefillTokens
	}
	if config.DecodeTokensPerSecond <= 0 {
		config.DecodeTokensPerSecond = defaultDecodeTokens
	}
	return config
}

// Engine is one model engine.
type Engine struct {
	config     Config
	now        float64
	waiting    []Call         // by priority, then arrival
	batch      []*runningCall // in the order of their start
	decoded    float64        // tokens that a call decoded from the beginning would have by now
	memory     int            // of the batch
	cache      prefixCache
	waste      Waste
	prefilled  float64             // tokens
	recomputed float64             // of the prefilled tokens, history that no cache held
	served     map[string]*Service // by salt
	events     []Event
}

// New returns an idle engine with an empty cache.
func New(config Config) *Engine {
	return &Engine{config: config.withDefaults()}
}

// Submit takes a call at a time not before that of the last method call.
// Events that were due come with the next Advance.
func (engine *Engine) Submit(now bvclock.Time, call Call) {
	engine.advanceThrough(float64(now))
	at, _ := slices.BinarySearchFunc(engine.waiting, call.Priority, func(waiting Call, priority int) int {
		if waiting.Priority >= priority {
			return -1
		}
		return 1
	})
	engine.waiting = slices.Insert(engine.waiting, at, call)
	engine.admit()
}

// Advance moves the engine to a time and returns what happened since the last
// Advance, in order.
func (engine *Engine) Advance(now bvclock.Time) []Event {
	engine.advanceThrough(float64(now))
	events := engine.events
	engine.events = nil
	return events
}

// Next returns the time of the next event, or of the earliest one that
// Advance has not handed out yet.
func (engine *Engine) Next() (bvclock.Time, bool) {
	if len(engine.events) > 0 {
		return engine.events[0].At, true
	}
	at, _ := engine.nextPhaseEnd()
	if math.IsInf(at, 1) {
		return 0, false
	}
	return roundUp(at), true
}

// Cancel ends a call that waits or runs, and reports whether there was one.
// What a running call has in the cache by then stays cached.
func (engine *Engine) Cancel(now bvclock.Time, id CallID) bool {
	engine.advanceThrough(float64(now))
	for at, call := range engine.waiting {
		if call.ID == id {
			engine.waiting = slices.Delete(engine.waiting, at, at+1)
			return true
		}
	}
	for at, call := range engine.batch {
		if call.ID == id {
			engine.removeFromBatch(at, call.cachedPromptTokens())
			engine.admit()
			return true
		}
	}
	return false
}

// Release drops what is cached for a program. A call that runs is not touched.
func (engine *Engine) Release(now bvclock.Time, salt, prefix string) {
	engine.advanceThrough(float64(now))
	cached := engine.cache.remove(prefixKey{salt, prefix})
	if cached == nil {
		return
	}
	engine.waste.charge(cached, engine.now)
	engine.admit()
}

// EndProgram tells that a program has ended, for the count of wasted cache
// only. A real engine does not know.
func (engine *Engine) EndProgram(now bvclock.Time, salt, prefix string) {
	engine.advanceThrough(float64(now))
	key := prefixKey{salt, prefix}
	for _, call := range engine.batch {
		if call.key() == key {
			call.programEnded = true
		}
	}
	cached := engine.cache.get(key)
	if cached == nil || cached.ended {
		return
	}
	cached.ended = true
	cached.endedAt = engine.now
}

// Crash loses all calls and the whole cache, and returns the calls that were
// running and then those that were waiting. The engine is empty afterwards.
// What the cache had cost until then is not counted as waste, because no
// decision about the cache lost it.
func (engine *Engine) Crash(now bvclock.Time) []CallID {
	engine.advanceThrough(float64(now))
	lost := make([]CallID, 0, len(engine.batch)+len(engine.waiting))
	for _, call := range engine.batch {
		lost = append(lost, call.ID)
	}
	for _, call := range engine.waiting {
		lost = append(lost, call.ID)
	}
	engine.waiting = nil
	engine.batch = nil
	engine.memory = 0
	engine.cache.clear()
	return lost
}

// Waste returns the wasted cache until now, that of prefixes which are still
// held for ended programs included.
func (engine *Engine) Waste(now bvclock.Time) Waste {
	engine.advanceThrough(float64(now))
	waste := engine.waste
	for element := engine.cache.byLastUse.Front(); element != nil; element = element.Next() {
		cached := element.Value.(*cachedPrefix)
		if cached.ended {
			waste.charge(cached, engine.now)
		}
	}
	return waste
}

// admit starts waiting calls while a slot and memory are free. The first one
// that does not fit holds the others back, so that a large call is not passed
// by small ones for ever.
func (engine *Engine) admit() {
	for len(engine.waiting) > 0 && len(engine.batch) < engine.config.Slots {
		call := engine.waiting[0]
		need := call.memory(engine.config.CacheTokens)
		if engine.memory+need > engine.config.CacheTokens {
			return
		}
		engine.waiting = engine.waiting[1:]
		engine.start(call, need)
	}
}

func (engine *Engine) start(call Call, memory int) {
	cached := engine.takeCached(call)
	engine.memory += memory
	engine.evict()
	toPrefill := float64(max(call.PromptTokens-cached, 0))
	engine.prefilled += toPrefill
	engine.recomputed += float64(max(call.PrefixTokens-cached, 0))
	engine.batch = append(engine.batch, &runningCall{Call: call, memory: memory, cached: cached, unprefilled: toPrefill})
	engine.emit(Event{Kind: Started, Call: call.ID, CachedTokens: cached, Salt: call.Salt, Prefix: call.Prefix})
}

// reuse takes a program's prefix out of the cache for a call that repeats it.
func (engine *Engine) takeCached(call Call) int {
	prefix := engine.cache.remove(call.key())
	if prefix == nil {
		return 0
	}
	cached := min(prefix.tokens, call.PrefixTokens, call.PromptTokens)
	if cached == 0 || prefix.ended {
		engine.waste.charge(prefix, engine.now)
	}
	return cached
}

func (engine *Engine) evict() {
	for engine.memory+engine.cache.tokens > engine.config.CacheTokens {
		prefix := engine.cache.removeLeastRecent()
		if prefix == nil {
			return
		}
		engine.waste.charge(prefix, engine.now)
		engine.emit(Event{Kind: Evicted, CachedTokens: prefix.tokens, Salt: prefix.salt, Prefix: prefix.prefix})
	}
}

// leave takes a call out of the batch and caches some tokens of its program.
func (engine *Engine) removeFromBatch(at int, tokens int) {
	call := engine.batch[at]
	engine.batch = slices.Delete(engine.batch, at, at+1)
	engine.memory -= call.memory
	tokens = min(tokens, call.memory)
	key := call.key()
	if old := engine.cache.get(key); old != nil && old.tokens >= tokens {
		return
	}
	if old := engine.cache.remove(key); old != nil {
		engine.waste.charge(old, engine.now)
	}
	if tokens == 0 || call.Prefix == "" {
		return
	}
	engine.cache.put(&cachedPrefix{prefixKey: key, tokens: tokens, cachedAt: engine.now, ended: call.programEnded, endedAt: engine.now})
	engine.evict()
}
