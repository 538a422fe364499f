// Package bvmodel is a small model of a model engine with continuous batching,
// in virtual time.
//
// The model is fluid, with fractional tokens: prompts are prefilled one at a time
// at a fixed rate, by priority and then by arrival; all prefilled calls are decoded
// concurrently, each at a rate that falls with the number of calls in the batch.
// Memory holds the KV cache of running calls and, in the remaining space, the
// prefixes of programs whose last call ended here, of which the least recently
// used is evicted first. Prefixes are salted with the member, so that no member's
// call ever uses another member's cache.
//
// An Engine has no clock and starts no goroutines: the caller passes the time.
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

// arithmeticError bounds the floating-point error in tokens and milliseconds.
const arithmeticError = 1e-6

// Defaults of Config.
const (
	defaultSlots          = 16
	defaultCacheTokens    = 200_000
	defaultPrefillTokens  = 8000
	defaultDecodeTokens   = 60
	millisecondsPerSecond = 1000
)

// Config describes an engine. A zero field selects its default.
type Config struct {
	Slots                  int     // maximum calls in the batch; 16
	CacheTokens            int     // memory for KV cache; 200,000
	PrefillTokensPerSecond float64 // of the engine; 8,000
	DecodeTokensPerSecond  float64 // of a call that is alone in the batch; 60
	// Slowdown is the increase of the time between two tokens of every call for
	// each further call in the batch, as a fraction of that time for a call alone.
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
	config           Config
	now              float64
	waiting          []Call         // by priority, then by arrival
	batch            []*runningCall // in order of start
	decoded          float64        // tokens of an imaginary call that has been decoding since time 0
	reservedMemory   int            // tokens reserved by the batch
	cache            prefixCache
	waste            Waste
	prefilledTokens  float64             // tokens
	recomputedTokens float64             // prefilled tokens that were history no longer in the cache
	service          map[string]*Service // by salt
	events           []Event
}

// New returns an idle engine with an empty cache.
func New(config Config) *Engine {
	return &Engine{config: config.withDefaults()}
}

// Submit adds a call. The time must not be before that of the last method call.
// The next Advance returns events that are due.
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

// Advance moves the engine to a time and returns the events since the last
// Advance, in order.
func (engine *Engine) Advance(now bvclock.Time) []Event {
	engine.advanceThrough(float64(now))
	events := engine.events
	engine.events = nil
	return events
}

// Next returns the time of the next event, or of the earliest one that Advance has
// not returned yet.
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

// Cancel removes a waiting or running call and reports whether it was found. The
// tokens that a running call has cached so far stay cached.
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

// Release drops a program's cached prefix. It does not affect running calls.
func (engine *Engine) Release(now bvclock.Time, salt, prefix string) {
	engine.advanceThrough(float64(now))
	cached := engine.cache.remove(prefixKey{salt, prefix})
	if cached == nil {
		return
	}
	engine.waste.charge(cached, engine.now)
	engine.admit()
}

// EndProgram marks a program as ended. This affects only the count of wasted
// cache; a real engine does not receive this information.
func (engine *Engine) EndProgram(now bvclock.Time, salt, prefix string) {
	engine.advanceThrough(float64(now))
	key := prefixKey{salt, prefix}
	for _, call := range engine.batch {
		if call.key() == key {
			call.programEnded = true
		}
	}
	cached := engine.cache.get(key)
	if cached == nil || cached.programEnded {
		return
	}
	cached.programEnded = true
	cached.programEndedAt = engine.now
}

// Crash discards all calls and the entire cache, and returns first the calls that
// were running and then those that were waiting. The engine is empty afterwards.
// The discarded cache is not counted as waste, because it was not lost by a cache
// decision.
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
	engine.reservedMemory = 0
	engine.cache.clear()
	return lost
}

// Waste returns the wasted cache until now, including prefixes that are still
// cached for ended programs.
func (engine *Engine) Waste(now bvclock.Time) Waste {
	engine.advanceThrough(float64(now))
	waste := engine.waste
	for element := engine.cache.byLastUse.Front(); element != nil; element = element.Next() {
		cached := element.Value.(*cachedPrefix)
		if cached.programEnded {
			waste.charge(cached, engine.now)
		}
	}
	return waste
}

// admit starts waiting calls while a slot and memory are free. The first call that
// does not fit blocks those behind it, so that small calls cannot overtake a large
// one indefinitely.
func (engine *Engine) admit() {
	for len(engine.waiting) > 0 && len(engine.batch) < engine.config.Slots {
		call := engine.waiting[0]
		need := call.memory(engine.config.CacheTokens)
		if engine.reservedMemory+need > engine.config.CacheTokens {
			return
		}
		engine.waiting = engine.waiting[1:]
		engine.start(call, need)
	}
}

func (engine *Engine) start(call Call, memory int) {
	cached := engine.takeCached(call)
	engine.reservedMemory += memory
	engine.evict()
	toPrefill := float64(max(call.PromptTokens-cached, 0))
	engine.prefilledTokens += toPrefill
	engine.recomputedTokens += float64(max(call.PrefixTokens-cached, 0))
	engine.batch = append(engine.batch, &runningCall{Call: call, reservedMemory: memory, cached: cached, unprefilled: toPrefill})
	engine.emit(Event{Kind: Started, Call: call.ID, CachedTokens: cached, Salt: call.Salt, Prefix: call.Prefix})
}

// takeCached removes a program's prefix from the cache for a call that reuses it,
// and returns how many tokens of the prompt it covers.
func (engine *Engine) takeCached(call Call) int {
	prefix := engine.cache.remove(call.key())
	if prefix == nil {
		return 0
	}
	cached := min(prefix.tokens, call.PrefixTokens, call.PromptTokens)
	if cached == 0 || prefix.programEnded {
		engine.waste.charge(prefix, engine.now)
	}
	return cached
}

func (engine *Engine) evict() {
	for engine.reservedMemory+engine.cache.tokens > engine.config.CacheTokens {
		prefix := engine.cache.removeLeastRecent()
		if prefix == nil {
			return
		}
		engine.waste.charge(prefix, engine.now)
		engine.emit(Event{Kind: Evicted, CachedTokens: prefix.tokens, Salt: prefix.salt, Prefix: prefix.prefix})
	}
}

// removeFromBatch removes a call from the batch and caches the given number of its
// tokens.
func (engine *Engine) removeFromBatch(at int, tokens int) {
	call := engine.batch[at]
	engine.batch = slices.Delete(engine.batch, at, at+1)
	engine.reservedMemory -= call.reservedMemory
	tokens = min(tokens, call.reservedMemory)
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
	engine.cache.put(&cachedPrefix{prefixKey: key, tokens: tokens, cachedAt: engine.now, programEnded: call.programEnded, programEndedAt: engine.now})
	engine.evict()
}
