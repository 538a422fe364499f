package bvfront

import (
	"bytes"
)

// eventSplitter splits a stream of server-sent events into complete events. An engine
// may stop in the middle of an event; incomplete events are never passed on, so that
// another endpoint can continue the stream after the last complete one.
type eventSplitter struct {
	pending []byte
	lastID  string
	count   int
	unspent int    // events not yet counted against the budget
	collect bool   // collect data
	data    []byte // data lines of all events, each followed by a line feed
}

var (
	fieldID   = []byte("id:")
	fieldData = []byte("data:")
)

// add appends bytes of the stream and returns the events that are now complete. The
// result is valid until the next call.
func (splitter *eventSplitter) add(chunk []byte) []byte {
	splitter.pending = append(splitter.pending, chunk...)
	complete := 0
	for {
		length := eventLength(splitter.pending[complete:])
		if length == 0 {
			break
		}
		splitter.parseEvent(splitter.pending[complete : complete+length])
		complete += length
	}
	return splitter.pending[:complete]
}

// discard removes the bytes that add returned.
func (splitter *eventSplitter) discard(count int) {
	splitter.pending = splitter.pending[:copy(splitter.pending, splitter.pending[count:])]
}

// eventLength returns the length of the first event including its blank line, or 0 if it
// is incomplete.
func eventLength(stream []byte) int {
	start := 0
	for {
		at := bytes.IndexByte(stream[start:], '\n')
		if at < 0 {
			return 0
		}
		line := bytes.TrimSuffix(stream[start:start+at], []byte{'\r'})
		start += at + 1
		if len(line) == 0 {
			return start
		}
	}
}

// parseEvent records an event's fields.
func (splitter *eventSplitter) parseEvent(event []byte) {
	hasData := false
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		if value, found := bytes.CutPrefix(line, fieldID); found {
			splitter.lastID = string(bytes.TrimPrefix(value, []byte{' '}))
		}
		if value, found := bytes.CutPrefix(line, fieldData); found {
			hasData = true
			if splitter.collect {
				splitter.data = append(splitter.data, bytes.TrimPrefix(value, []byte{' '})...)
				splitter.data = append(splitter.data, '\n')
			}
		}
	}
	if hasData {
		splitter.count++
		splitter.unspent++
	}
}
