package bvmodel

import "balsamvalve.example/bvclock"

// CallID identifies a call within one Engine.
type CallID uint64

// Call is one request to a model.
type Call struct {
	ID           CallID
	Salt         string // member; prefixes of two salts are never shared
	Prefix       string // key of the program whose history the prompt repeats
	PromptTokens int    // whole prompt, history included
	PrefixTokens int    // of the prompt, the program's earlier history
	OutputTokens int
	Priority     int // higher goes first
}

func (call Call) key() prefixKey {
	return prefixKey{salt: call.Salt, prefix: call.Prefix}
}

// memory is what the call occupies from its start to its end.
func (call Call) memory(limit int) int {
	return min(call.PromptTokens+call.output(), limit)
}

func (call Call) output() int {
	return max(call.OutputTokens, 1)
}

// running is a call that occupies a slot. It is prefilled first and then
// decoded.
type running struct {
	Call
	memory   int
	cached   int
	prefill  float64 // tokens left to prefill
	decoding bool
	finishAt float64 // value of Engine.decoded at which the last token is out
	ended    bool    // its program ended while it ran
}

// decodedBy is how many tokens after the first one are out.
func (call *running) decodedBy(decoded float64) float64 {
	if !call.decoding {
		return 0
	}
	return float64(call.output()-1) - max(0, call.finishAt-decoded)
}

// kept is how many tokens of the prompt are certainly in the cache.
func (call *running) kept() int {
	if call.decoding {
		return call.PromptTokens
	}
	return call.cached
}

// Served is service of an engine, in tokens. It is fractional because the
// model is fluid.
type Served struct {
	Prefilled float64
	Decoded   float64
}

// Add returns the sum.
func (served Served) Add(other Served) Served {
	return Served{Prefilled: served.Prefilled + other.Prefilled, Decoded: served.Decoded + other.Decoded}
}

//go:generate stringer -type=EventKind -linecomment -output=eventkind_string.go

// EventKind is what happened in an engine.
type EventKind int

// The kinds of events.
const (
	Started    EventKind = iota // started
	FirstToken                  // first token
	Finished                    // finished
	Evicted                     // evicted
)

// Event is something that happened in an engine. At is rounded up to whole
// milliseconds.
type Event struct {
	At           bvclock.Time
	Kind         EventKind
	Call         CallID // 0 for Evicted
	CachedTokens int    // of the call's prompt; for Evicted the tokens lost
	OutputTokens int    // for Finished
	Salt         string
	Prefix       string
}
