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
	return min(call.PromptTokens+call.outputTokens(), limit)
}

func (call Call) outputTokens() int {
	return max(call.OutputTokens, 1)
}

// running is a call that occupies a slot. It is prefilled first and then
// decoded.
type runningCall struct {
	Call
	memory        int
	cached        int
	unprefilled   float64 // tokens left to prefill
	decoding      bool
	finishDecoded float64 // value of Engine.decoded at which the last token is out
	programEnded  bool    // its program ended while it ran
}

// decodedBy is how many tokens after the first one are out.
func (call *runningCall) decodedTokens(decoded float64) float64 {
	if !call.decoding {
		return 0
	}
	return float64(call.outputTokens()-1) - max(0, call.finishDecoded-decoded)
}

// kept is how many tokens of the prompt are certainly in the cache.
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
