package bvfront

import (
	"net/http"
	"time"

	"balsamvalve.example/bvclock"
)

// deliveryGrace is how long after its deadline a caller may still read its answer.
const deliveryGrace = 5 * bvclock.Second

// setDeadlines limits how long a caller can hold memory by sending or reading slowly.
func (call *call) setDeadlines() {
	limit := defaultTimeout
	if call.metadata.Deadline > 0 {
		limit = min(limit, call.metadata.Deadline)
	}
	now := time.Now()
	connection := http.NewResponseController(call.writer)
	call.logDeadlineError(connection.SetWriteDeadline(now.Add((limit + deliveryGrace).Std())))
	if call.request.ContentLength != 0 {
		call.logDeadlineError(connection.SetReadDeadline(now.Add(limit.Std())))
	}
}

// endBody ends the wait for the rest of the body.
func (call *call) endBody() {
	call.logDeadlineError(http.NewResponseController(call.writer).SetReadDeadline(time.Unix(1, 0)))
}

// clearReadDeadline removes the read deadline when the body was read. If it passed
// while the caller waits for its answer, net/http would treat the caller as disconnected.
func (call *call) clearReadDeadline() {
	if call.request.ContentLength != 0 {
		call.logDeadlineError(http.NewResponseController(call.writer).SetReadDeadline(time.Time{}))
	}
}

// logDeadlineError logs that a deadline can't be set. The connection is then closed
// already, and the next read or write fails.
func (call *call) logDeadlineError(err error) {
	if err != nil {
		call.front.parts.Log.WithError(err).Debug("deadline of the caller's connection can't be set")
	}
}
