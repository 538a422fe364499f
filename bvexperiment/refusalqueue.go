package bvexperiment

import (
	"cmp"
	"slices"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgate"
)

// queueKey identifies requests that are accepted or refused alike: policies refuse
// new programs and accept the calls of programs that have started.
type queueKey struct {
	member        string
	startsProgram bool
}

// refusalQueue computes when a refused request would have been accepted if it had
// queued behind the requests that were refused before it: as soon as one request
// more than were ahead of it has been accepted since its refusal.
type refusalQueue struct {
	waiting    map[bvgate.RequestID]bool // refused, and neither accepted nor abandoned since
	acceptedAt []bvclock.Time
	refusals   []refusal
}

// refusal is the first refusal of a request.
type refusal struct {
	refusedAt      bvclock.Time
	retryAfter     bvclock.Duration
	ahead          int
	acceptedBefore int // requests accepted before
}

// add adds the next request. Requests must be added in order of submission.
func (queue *refusalQueue) add(submission submission) {
	if !submission.refused {
		queue.acceptedAt = append(queue.acceptedAt, submission.submittedAt)
		delete(queue.waiting, submission.call)
		return
	}
	if submission.retryAfter > 0 && !queue.waiting[submission.call] {
		queue.refusals = append(queue.refusals, refusal{
			refusedAt: submission.refusedAt, retryAfter: submission.retryAfter, ahead: len(queue.waiting), acceptedBefore: len(queue.acceptedAt),
		})
	}
	queue.waiting[submission.call] = true
	if submission.gaveUp {
		delete(queue.waiting, submission.call)
	}
}

func (queue *refusalQueue) acceptanceTime(refusal refusal) (bvclock.Time, bool) {
	at := refusal.acceptedBefore + refusal.ahead
	if at >= len(queue.acceptedAt) {
		return 0, false
	}
	return queue.acceptedAt[at], true
}

func sortedQueueKeys(queues map[queueKey]*refusalQueue) []queueKey {
	keys := make([]queueKey, 0, len(queues))
	for key := range queues {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b queueKey) int {
		return cmp.Or(cmp.Compare(a.member, b.member), compareBools(a.startsProgram, b.startsProgram))
	})
	return keys
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
