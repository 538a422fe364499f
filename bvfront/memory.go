package bvfront

import "sync/atomic"

const (
	// callBytes is what each call takes beside its body: the buffers of both of its
	// connections, and the one between them.
	callBytes = 20 << 10
	// mostEventBytes bounds what is kept of a stream that is not handed on yet: an
	// event that does not end, or the output of a turn that is to be kept.
	mostEventBytes = 1 << 20
)

// memory bounds the bytes that calls hold for callers and endpoints together. A host
// that goes over its memory is killed with all its requests in flight. The zero value
// has no bound.
type memory struct {
	limit int64
	used  atomic.Int64
}

// take reports whether there is room for so many bytes, and counts them if so.
func (memory *memory) take(bytes int64) bool {
	used := memory.used.Add(bytes)
	if memory.limit > 0 && used > memory.limit {
		memory.used.Add(-bytes)
		return false
	}
	return true
}

func (memory *memory) give(bytes int64) { memory.used.Add(-bytes) }

// takeMemory takes memory until the call ends.
func (call *call) takeMemory(bytes int64) bool {
	if !call.front.memory.take(bytes) {
		return false
	}
	call.held += bytes
	return true
}

// holdStream takes memory for what is kept of the stream.
func (call *call) holdStream() error {
	kept := int64(len(call.stream.pending) + len(call.stream.data))
	if kept > mostEventBytes {
		return call.broken("an event of the stream is too large", nil)
	}
	grown := kept - call.streamHeld
	if grown <= 0 {
		return nil
	}
	if !call.takeMemory(grown) {
		return call.broken("no memory is left for the stream", nil)
	}
	call.streamHeld = kept
	return nil
}
