package bvdispatch

import (
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvmechanism"
	"balsamvalve.example/bvshare"
)

// Admission control for new programs, for load beyond what the engines can serve in time.
// Calls slow each other down, so more of them are in flight at once and the overload
// outlasts the surge that caused it. A program is rejected before its first turn, when no
// work is lost yet; programs that have started continue.
const (
	// maxLoadShare is the number of calls, as a share of the engines' slots, from which
	// new programs of the less urgent routes are rejected. A few calls beyond the slots
	// wait little longer than their prompts take to be read.
	maxLoadShare = 1.2
	// urgentExtraShare is added to the limit for the most urgent routes, which reserves
	// capacity for their programs.
	urgentExtraShare = 0.10
	// minRetryAfter and maxRetryAfter bound the time after which a rejected caller should
	// retry. It is drawn at random between them, so that rejected callers do not all
	// retry at once.
	minRetryAfter = 300 * bvclock.Millisecond
	maxRetryAfter = 900 * bvclock.Millisecond
)

// NewProgram is a program that asks for admission.
type NewProgram struct {
	Timed // what its caller states

	Priority  int
	Workspace string // "": of none
	// Standing is set, unless it is nil, if the workspace's share decides on a rejection.
	Standing *bvshare.Standing
}

// Admit reports whether a new program may begin. If not, it returns the time after
// which the caller should retry.
func (pool *Pool) Admit(now bvclock.Time, program NewProgram) (bvclock.Duration, bool) {
	admission := pool.Decide(now, program)
	return admission.RetryAfter, admission.Admitted
}

// Decide decides whether a new program may begin, as Admit does, and returns the inputs too.
func (pool *Pool) Decide(now bvclock.Time, program NewProgram) Admission {
	var admission Admission
	if admission.Admitted = pool.disabled.Has(bvmechanism.Admission); !admission.Admitted {
		admission = pool.admissionByTime(now, program)
		admission.Limit = pool.admissionLimit(now, program, admission.Limit, admission.Projected)
		admission.Admitted = admission.Projected < admission.Limit
	}
	if !admission.Admitted {
		admission.RetryAfter = pool.retryAfter(now, program)
		return admission
	}
	pool.controller.RecordStart(now)
	if program.Workspace != "" {
		pool.startedPrograms.add(now, program.Workspace)
	}
	return admission
}

// randomRetryAfter draws the time after which a rejected caller should retry.
func (pool *Pool) randomRetryAfter() bvclock.Duration {
	return minRetryAfter + bvclock.Duration(pool.random.Int64N(int64(maxRetryAfter-minRetryAfter)))
}

// fixedLimit returns the load share from which a new program is rejected whatever its
// workspace and its deadline.
func fixedLimit(program NewProgram) float64 {
	if program.Priority == 0 {
		return maxLoadShare + urgentExtraShare
	}
	return maxLoadShare
}

// admissionLimit returns the load share from which a new program is rejected, given the limit
// for a program without a workspace and the present load share.
func (pool *Pool) admissionLimit(now bvclock.Time, program NewProgram, limit, load float64) float64 {
	if program.Workspace == "" || pool.disabled.Has(bvmechanism.Fairness) {
		return limit
	}
	if shareLimit, decided := pool.shareLimit(now, program, limit, load); decided {
		return shareLimit
	}
	if dominant, found := pool.startedPrograms.dominant(now); found && dominant != program.Workspace {
		limit += othersExtraShare
	}
	return limit
}

// loadShare returns the number of calls as a share of the slots, weighted by speed, of all
// endpoints that accept new calls. It is 0 where there is none: calls that can't be served
// are refused when an endpoint is chosen. With many endpoints, it is estimated from a sample.
func (pool *Pool) loadShare(now bvclock.Time) float64 {
	capacity, _ := pool.sampleCapacity(now)
	if capacity.Slots == 0 {
		return 0
	}
	return capacity.Calls / capacity.Slots
}
