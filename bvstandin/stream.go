package bvstandin

import (
	"balsamvalve.example/bvmodel"
)

//go:generate stringer -type=streamState -linecomment -output=streamstate_string.go

// streamState is the state of a stream.
type streamState int

const (
	streamRunning  streamState = iota // running
	streamFinished                    // finished
	streamCanceled                    // canceled
	streamLost                        // lost
)

// cacheKey identifies a cached prefix.
type cacheKey struct{ salt, prefix string }

// stream is one call of an engine. The engine's mutex guards it.
type stream struct {
	id           string // chosen by the client; empty: it can't be resumed
	call         bvmodel.CallID
	key          cacheKey
	prompt       prompt
	tag          string // in every token but the first
	totalTokens  int    // tokens of the complete answer
	finishReason string
	poisoned     bool

	state          streamState
	producedTokens int
	cachedTokens   int
	readers        int
	totalReaders   int           // readers since the start
	changed        chan struct{} // closed at the next change
}

// notify wakes the readers.
func (stream *stream) notify() {
	close(stream.changed)
	stream.changed = make(chan struct{})
}

func (stream *stream) produce(tokens int) {
	if tokens <= stream.producedTokens {
		return
	}
	stream.producedTokens = min(tokens, stream.totalTokens)
	stream.notify()
}

func (stream *stream) end(state streamState) {
	stream.state = state
	stream.notify()
}

func (stream *stream) text() string {
	return answerText(stream.prompt.digest, stream.tag, stream.producedTokens)
}
