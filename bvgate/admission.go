package bvgate

import (
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvverdict"
)

// Limits bound what waits. A zero field stands for its default.
type Limits struct {
	// Queue is how many requests of a member may wait; 4,096.
	MaxQueued int
	// Wait is the backlog, in time at the member's share, at which new
	// programs are turned away; 30 s. Programs under way are not, because
	// what they have been served already would be lost.
	MaxBacklog bvclock.Duration
}

const (
	defaultQueue = 4096
	defaultWait  = 30 * bvclock.Second
	minReturn    = 200 * bvclock.Millisecond
	// noEndpointWait is the expected wait while no endpoint is open.
	noEndpointWait = 5 * bvclock.Second
)

func (limits Limits) queue() int {
	if limits.MaxQueued == 0 {
		return defaultQueue
	}
	return limits.MaxQueued
}

func (limits Limits) wait() bvclock.Duration {
	if limits.MaxBacklog == 0 {
		return defaultWait
	}
	return limits.MaxBacklog
}

// SetLimits replaces the bounds of what waits.
func (pool *Pool) SetLimits(limits Limits) {
	pool.limits = limits
}

// reject returns why a request is not queued, or nil. It is decided at once: a
// caller that could not be served in time learns it while it can still go
// elsewhere, and a member's flood fills only its own queue.
func (pool *Pool) reject(now bvclock.Time, asked *request) *bvverdict.Error {
	wait := pool.wait(now, asked.member, asked.Priority, asked.level)
	if asked.Deadline != 0 {
		left := asked.Deadline.Sub(now)
		if left <= 0 {
			return bvverdict.Refuse(bvverdict.DeadlinePassed, "deadline has passed")
		}
		if wait > left {
			return overloaded(wait, "deadline is in %s, before the request's turn", left)
		}
	}
	if asked.member.queued >= pool.limits.queue() {
		return overloaded(wait, "queue of member %s is full", asked.Member)
	}
	if err := pool.rejectRepetition(now, asked); err != nil {
		return err
	}
	if asked.start {
		return pool.rejectStart(now, asked)
	}
	return nil
}

// starts reports whether the request begins a program.
func (queued *request) starts() bool {
	return queued.AttainedService == 0 && queued.HistoryEndpoint == "" && len(queued.program.sites) == 0
}

func overloaded(wait bvclock.Duration, reason string, args ...any) *bvverdict.Error {
	return bvverdict.Refuse(bvverdict.Overloaded, reason, args...).WithRetryAfter(max(wait, minReturn))
}
