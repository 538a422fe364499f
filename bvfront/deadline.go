package bvfront

import (
	"net/http"
	"time"

	"balsamvalve.example/bvclock"
)

// lateDelivery is how long after its own time a caller may still take to read its
// answer.
const lateDelivery = 5 * bvclock.Second

// boundConnection bounds for how long a caller can hold memory by sending or reading
// slowly.
func (call *call) boundConnection() {
	limit := defaultTimeout
	if call.metadata.Deadline > 0 {
		limit = min(limit, call.metadata.Deadline)
	}
	now := time.Now()
	connection := http.NewResponseController(call.writer)
	call.logDeadline(connection.SetWriteDeadline(now.Add((limit + lateDelivery).Std())))
	if call.request.ContentLength != 0 {
		call.logDeadline(connection.SetReadDeadline(now.Add(limit.Std())))
	}
}

// endBody lifts the bound on the caller's sending. Past it, net/http would take a
// caller that waits for its answer for one that has left.
func (call *call) endBody() {
	if call.request.ContentLength != 0 {
		call.logDeadline(http.NewResponseController(call.writer).SetReadDeadline(time.Time{}))
	}
}

// logDeadline notes a connection that can't be bounded: it is closed already, and the
// next read or write fails.
func (call *call) logDeadline(err error) {
	if err != nil {
		call.front.parts.Log.WithError(err).Debug("caller's connection can't be bounded")
	}
}
