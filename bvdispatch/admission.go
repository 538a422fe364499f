package bvdispatch

import (
	"balsamvalve.example/bvadmission"
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvmechanism"
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
	// maxCountedAge is the age at which an endpoint counts with its full weight as one whose
	// calls are unknown.
	maxCountedAge = 2 * bvclock.Second
)

// NewProgram is a program that asks for admission.
type NewProgram = bvadmission.Program

// Admission is the decision on a new program, with its inputs.
type Admission struct {
	bvadmission.Decision
	Capacity bvadmission.Capacity
}

// Admit reports whether a new program may begin. If not, it returns the time after
// which the caller should retry.
func (pool *Pool) Admit(now bvclock.Time, program NewProgram) (bvclock.Duration, bool) {
	admission := pool.Decide(now, program)
	return admission.RetryAfter, admission.Admitted
}

// Decide decides whether a new program may begin, as Admit does, and returns the inputs too.
func (pool *Pool) Decide(now bvclock.Time, program NewProgram) Admission {
	capacity := pool.Capacity(now)
	admission := Admission{pool.admissionByTime(now, program, capacity), capacity}
	admission.Limit = pool.admissionLimit(now, program, admission.Limit)
	admission.Admitted = pool.disabled.Has(bvmechanism.Admission) || admission.Projected < admission.Limit
	if !admission.Admitted {
		admission.RetryAfter = pool.retryAfter(now, program)
		return admission
	}
	admission.Reason = bvadmission.HasCapacity
	pool.controller.RecordStart(now)
	if program.Workspace != "" {
		pool.startedPrograms.add(now, program.Workspace)
	}
	return admission
}

// retryAfter returns the time after which the caller of a rejected program should retry.
func (pool *Pool) retryAfter(now bvclock.Time, program NewProgram) bvclock.Duration {
	if pool.admitsByTime(program) && !pool.disabled.Has(bvmechanism.Returns) {
		return pool.controller.RetryAfter(now, program)
	}
	return minRetryAfter + bvclock.Duration(pool.random.Int64N(int64(maxRetryAfter-minRetryAfter)))
}

// admitsByTime reports whether the program's deadline decides on its admission.
func (pool *Pool) admitsByTime(program NewProgram) bool {
	return program.HasDeadline() && pool.reportsPace && !pool.disabled.Has(bvmechanism.Deadlines)
}

// admissionByTime decides by the program's deadline where it has one and the endpoints
// report a pace, else by the fixed limit.
func (pool *Pool) admissionByTime(now bvclock.Time, program NewProgram, capacity bvadmission.Capacity) bvadmission.Decision {
	if pool.admitsByTime(program) {
		return pool.controller.Admit(now, program, capacity)
	}
	decision := bvadmission.Decision{Reason: bvadmission.FixedLoadLimit, Projected: capacity.LoadShare(), Limit: maxLoadShare}
	if program.Priority == 0 {
		decision.Limit += urgentExtraShare
	}
	return decision
}

// IsByTime reports whether the program's deadline decided.
func (admission *Admission) IsByTime() bool { return admission.Reason == bvadmission.CannotEndInTime }

// RecordPace records that an endpoint of the service has reported a pace.
func (pool *Pool) RecordPace() { pool.reportsPace = true }

// RecordTurn records a turn that has ended, for the decisions on new programs.
func (pool *Pool) RecordTurn(now bvclock.Time, turn bvadmission.Turn) {
	if pool.reportsPace && !pool.disabled.Has(bvmechanism.Deadlines) {
		pool.controller.RecordTurn(now, turn)
	}
}

// IsOverdue reports whether a turn comes so late that its program is of no use to
// its caller.
func (pool *Pool) IsOverdue(route string, timeLeft bvclock.Duration) bool {
	return pool.reportsPace && !pool.disabled.Has(bvmechanism.Deadlines) && pool.controller.IsOverdue(route, timeLeft)
}

// IsOverdue reports whether a turn of a service comes so late that its program is of
// no use to its caller.
func (dispatcher *Dispatcher) IsOverdue(service, route string, timeLeft bvclock.Duration) bool {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	return dispatcher.pool(service).IsOverdue(route, timeLeft)
}

// recordTurn records a call that was a turn of a program with a deadline, if it was served.
func (dispatcher *Dispatcher) recordTurn(service string, request *Request, result Result) {
	if request.ProgramEnd == 0 || result.Outcome != Served {
		return
	}
	now := dispatcher.clock.Now()
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	dispatcher.pool(service).RecordTurn(now, bvadmission.Turn{
		EngineTime:   result.Duration,
		OutputTokens: result.OutputTokens,
		LoadShare:    request.LoadShare,
		TimeLeft:     request.ProgramEnd.Sub(now),
	})
}

// admissionLimit returns the load share from which a new program is rejected, given the limit
// without regard to its workspace.
func (pool *Pool) admissionLimit(now bvclock.Time, program NewProgram, limit float64) float64 {
	if program.Workspace == "" || pool.disabled.Has(bvmechanism.Fairness) {
		return limit
	}
	if dominant, found := pool.startedPrograms.dominant(now); found && dominant != program.Workspace {
		limit += othersExtraShare
	}
	return limit
}

// loadShare returns the number of calls as a share of the slots of all endpoints that
// accept new calls. It is 0 where there is none: calls that can't be served are refused
// when an endpoint is chosen.
func (pool *Pool) loadShare(now bvclock.Time) float64 { return pool.Capacity(now).LoadShare() }

// Capacity returns the calls and the slots of all endpoints that accept new calls. With many
// endpoints, it is estimated from a sample.
func (pool *Pool) Capacity(now bvclock.Time) (capacity bvadmission.Capacity) {
	ages := bvclock.Duration(0)
	add := func(row *endpoint) {
		if row.isOpen(now) {
			capacity.Calls += row.load(now)
			capacity.Slots += row.slots()
			capacity.Endpoints++
			ages += min(now.Sub(max(row.peerCallsAt, row.reportedAt)), maxCountedAge)
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
	capacity.Age = ages / bvclock.Duration(max(capacity.Endpoints, 1))
	return capacity
}
