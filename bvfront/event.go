package bvfront

import (
	"bytes"
)

// eventSplitter splits a stream of server-sent events into complete events. An engine
// may stop in the middle of an event; incomplete events are never passed on, so that
// another endpoint can continue the stream after the last complete one.
type eventSplitter struct {
	pending []byte
	line    int // start of the first incomplete line in pending
	scanned int // bytes of pending in which line ends were searched
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

// add appends bytes of the stream and returns the events that are now complete, which must be
// discarded before the next call. The result is valid until then.
func (splitter *eventSplitter) add(chunk []byte) []byte {
	splitter.pending = append(splitter.pending, chunk...)
	complete := 0
	for {
		length := bytes.IndexByte(splitter.pending[splitter.scanned:], '\n')
		if length < 0 {
			break
		}
		line := splitter.pending[splitter.line : splitter.scanned+length]
		splitter.scanned += length + 1
		splitter.line = splitter.scanned
		if len(bytes.TrimSuffix(line, []byte{'\r'})) == 0 {
			splitter.parseEvent(splitter.pending[complete:splitter.line])
			complete = splitter.line
		}
	}
	splitter.scanned = len(splitter.pending)
	return splitter.pending[:complete]
}

// discard removes the bytes that add returned.
func (splitter *eventSplitter) discard(count int) {
	splitter.pending = splitter.pending[:copy(splitter.pending, splitter.pending[count:])]
	splitter.line -= count
	splitter.scanned -= count
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
