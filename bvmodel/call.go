package bvmodel

import "balsamvalve.example/bvclock"

// CallID identifies a call within one Engine.
type CallID uint64

// Call is one request to a model.
type Call struct {
	ID           CallID
	Salt         string // member; calls of different salts never share cached prefixes
	Prefix       string // key of the program whose history starts the prompt
	PromptTokens int    // full prompt, history included
	PrefixTokens int    // part of the prompt that is the program's earlier history
	OutputTokens int
	Priority     int // higher runs first
}

func (call Call) key() prefixKey {
	return prefixKey{salt: call.Salt, prefix: call.Prefix}
}

// memory returns the tokens of cache memory that the call reserves from its start to
// its end.
func (call Call) memory(limit int) int {
	return min(call.PromptTokens+call.outputTokens(), limit)
}

func (call Call) outputTokens() int {
	return max(call.OutputTokens, 1)
}

// runningCall is a call that occupies a slot. It is prefilled first and then
// decoded.
type runningCall struct {
	Call
	reservedMemory int
	cached         int
	unprefilled    float64 // tokens
	decoding       bool
	finishDecoded  float64 // value of Engine.decoded at which the last token is generated
	programEnded   bool    // its program ended while it ran
}

// decodedTokens returns how many tokens after the first one have been generated.
func (call *runningCall) decodedTokens(decoded float64) float64 {
	if !call.decoding {
		return 0
	}
	return float64(call.outputTokens()-1) - max(0, call.finishDecoded-decoded)
}

// cachedPromptTokens returns a lower bound of the prompt's tokens in the cache.
func (call *runningCall) cachedPromptTokens() int {
	if call.decoding {
		return call.PromptTokens
	}
	return call.cached
}

// Service is work done by an engine, in tokens. It is fractional because the
// model is fluid.
type Service struct {
	Prefilled float64
	Decoded   float64
}

// Add returns the sum.
func (served Service) Add(other Service) Service {
	return Service{Prefilled: served.Prefilled + other.Prefilled, Decoded: served.Decoded + other.Decoded}
}

//go:generate stringer -type=EventKind -linecomment -output=eventkind_string.go

// EventKind is a kind of engine event.
type EventKind int

// The kinds of events.
const (
	Started    EventKind = iota // started
	FirstToken                  // first token
	Finished                    // finished
	Evicted                     // evicted
)

// Event is a state change in an engine. At is rounded up to whole milliseconds.
type Event struct {
	At           bvclock.Time
	Kind         EventKind
	Call         CallID // 0 for Evicted
	CachedTokens int    // of the call's prompt; for Evicted, the evicted tokens
	OutputTokens int    // for Finished
	Salt         string
	Prefix       string
}
