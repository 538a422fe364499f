package bvfront

import "sync/atomic"

const (
	// callBytes is the memory of a call apart from its body: the buffers of its two
	// connections, and the one for copying between them.
	callBytes = 20 << 10
	// maxEventBytes bounds the buffered parts of a stream: an incomplete event, and the
	// output of a turn that will be persisted.
	maxEventBytes = 1 << 20
)

// memory bounds the bytes that all calls hold together, for callers and endpoints. A host
// that exceeds its memory limit is killed, together with all its requests in flight. The
// zero value has no bound.
type memory struct {
	limit int64
	used  atomic.Int64
}

// acquire counts the bytes and returns true if they fit within the limit.
func (memory *memory) acquire(bytes int64) bool {
	used := memory.used.Add(bytes)
	if memory.limit > 0 && used > memory.limit {
		memory.used.Add(-bytes)
		return false
	}
	return true
}

func (memory *memory) release(bytes int64) { memory.used.Add(-bytes) }

// acquireMemory acquires memory that is released when the call ends.
func (call *call) acquireMemory(bytes int64) bool {
	if !call.front.memory.acquire(bytes) {
		return false
	}
	call.heldBytes += bytes
	return true
}

// acquireStreamMemory acquires memory for the buffered parts of the stream.
func (call *call) acquireStreamMemory() error {
	buffered := int64(len(call.stream.pending) + len(call.stream.data))
	if buffered > maxEventBytes {
		return call.brokenAnswerError("an event of the stream is too large", nil)
	}
	grown := buffered - call.streamBytes
	if grown <= 0 {
		return nil
	}
	if !call.acquireMemory(grown) {
		return call.brokenAnswerError("no memory is left for the stream", nil)
	}
	call.streamBytes = buffered
	return nil
}
