package bvfleet

import (
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"balsamvalve.example/bvroute"
)

// unbounded stands for no bound on the number of parts: the bound is in tokens.
const unbounded = 1 << 30

// engine is a model engine's row.
type engine struct {
	spec    Engine
	id      string
	hash    uint64
	zone    int
	waiting []*call // by urgency, then arrival
	running []*call // in the order of their start

	parts  *simplelru.LRU[uint64, int] // tokens by key
	tokens int                         // of parts
	read   int                         // tokens, since the beginning
}

func newEngine(spec Engine, id string, hash uint64, zone int) *engine {
	engine := &engine{spec: spec, id: id, hash: hash, zone: zone}
	engine.parts, _ = simplelru.NewLRU(unbounded, func(_ uint64, tokens int) { engine.tokens -= tokens })
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

func (engine *engine) cancel(gone *call) {
	isGone := func(call *call) bool { return call == gone }
	engine.waiting = slices.DeleteFunc(engine.waiting, isGone)
	engine.running = slices.DeleteFunc(engine.running, isGone)
}

// step moves the engine by a millisecond and returns the calls that ended.
func (engine *engine) step() (ended []*call) {
	engine.admit()
	perToken := engine.spec.TokenTime + engine.spec.TokenTimePerCall*float64(len(engine.running))
	if engine.readPrompt() {
		perToken += float64(engine.spec.PrefillChunk) / engine.spec.PrefillRate
	}
	running := engine.running[:0]
	for _, call := range engine.running {
		if call.unread <= 0 {
			call.left -= 1 / perToken
		}
		if call.left <= 0 {
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
		call.unread = float64(call.request.PromptTokens - engine.cached(call.request.Prefix))
		engine.read += int(call.unread)
		engine.running = append(engine.running, call)
		engine.keep(call.request.Prefix)
	}
}

// readPrompt reads of the first prompt that is not read yet; it reports whether there
// was one.
func (engine *engine) readPrompt() bool {
	for _, call := range engine.running {
		if call.unread > 0 {
			call.unread -= engine.spec.PrefillRate
			return true
		}
	}
	return false
}

// cached returns how many tokens at the start of a prompt are in memory.
func (engine *engine) cached(prefix []bvroute.Part) int {
	tokens := 0
	for _, part := range prefix {
		if !engine.parts.Contains(part.Key) {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// keep notes the use of a prompt. The parts that were not used for longest yield.
func (engine *engine) keep(prefix []bvroute.Part) {
	for _, part := range slices.Backward(prefix) { // the first parts are wanted longest
		if !engine.parts.Contains(part.Key) {
			engine.tokens += part.Tokens
		}
		engine.parts.Add(part.Key, part.Tokens)
	}
	for engine.tokens > engine.spec.CacheTokens {
		engine.parts.RemoveOldest()
	}
}
