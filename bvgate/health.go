package bvgate

import "balsamvalve.example/bvclock"

const (
	// ejectAfter is how many calls in a row must fail without a crash before
	// an endpoint is ejected: one silent connection says nothing of it.
	ejectAfter = 2
	firstEject = bvclock.Second
	lastEject  = bvclock.Minute
)

// health is what calls showed of an endpoint. An endpoint that fails is
// ejected for a growing, bounded time and then probed by one call at a time.
//
// It guards against an endpoint that accepts calls and answers none: it shows
// the fewest calls in flight, so that without ejection each failed call makes
// room for the next one there.
type health struct {
	failures  int // in a row
	ejections int // since the last success
	ejected   bool
	probing   bool
	ejectedAt bvclock.Time
	timer     timer
}

type healthAlarm struct{ endpoint *endpoint }

// judge learns from how a call ended.
func (pool *Pool) judge(now bvclock.Time, ended *call, outcome Outcome) {
	if ended.boot == nil || ended.boot != ended.boot.endpoint.boot {
		return
	}
	at := ended.boot.endpoint
	switch outcome {
	case Succeeded:
		pool.recover(at)
	case Crashed:
		pool.fail(now, ended, ejectAfter)
	case Silent, Refused:
		pool.fail(now, ended, 1)
	}
}

func (pool *Pool) recover(at *endpoint) {
	if at.health.ejected {
		return
	}
	at.health = health{}
	pool.seat(at)
}

// fail counts a failure. Calls from before the last ejection say nothing new.
func (pool *Pool) fail(now bvclock.Time, failed *call, count int) {
	at := failed.boot.endpoint
	health := &at.health
	if health.ejected || health.ejections > 0 && failed.grantedAt.Before(health.ejectedAt) {
		return
	}
	health.failures += count
	if health.failures < ejectAfter && !health.probing {
		return
	}
	health.ejected, health.probing, health.failures = true, false, 0
	health.ejectedAt = now
	away := min(firstEject<<min(health.ejections, 10), lastEject)
	health.ejections++
	pool.setTimer(&health.timer, now.Add(away), healthAlarm{at})
	pool.seat(at)
}

func (alarm healthAlarm) ring(pool *Pool, _ bvclock.Time) {
	alarm.endpoint.health.ejected = false
	alarm.endpoint.health.probing = true
	pool.seat(alarm.endpoint)
}

// rest starts the health of a new incarnation: it is probed if the old one
// failed, because an endpoint that crashes at each start looks new each time.
func (pool *Pool) rest(rebooted *endpoint) {
	pool.stopTimer(&rebooted.health.timer)
	ejections := rebooted.health.ejections
	rebooted.health = health{ejections: ejections, probing: ejections > 0}
}
