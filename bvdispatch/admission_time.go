package bvdispatch

import (
	"balsamvalve.example/bvadmission"
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvmechanism"
)

// maxCountedAge is the age from which an endpoint counts in full as one whose calls are
// unknown.
const maxCountedAge = 2 * bvclock.Second

// Timed is what a caller states about its program, and what is known of its rejections.
type Timed struct {
	Route                string
	Deadline             bvclock.Duration // time left until it should end; 0: none
	PromptTokens         int
	ExpectedOutputTokens int
	bvadmission.Refusal
	RetryWithin bvclock.Duration // longest time after which the caller will retry; 0: unspecified
}

// toAdmission returns the program as bvadmission has it.
func (program *NewProgram) toAdmission() bvadmission.Program {
	return bvadmission.Program{
		Route: program.Route, Priority: program.Priority, Workspace: program.Workspace, Deadline: program.Deadline,
		PromptTokens: program.PromptTokens, ExpectedOutputTokens: program.ExpectedOutputTokens,
		Refusal: program.Refusal, RetryWithin: program.RetryWithin,
	}
}

// Admission is the decision on a new program, with its inputs.
type Admission struct {
	bvadmission.Decision
	Capacity bvadmission.Capacity
}

// IsByTime reports whether the program's deadline decided.
func (admission *Admission) IsByTime() bool { return admission.Reason == bvadmission.CannotEndInTime }

// admissionByTime returns the limit that follows from the program's deadline, where it has one
// and the endpoints report a pace, else the fixed one.
func (pool *Pool) admissionByTime(now bvclock.Time, program NewProgram) Admission {
	capacity := pool.admissionCapacity(now)
	if pool.admitsByTime(program) {
		return Admission{pool.controller.Admit(now, program.toAdmission(), capacity), capacity}
	}
	decision := bvadmission.Decision{Reason: bvadmission.FixedLoadLimit, Projected: capacity.LoadShare(), Limit: fixedLimit(program)}
	return Admission{decision, capacity}
}

// admitsByTime reports whether the program's deadline decides on its admission.
func (pool *Pool) admitsByTime(program NewProgram) bool {
	timed := program.toAdmission()
	return timed.HasDeadline() && pool.usesDeadlines()
}

// usesDeadlines reports whether deadlines decide on admission: without reports of the pace,
// decisions are those of the fixed limit.
func (pool *Pool) usesDeadlines() bool {
	return pool.reportsPace && !pool.disabled.Has(bvmechanism.Deadlines)
}

// retryAfter returns the time after which the caller of a rejected program should retry.
func (pool *Pool) retryAfter(now bvclock.Time, program NewProgram) bvclock.Duration {
	if pool.admitsByTime(program) && !pool.disabled.Has(bvmechanism.Returns) {
		return pool.controller.RetryAfter(now, program.toAdmission())
	}
	return pool.randomRetryAfter()
}

// admissionCapacity returns the load of the endpoints that accept new calls, and the mean age
// of what is known of other hosts' calls there.
func (pool *Pool) admissionCapacity(now bvclock.Time) (capacity bvadmission.Capacity) {
	ages := bvclock.Duration(0)
	for _, row := range pool.sampleRows() {
		if !row.isOpen(now) {
			continue
		}
		capacity.Calls += row.load(now)
		capacity.Slots += row.slots() / pool.speedOf(now, row)
		capacity.Endpoints++
		ages += min(now.Sub(max(row.peerCallsAt, row.reportedAt)), maxCountedAge)
	}
	capacity.Age = ages / bvclock.Duration(max(capacity.Endpoints, 1))
	return capacity
}

// sampleRows returns all endpoints, or a random sample of many.
func (pool *Pool) sampleRows() []*endpoint {
	if len(pool.rows) <= loadSampleRows {
		return pool.rows
	}
	sample := make([]*endpoint, loadSampleRows)
	for i := range sample {
		sample[i] = pool.rows[pool.random.IntN(len(pool.rows))]
	}
	return sample
}

// RecordTurn records a turn that has ended, for the decisions on new programs.
func (pool *Pool) RecordTurn(now bvclock.Time, turn bvadmission.Turn) {
	if pool.usesDeadlines() {
		pool.controller.RecordTurn(now, turn)
	}
}

// IsOverdue reports whether a turn comes so late that its program is of no use to its caller.
func (pool *Pool) IsOverdue(route string, timeLeft bvclock.Duration) bool {
	return pool.usesDeadlines() && pool.controller.IsOverdue(route, timeLeft)
}

// Admit decides whether a new program may begin at a service.
func (dispatcher *Dispatcher) Admit(service string, program NewProgram) Admission {
	now := dispatcher.clock.Now()
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	return dispatcher.pool(service).Decide(now, program)
}

// AdmitsByTime reports whether programs' deadlines decide on their admission at a service.
func (dispatcher *Dispatcher) AdmitsByTime(service string) bool {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	return dispatcher.pool(service).usesDeadlines()
}

// IsOverdue reports whether a turn of a service comes so late that its program is of no use to
// its caller.
func (dispatcher *Dispatcher) IsOverdue(service, route string, timeLeft bvclock.Duration) bool {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	return dispatcher.pool(service).IsOverdue(route, timeLeft)
}

// ReportRefusal reports to the program's tracker that the program was rejected because of its
// deadline, and when it may retry.
func (dispatcher *Dispatcher) ReportRefusal(request *Request, retryAfter bvclock.Duration) {
	if !dispatcher.hasTracker(request) || dispatcher.disabled.Has(bvmechanism.Returns) {
		return
	}
	refusal := bvadmission.Refusal{Waited: max(request.Refusal.Waited, 1), DueIn: retryAfter}
	dispatcher.trackers.ReportRefusal(request.Program, refusal)
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
