package bvgate

import (
	"cmp"
	"slices"

	"balsamvalve.example/bvclock"
)

// absence is how long no endpoint has been open. The zero value stands for
// none.
type absence struct {
	since bvclock.Time
	timer timer
	begun bool
}

func (absence *absence) ring(*Pool, bvclock.Time) {}

// refuseStranded refuses what waits when no endpoint has been open for longer
// than one needs to come back.
//
// It guards against callers that hang: when all endpoints of a model fail at
// once, nothing is granted any more and a request without a deadline would
// wait for ever. Told at once when to come back, its caller can do something
// else meanwhile.
func (pool *Pool) refuseStranded(now bvclock.Time) {
	absence := &pool.absence
	if pool.slots > 0 {
		absence.begun = false
		pool.stopTimer(&absence.timer)
		return
	}
	if !absence.begun {
		absence.begun = true
		absence.since = now
	}
	if len(pool.waiting) == 0 {
		pool.stopTimer(&absence.timer)
		return
	}
	until := absence.since.Add(noEndpointWait)
	if now.Before(until) {
		pool.setTimer(&absence.timer, until, absence)
		return
	}
	for _, stranded := range pool.inOrder() {
		pool.dequeue(stranded)
		pool.refuse(stranded.ID, overloaded(noEndpointWait, "no endpoint is open"))
	}
}

// inOrder returns the waiting requests as they came.
func (pool *Pool) inOrder() []*request {
	waiting := make([]*request, 0, len(pool.waiting))
	for _, queued := range pool.waiting {
		waiting = append(waiting, queued)
	}
	slices.SortFunc(waiting, func(a, b *request) int { return cmp.Compare(a.order, b.order) })
	return waiting
}
