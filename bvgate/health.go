package bvgate

import "balsamvalve.example/bvclock"

const (
	// ejectAfterFailures is how many consecutive calls must fail without a crash before
	// an endpoint is ejected: one silent connection is no evidence of a failed
	// endpoint.
	ejectAfterFailures = 2
	minEjection        = bvclock.Second
	maxEjection        = bvclock.Minute
)

// health tracks the failures of calls to an endpoint. An endpoint that fails is ejected
// for an exponentially growing, bounded time and then probed by one call at a time.
//
// It guards against an endpoint that accepts calls and answers none. Such an endpoint
// has the fewest calls in flight, so that without ejection each call that times out
// would be followed by another one there.
type health struct {
	failures  int // consecutive
	ejections int // since the last success
	ejected   bool
	probing   bool
	ejectedAt bvclock.Time
	timer     timer
}

type ejectionExpiry struct{ endpoint *endpoint }

// updateHealth records the outcome of a call in its endpoint's health.
func (pool *Pool) updateHealth(now bvclock.Time, ended *call, outcome Outcome) {
	if ended.incarnation == nil || ended.incarnation != ended.incarnation.endpoint.incarnation {
		return
	}
	target := ended.incarnation.endpoint
	switch outcome {
	case Succeeded:
		pool.recordSuccess(target)
	case Crashed:
		pool.recordFailure(now, ended, ejectAfterFailures)
	case Silent, Refused:
		pool.recordFailure(now, ended, 1)
	}
}

func (pool *Pool) recordSuccess(target *endpoint) {
	if target.health.ejected {
		return
	}
	target.health = health{}
	pool.refreshEndpoint(target)
}

// recordFailure counts a failure. Calls granted before the last ejection don't count:
// their failures are not new evidence.
func (pool *Pool) recordFailure(now bvclock.Time, failed *call, count int) {
	target := failed.incarnation.endpoint
	health := &target.health
	if health.ejected || health.ejections > 0 && failed.grantedAt.Before(health.ejectedAt) {
		return
	}
	health.failures += count
	if health.failures < ejectAfterFailures && !health.probing {
		return
	}
	health.ejected, health.probing, health.failures = true, false, 0
	health.ejectedAt = now
	ejection := min(minEjection<<min(health.ejections, 10), maxEjection)
	health.ejections++
	pool.setTimer(&health.timer, now.Add(ejection), ejectionExpiry{target})
	pool.refreshEndpoint(target)
}

func (expiry ejectionExpiry) fire(pool *Pool, _ bvclock.Time) {
	expiry.endpoint.health.ejected = false
	expiry.endpoint.health.probing = true
	pool.refreshEndpoint(expiry.endpoint)
}

// resetHealth starts the health of a new incarnation. It is probed if the old one had
// failed, because an endpoint that crashes after each start has a new incarnation each
// time.
func (pool *Pool) resetHealth(restarted *endpoint) {
	pool.stopTimer(&restarted.health.timer)
	ejections := restarted.health.ejections
	restarted.health = health{ejections: ejections, probing: ejections > 0}
}
