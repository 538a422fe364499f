package bvgate

import (
	"cmp"
	"slices"

	"balsamvalve.example/bvclock"
)

// outage tracks how long no endpoint has been open. The zero value means that there is
// no outage.
type outage struct {
	since  bvclock.Time
	timer  timer
	active bool
}

func (outage *outage) fire(*Pool, bvclock.Time) {}

// refuseDuringOutage refuses all waiting requests when no endpoint has been open for
// noEndpointWait, the time in which a restarted endpoint is expected to return.
//
// It guards against callers that hang: when all endpoints of a model fail at once,
// nothing is granted, and a request without a deadline would wait indefinitely. With a
// prompt refusal and a retry time, its caller can do other work meanwhile.
func (pool *Pool) refuseDuringOutage(now bvclock.Time) {
	outage := &pool.outage
	if pool.slots > 0 {
		outage.active = false
		pool.stopTimer(&outage.timer)
		return
	}
	if !outage.active {
		outage.active = true
		outage.since = now
	}
	if len(pool.waiting) == 0 {
		pool.stopTimer(&outage.timer)
		return
	}
	until := outage.since.Add(noEndpointWait)
	if now.Before(until) {
		pool.setTimer(&outage.timer, until, outage)
		return
	}
	for _, queued := range pool.waitingInOrder() {
		pool.dequeue(queued)
		pool.refuse(queued.ID, errOverloaded(noEndpointWait, "no endpoint is open"))
	}
}

// waitingInOrder returns the waiting requests in order of arrival.
func (pool *Pool) waitingInOrder() []*request {
	waiting := make([]*request, 0, len(pool.waiting))
	for _, queued := range pool.waiting {
		waiting = append(waiting, queued)
	}
	slices.SortFunc(waiting, func(a, b *request) int { return cmp.Compare(a.sequence, b.sequence) })
	return waiting
}
