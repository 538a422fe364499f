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
	Priority  int
	Workspace string // "": of none
	// Standing is set, unless it is nil, if the workspace's share decides on a rejection.
	Standing *bvshare.Standing
}

// Admit reports whether a new program may begin. If not, it returns the time after
// which the caller should retry.
func (pool *Pool) Admit(now bvclock.Time, program NewProgram) (bvclock.Duration, bool) {
	if pool.disabled.Has(bvmechanism.Admission) || pool.hasRoom(now, program) {
		if program.Workspace != "" {
			pool.startedPrograms.add(now, program.Workspace)
		}
		return 0, true
	}
	return minRetryAfter + bvclock.Duration(pool.random.Int64N(int64(maxRetryAfter-minRetryAfter))), false
}

// hasRoom reports whether the load share is below the program's limit.
func (pool *Pool) hasRoom(now bvclock.Time, program NewProgram) bool {
	load := pool.loadShare(now)
	return load < pool.admissionLimit(now, program, load)
}

// admissionLimit returns the load share from which a new program is rejected; load is the present one.
func (pool *Pool) admissionLimit(now bvclock.Time, program NewProgram, load float64) float64 {
	limit := maxLoadShare
	if program.Priority == 0 {
		limit += urgentExtraShare
	}
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

// loadShare returns the number of calls as a share of the slots of all endpoints that
// accept new calls. It is 0 where there is none: calls that can't be served are refused
// when an endpoint is chosen. With many endpoints, it is estimated from a sample.
func (pool *Pool) loadShare(now bvclock.Time) float64 {
	load, slots := 0.0, 0.0
	add := func(row *endpoint) {
		if row.isOpen(now) {
			load += row.load(now)
			slots += row.slots()
		}
	}
	if len(pool.rows) <= loadSampleRows {
		for _, row := range pool.rows {
			add(row)
		}
	} else {
		for range loadSampleRows {
			add(pool.rows[pool.random.IntN(len(pool.rows))])
		}
	}
	if slots == 0 {
		return 0
	}
	return load / slots
}
