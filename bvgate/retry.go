package bvgate

import (
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvverdict"
)

const (
	// retryBudgetRatio is the work of a member's retries relative to that of its first
	// attempts. Without the limit, a failure of many calls multiplies the load when
	// there is the least capacity for it, and the overload outlasts its cause.
	retryBudgetRatio = 0.1
	// initialRetryCalls is the initial budget, in average calls. The budget grows at
	// most to the retry share of the work that the pool does in a retryWindow.
	initialRetryCalls = 20
	retryWindow       = bvclock.Minute
	// failureTTL is how long a failed call makes the next one with the same content a
	// retry, and maxFailures how many failed calls are remembered per member.
	failureTTL  = bvclock.Minute
	maxFailures = 4096
)

// retryBudget is a member's retry budget.
type retryBudget struct {
	spent     Work         // by retries
	earned    Work         // by first attempts
	updatedAt bvclock.Time // last recovery
	failedAt  map[uint64]bvclock.Time
	order     []uint64 // fingerprints in failedAt, oldest first
}

// recoveryRate is the work per millisecond that the budget regains without first
// attempts.
func (pool *Pool) recoveryRate() Work {
	return pool.callWork() * initialRetryCalls / Work(retryWindow)
}

// recoverBudget restores spent budget over time. A member whose few callers only retry
// failed calls earns nothing by first attempts: once spent, its budget would stay spent
// after the cause of the failures has ended. Only the time since the last first attempt
// counts.
func (pool *Pool) recoverBudget(now bvclock.Time, of *member) {
	budget := &of.retryBudget
	regained := pool.recoveryRate() * Work(now.Sub(budget.updatedAt))
	budget.updatedAt = now
	if budget.spent > budget.earned {
		budget.earned = min(budget.earned+regained, budget.spent)
	}
}

// retryBudgetLeft is the work that retries may still use.
func (pool *Pool) retryBudgetLeft(of *member) Work {
	return pool.callWork()*initialRetryCalls + of.retryBudget.earned - of.retryBudget.spent
}

// earnBudget adds the budget's part of the work of a first attempt.
func (pool *Pool) earnBudget(of *member, work Work) {
	of.retryBudget.earned += retryBudgetRatio * work
	// While first attempts earn budget, there is no recovery over time.
	of.retryBudget.updatedAt = max(of.retryBudget.updatedAt, pool.now)
	limit := of.retryBudget.spent + retryBudgetRatio*pool.rate()*Work(retryWindow)
	of.retryBudget.earned = min(of.retryBudget.earned, limit)
}

// isRetry reports whether the call was sent before: its owner states so, or a call with
// the same content failed recently.
func (pool *Pool) isRetry(now bvclock.Time, submitted *Request) bool {
	if submitted.Attempt > 0 {
		return true
	}
	at, ok := pool.member(submitted.Member).retryBudget.failedAt[submitted.Fingerprint]
	return ok && now.Sub(at) <= failureTTL
}

// rejectRetry returns why a retry is not queued, or nil.
func (pool *Pool) rejectRetry(now bvclock.Time, submitted *request) *bvverdict.Error {
	if !submitted.retry {
		return nil
	}
	pool.recoverBudget(now, submitted.member)
	left := pool.retryBudgetLeft(submitted.member)
	if submitted.estimate <= left {
		return nil
	}
	wait := float64((submitted.estimate - left) / max(retryBudgetRatio*pool.memberRate(now, submitted.member), pool.recoveryRate()))
	return errOverloaded(bvclock.Duration(wait), "retry budget of member %s is spent", submitted.Member)
}

// chargeRetryBudget records the work of a granted call in the retry budget.
func (pool *Pool) chargeRetryBudget(granted *request, work Work) {
	if granted.retry {
		granted.member.retryBudget.spent += work
		return
	}
	pool.earnBudget(granted.member, work)
}

// refundRetry returns the budget charged for a retry that did not run.
func (pool *Pool) refundRetry(ended *call) {
	if ended.retry {
		ended.member.retryBudget.spent -= ended.estimate
	}
}

// recordFailedCall remembers a call that may be retried.
func (pool *Pool) recordFailedCall(now bvclock.Time, failed *call) {
	fingerprint := failed.request.Fingerprint
	if fingerprint == 0 {
		return
	}
	budget := &failed.member.retryBudget
	if budget.failedAt == nil {
		budget.failedAt = make(map[uint64]bvclock.Time)
	}
	if _, ok := budget.failedAt[fingerprint]; !ok {
		budget.order = append(budget.order, fingerprint)
	}
	budget.failedAt[fingerprint] = now
	for len(budget.order) > maxFailures || now.Sub(budget.failedAt[budget.order[0]]) > failureTTL {
		delete(budget.failedAt, budget.order[0])
		budget.order = budget.order[1:]
	}
}
