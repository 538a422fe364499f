package bvfront

import (
	"bytes"
)

// events splits a stream of server-sent events into whole events. An engine
// may stop in the middle of one; what is not whole is never handed on, so that
// a stream can be continued elsewhere after its last whole event.
type events struct {
	pending []byte
	lastID  string
	count   int
	fresh   int    // events that were not counted against the budget yet
	keep    bool   // whether data is collected
	data    []byte // of each event, each with a line feed behind it
}

var (
	fieldID   = []byte("id:")
	fieldData = []byte("data:")
)

// add takes in bytes and returns those that end whole events. The result is
// valid until the next call.
func (events *events) add(chunk []byte) []byte {
	events.pending = append(events.pending, chunk...)
	whole := 0
	for {
		length := eventLength(events.pending[whole:])
		if length == 0 {
			break
		}
		events.note(events.pending[whole : whole+length])
		whole += length
	}
	return events.pending[:whole]
}

// drop forgets what add returned.
func (events *events) drop(count int) {
	events.pending = events.pending[:copy(events.pending, events.pending[count:])]
}

// eventLength returns the length of the first event with its blank line, or 0.
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

// note reads an event's fields.
func (events *events) note(event []byte) {
	carries := false
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		if value, found := bytes.CutPrefix(line, fieldID); found {
			events.lastID = string(bytes.TrimPrefix(value, []byte{' '}))
		}
		if value, found := bytes.CutPrefix(line, fieldData); found {
			carries = true
			if events.keep {
				events.data = append(events.data, bytes.TrimPrefix(value, []byte{' '})...)
				events.data = append(events.data, '\n')
			}
		}
	}
	if carries {
		events.count++
		events.fresh++
	}
}
