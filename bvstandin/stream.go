package bvstandin

import (
	"balsamvalve.example/bvmodel"
)

//go:generate stringer -type=streamState -linecomment -output=streamstate_string.go

// streamState is how far a stream has come.
type streamState int

const (
	streamRunning  streamState = iota // running
	streamFinished                    // finished
	streamCanceled                    // canceled
	streamLost                        // lost
)

// cacheKey names a cached prefix.
type cacheKey struct{ salt, prefix string }

// stream is one call of an engine. The engine's mutex guards it.
type stream struct {
	id       string // chosen by the client; empty: it can't be resumed
	call     bvmodel.CallID
	key      cacheKey
	prompt   prompt
	tag      string // in every token but the first
	total    int    // tokens of the whole answer
	finish   string
	poisoned bool

	state    streamState
	produced int
	cached   int
	readers  int
	readings int           // connections that have read the stream so far
	changed  chan struct{} // closed at the next change
}

// notify wakes the readers.
func (stream *stream) notify() {
	close(stream.changed)
	stream.changed = make(chan struct{})
}

func (stream *stream) produce(tokens int) {
	if tokens <= stream.produced {
		return
	}
	stream.produced = min(tokens, stream.total)
	stream.notify()
}

func (stream *stream) end(state streamState) {
	stream.state = state
	stream.notify()
}

func (stream *stream) text() string {
	return answerText(stream.prompt.digest, stream.tag, stream.produced)
}
