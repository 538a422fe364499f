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
	spent  Work         // by repeated calls
	earned Work         // by first ones
	at     bvclock.Time // of the last recovery
	failed map[uint64]bvclock.Time
	order  []uint64 // fingerprints of failed, oldest first
}

// recovery is what the budget regains a millisecond without any first calls.
func (pool *Pool) recovery() Work {
	return pool.callWork() * retryCalls / Work(retryWindow)
}

// regain pays back with time what repeated calls have spent. A member whose
// few callers all repeat what failed earns nothing by first calls: without
// this its budget, once spent, would stay so after the cause is gone. Only the
// time since the last first call counts.
func (pool *Pool) regain(now bvclock.Time, of *member) {
	retries := &of.retries
	regained := pool.recovery() * Work(now.Sub(retries.at))
	retries.at = now
	if retries.spent > retries.earned {
		retries.earned = min(retries.earned+regained, retries.spent)
	}
}

// left is what repeated calls may still take.
func (pool *Pool) retriesLeft(of *member) Work {
	return pool.callWork()*retryCalls + of.retries.earned - of.retries.spent
}

// earn adds the budget's part of a first call.
func (pool *Pool) earn(of *member, work Work) {
	of.retries.earned += retryPart * work
	of.retries.at = max(of.retries.at, pool.now) // what first calls earn is enough
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
	if !asked.repeated {
		return nil
	}
	pool.regain(now, asked.member)
	left := pool.retriesLeft(asked.member)
	if asked.estimate <= left {
		return nil
	}
	wait := float64((asked.estimate - left) / max(retryPart*pool.memberRate(now, asked.member), pool.recovery()))
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

// refund gives back what a repeated call took that was not run after all.
func (pool *Pool) refund(ended *call) {
	if ended.repeated {
		ended.member.retries.spent -= ended.estimate
	}
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
