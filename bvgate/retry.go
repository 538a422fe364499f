package bvgate

import (
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvverdict"
)

const (
	// retryPart is the work that a member's repeated calls may add to that of
	// its first ones. Without it a failure that breaks many calls multiplies
	// the load just when there is less to carry it, and holds on after its
	// cause is gone.
	retryPart = 0.1
	// retryCalls is the budget, in usual calls, that is there from the start,
	// and retryWindow the time whose work it grows to at most.
	retryCalls  = 20
	retryWindow = bvclock.Minute
	// failedKept is how long a call that failed makes the next one of the
	// same content a repetition, and failedLimit how many of a member's.
	failedKept  = bvclock.Minute
	failedLimit = 4096
)

// retries is a member's retry budget.
type retries struct {
	spent  Work // by repeated calls
	earned Work // by first ones
	failed map[uint64]bvclock.Time
	order  []uint64 // fingerprints of failed, oldest first
}

// left is what repeated calls may still take.
func (pool *Pool) retriesLeft(of *member) Work {
	return pool.callWork()*retryCalls + of.retries.earned - of.retries.spent
}

// earn adds the budget's part of a first call.
func (pool *Pool) earn(of *member, work Work) {
	of.retries.earned += retryPart * work
	limit := of.retries.spent + retryPart*pool.rate()*Work(retryWindow)
	of.retries.earned = min(of.retries.earned, limit)
}

// repeats reports whether the call was sent before: as its owner says, or
// because one of the same content failed a moment ago.
func (pool *Pool) repeats(now bvclock.Time, asked *Request) bool {
	if asked.Attempt > 0 {
		return true
	}
	at, ok := pool.member(asked.Member).retries.failed[asked.Fingerprint]
	return ok && now.Sub(at) <= failedKept
}

// rejectRepetition returns why a repeated call is not queued, or nil.
func (pool *Pool) rejectRepetition(now bvclock.Time, asked *request) *bvverdict.Error {
	left := pool.retriesLeft(asked.member)
	if !asked.repeated || asked.estimate <= left {
		return nil
	}
	wait := float64(asked.estimate-left) / float64(retryPart*pool.memberRate(now, asked.member))
	return overloaded(bvclock.Duration(wait), "retry budget of member %s is spent", asked.Member)
}

// account books a granted call against the budget.
func (pool *Pool) account(granted *request, work Work) {
	if granted.repeated {
		granted.member.retries.spent += work
		return
	}
	pool.earn(granted.member, work)
}

// noteFailure remembers a call that may have to be repeated.
func (pool *Pool) noteFailure(now bvclock.Time, failed *call) {
	fingerprint := failed.request.Fingerprint
	if fingerprint == 0 {
		return
	}
	retries := &failed.member.retries
	if retries.failed == nil {
		retries.failed = make(map[uint64]bvclock.Time)
	}
	if _, ok := retries.failed[fingerprint]; !ok {
		retries.order = append(retries.order, fingerprint)
	}
	retries.failed[fingerprint] = now
	for len(retries.order) > failedLimit || now.Sub(retries.failed[retries.order[0]]) > failedKept {
		delete(retries.failed, retries.order[0])
		retries.order = retries.order[1:]
	}
}
