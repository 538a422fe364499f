package bvgate

import (
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvverdict"
)

// Limits bound the waiting requests of each member. A zero field stands for its
// default.
type Limits struct {
	// MaxQueued is how many requests of a member may wait; 4,096.
	MaxQueued int
	// MaxBacklog is the backlog, as time at the member's share, above which new
	// programs are rejected; 30 s. Running programs are not rejected, because the work
	// already spent on them would be lost.
	MaxBacklog bvclock.Duration
}

const (
	defaultMaxQueued  = 4096
	defaultMaxBacklog = 30 * bvclock.Second
	minRetryAfter     = 200 * bvclock.Millisecond
	// noEndpointWait is the estimated wait while no endpoint is open.
	noEndpointWait = 5 * bvclock.Second
)

func (limits Limits) maxQueued() int {
	if limits.MaxQueued == 0 {
		return defaultMaxQueued
	}
	return limits.MaxQueued
}

func (limits Limits) maxBacklog() bvclock.Duration {
	if limits.MaxBacklog == 0 {
		return defaultMaxBacklog
	}
	return limits.MaxBacklog
}

// SetLimits replaces the limits.
func (pool *Pool) SetLimits(limits Limits) {
	pool.limits = limits
}

// reject returns why a request is not queued, or nil. The decision is immediate: a
// caller that can't be served in time can still use another service, and a member's
// flood fills only that member's queue.
func (pool *Pool) reject(now bvclock.Time, submitted *request) *bvverdict.Error {
	wait := pool.estimateWait(now, submitted.member, submitted.Priority, submitted.level)
	if submitted.Deadline != 0 {
		left := submitted.Deadline.Sub(now)
		if left <= 0 {
			return bvverdict.Refuse(bvverdict.DeadlinePassed, "deadline has passed")
		}
		if wait > left {
			return errOverloaded(wait, "deadline in %s is before the estimated start", left)
		}
	}
	if submitted.member.queued >= pool.limits.maxQueued() {
		return errOverloaded(wait, "queue of member %s is full", submitted.Member)
	}
	if err := pool.rejectRetry(now, submitted); err != nil {
		return err
	}
	if submitted.newProgram {
		return pool.rejectNewProgram(now, submitted)
	}
	return nil
}

// isNewProgram reports whether the request is the first of its program.
func (queued *request) isNewProgram() bool {
	return queued.AttainedService == 0 && queued.HistoryEndpoint == "" && len(queued.program.prefixes) == 0
}

func errOverloaded(wait bvclock.Duration, reason string, args ...any) *bvverdict.Error {
	return bvverdict.Refuse(bvverdict.Overloaded, reason, args...).WithRetryAfter(max(wait, minRetryAfter))
}
