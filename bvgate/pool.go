// Package bvgate decides which request may call which endpoint, and when.
//
// A Pool holds the state of one pool of endpoints that serve the same model: members,
// endpoints, waiting requests, permits and suspects. One host decides for a pool. Events
// enter the pool by method calls, and Tick returns its decisions; it uses no sockets and
// no clock, so the daemon, the tests and the measurements run the same code.
//
// Scheduling works as follows. Members share engine work by weight; within a member the
// row's priority, the program's attained service and its age decide. A request gets the
// endpoint with the earliest expected finish, which accounts for a program's cached
// prefix and for the delay that a prefill causes to other calls. Requests that can't be
// served in time are refused at once. Calls in flight at a crash run isolated until they
// are cleared or refused. The caches of ended programs are released until the endpoint
// confirms it. docs/design/sharing-and-endpoint-choice.md gives the reasons.
//
// # Usage
//
//	pool := &bvgate.Pool{}
//	pool.SetMembers(shares)
//	pool.UpdateEndpoint(now, bvgate.EndpointReport{Name: "engine-1", Slots: 16, CacheTokens: 200_000})
//	pool.Submit(now, request)
//	for _, effect := range pool.Tick(now) {
//		switch effect := effect.(type) {
//		case bvgate.Grant:
//			// notify the owner, which calls effect.Endpoint with effect.Priority
//		case bvgate.Refusal:
//			// notify the owner
//		case bvgate.Release:
//			// send it to the endpoint, then call pool.ConfirmRelease
//		}
//	}
//	pool.MarkUsed(now, request.ID)
//	pool.Finish(now, bvgate.Finish{ID: request.ID, PromptTokens: 900, OutputTokens: 120, Pause: 300})
//
// Call Tick after each event and at the time that NextTick returns. A host that starts to
// decide for a pool adds running calls with Adopt, ended programs with EndProgramAt and
// suspects with AddSuspects; waiting requests are submitted again.
package bvgate

import (
	"slices"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvverdict"
)

// Pool decides for all endpoints of one model or service. The zero value is an
// empty pool. It is not safe for concurrent use.
type Pool struct {
	cost          Cost
	limits        Limits
	now           bvclock.Time // of the last Tick
	members       map[string]*member
	membersByName []*member
	endpoints     map[string]*endpoint
	endpointNames []string // sorted
	programs      map[programKey]*program
	waiting       map[RequestID]*request
	calls         map[RequestID]*call

	unrepeatableGrants map[RequestID]bvclock.Time // time of each grant
	unrepeatableOrder  []RequestID

	backlog       memberHeap   // members that can be served
	freeEndpoints endpointHeap // endpoints with a free slot
	woken         []*endpoint  // endpoints with a free slot and parked requests
	timers        timerHeap

	suspicions map[suspectKey]*suspicion
	// suspectCrashes counts the crashes on endpoints of this pool that made suspects.
	suspectCrashes  uint64
	inFlight        map[suspectKey]int // calls, by content
	zones           map[string]*zone
	waitingSuspects []*request  // requests that wait for an endpoint to isolate
	isolating       []*endpoint // endpoints drained for a suspect

	outage outage

	sequence uint64
	effects  []Effect

	virtualTime       float64   // highest virtual time of a member when it was served
	slots             int       // of all open endpoints
	memory            float64   // tokens needed by waiting, running and cached programs
	cacheCapacity     int       // tokens of the caches of all open endpoints
	awaitingMemory    []*member // whose new programs wait for memory
	backloggedWeight  float64
	activeWeight      float64 // of the members with waiting or running requests
	backloggedRunning int
	runningTotal      int
	averageWork       average // of a call
	averageDuration   average // of a call, in milliseconds
	averageOutputs    map[outputKey]*average
}

type outputKey struct {
	member string
	class  string
}

// SetCost replaces the constants that convert tokens into work and time.
func (pool *Pool) SetCost(cost Cost) {
	pool.cost = cost
}

// Submit queues a request; a later Tick grants or refuses it. It has no effect for a
// request that is already queued or granted.
func (pool *Pool) Submit(now bvclock.Time, submitted Request) {
	if pool.waiting[submitted.ID] != nil || pool.isRunning(submitted.ID) {
		return
	}
	if _, ok := pool.unrepeatableGrants[submitted.ID]; ok {
		// The owner may have sent the request under the first permit: a second permit
		// could make it run twice.
		err := bvverdict.New(bvverdict.MayHaveRun, bvverdict.AlreadySent, "unrepeatable request was granted before")
		pool.refuse(submitted.ID, err)
		return
	}
	if lapsed := pool.calls[submitted.ID]; lapsed != nil {
		pool.dropCall(now, lapsed, lapsed.cachedTokens)
	}
	if pool.isPoisonous(&submitted) {
		pool.refuse(submitted.ID, errPoisonous())
		return
	}
	queued := pool.newRequest(now, submitted)
	pool.refreshRateLimit(now, queued.member)
	if err := pool.reject(now, queued); err != nil {
		pool.refuse(submitted.ID, err)
		pool.cleanUpProgram(queued.program)
		return
	}
	pool.enqueue(now, queued)
}

func (pool *Pool) isRunning(id RequestID) bool {
	found := pool.calls[id]
	return found != nil && !found.lapsed
}

func (pool *Pool) newRequest(now bvclock.Time, submitted Request) *request {
	pool.sequence++
	queued := &request{
		Request:     submitted,
		member:      pool.member(submitted.Member),
		program:     pool.program(now, submitted.Member, submitted.Program),
		submittedAt: now,
		sequence:    pool.sequence,
	}
	if queued.OutputTokens == 0 {
		queued.OutputTokens = pool.expectedOutput(&submitted)
	}
	pool.learnHistory(queued)
	queued.estimate = pool.cost.Work(submitted.PromptTokens-queued.program.cachedTokens(), queued.OutputTokens)
	queued.level = levelOf(submitted.AttainedService)
	queued.newProgram = queued.isNewProgram()
	queued.retry = pool.isRetry(now, &submitted)
	return queued
}

func (pool *Pool) enqueue(now bvclock.Time, queued *request) {
	if pool.waiting == nil {
		pool.waiting = make(map[RequestID]*request)
	}
	pool.waiting[queued.ID] = queued
	queued.program.openRequests++
	pool.stopTimer(&queued.program.timer)
	pool.countMemory(queued.program)
	pool.addWaiting(now, queued.member)
	if queued.newProgram {
		queued.member.retryQueue.admitted.add(now, 1)
	}
	queued.memberQueue().add(queued)
	pool.updateBacklog(queued.member)
	queued.agesAt = now.Add(ageStep)
	if pool.suspicionOf(&queued.Request) != nil {
		pool.queueSuspect(queued)
		return
	}
	pool.updateTimer(queued)
}

// updateTimer sets the timer of a waiting request to its next deadline.
func (pool *Pool) updateTimer(queued *request) {
	at := queued.Deadline
	if queued.level > 0 && (at == 0 || queued.agesAt.Before(at)) {
		at = queued.agesAt
	}
	if queued.parkedUntil != 0 && (at == 0 || queued.parkedUntil.Before(at)) {
		at = queued.parkedUntil
	}
	if at == 0 {
		pool.stopTimer(&queued.timer)
		return
	}
	pool.setTimer(&queued.timer, at, queued)
}

func (queued *request) fire(pool *Pool, now bvclock.Time) {
	if queued.Deadline != 0 && !queued.Deadline.After(now) {
		pool.dequeue(queued)
		pool.refuse(queued.ID, bvverdict.Refuse(bvverdict.DeadlinePassed, "deadline passed in the queue"))
		return
	}
	if queued.parkedUntil != 0 && !queued.parkedUntil.After(now) {
		pool.unpark(queued)
	}
	if queued.level > 0 && !queued.agesAt.After(now) {
		pool.lowerLevel(now, queued)
	}
	pool.updateTimer(queued)
}

func (pool *Pool) lowerLevel(now bvclock.Time, aged *request) {
	inQueue := aged.bucket != nil
	if inQueue {
		aged.memberQueue().remove(aged)
	}
	aged.level--
	aged.agesAt = now.Add(ageStep)
	if inQueue {
		aged.memberQueue().add(aged)
	}
}

func (pool *Pool) refuse(id RequestID, err *bvverdict.Error) {
	pool.effects = append(pool.effects, Refusal{Request: id, Err: err})
}

// Withdraw removes a request that has not been granted.
func (pool *Pool) Withdraw(_ bvclock.Time, id RequestID) {
	if queued := pool.waiting[id]; queued != nil {
		pool.dequeue(queued)
		return
	}
	pool.effects = slices.DeleteFunc(pool.effects, func(pending Effect) bool {
		refusal, ok := pending.(Refusal)
		return ok && refusal.Request == id
	})
}

func (pool *Pool) dequeue(queued *request) {
	pool.removeRequest(queued)
	queued.program.openRequests--
	pool.cleanUpProgram(queued.program)
}

// removeRequest removes a waiting request without closing its program.
func (pool *Pool) removeRequest(queued *request) {
	delete(pool.waiting, queued.ID)
	if len(pool.waiting) == 0 {
		pool.stopTimer(&pool.outage.timer)
	}
	pool.stopTimer(&queued.timer)
	if queued.parkedAt != nil {
		queued.parkedAt.unpark(queued)
	}
	if queued.bucket != nil {
		queued.memberQueue().remove(queued)
	}
	if queued.queuedAsSuspect {
		queued.queuedAsSuspect = false
		pool.waitingSuspects = slices.DeleteFunc(pool.waitingSuspects, func(other *request) bool { return other == queued })
	}
	if queued.isolating != nil {
		pool.unisolate(queued)
	}
	pool.removeWaiting(queued.member)
	pool.updateBacklog(queued.member)
}

// Tick makes the pending decisions and returns the actions to carry out. Call it after
// each event and at the time that NextTick returns.
func (pool *Pool) Tick(now bvclock.Time) []Effect {
	pool.now = now
	pool.fireTimers(now)
	pool.refuseDuringOutage(now)
	pool.unholdAll()
	for pool.serveSuspects(now) || pool.serveParked(now) || pool.serveQueue(now) {
		continue
	}
	effects := pool.effects
	pool.effects = nil
	return effects
}

// NextTick returns when Tick must be called without a further event; 0 means never.
func (pool *Pool) NextTick() bvclock.Time {
	if len(pool.timers) == 0 {
		return 0
	}
	return max(pool.timers[0].at, 1)
}

// serveQueue grants or parks the next requests while endpoints have free slots. It
// reports whether another pass may grant more: a request was granted or turned out to
// be a suspect.
func (pool *Pool) serveQueue(now bvclock.Time) bool {
	served := false
	for len(pool.backlog) > 0 && len(pool.freeEndpoints) > 0 {
		first := pool.nextRequest(pool.backlog[0])
		if first == nil {
			pool.holdForMemory(pool.backlog[0])
			continue
		}
		if pool.suspicionOf(&first.Request) != nil {
			pool.queueSuspect(first)
			served = true
			continue
		}
		best := pool.choose(now, first)
		if best.wait > 0 {
			pool.park(now, first, best)
			continue
		}
		pool.grant(now, first, best)
		served = true
	}
	return served
}

func (pool *Pool) grant(now bvclock.Time, granted *request, chosen choice) {
	from := granted.member
	pool.virtualTime = max(pool.virtualTime, from.virtualTime)
	pool.takeRateToken(now, from)
	pool.removeRequest(granted)
	started := &call{
		request:      granted.Request,
		member:       from,
		program:      granted.program,
		incarnation:  chosen.endpoint.incarnation,
		cachedTokens: chosen.cachedTokens,
		memory:       granted.PromptTokens + granted.OutputTokens,
		expectedMs:   chosen.service,
		isolated:     chosen.isolated,
		retry:        granted.retry,
	}
	started.estimate = pool.cost.Work(granted.PromptTokens-chosen.cachedTokens, granted.OutputTokens) * started.slots()
	chosen.endpoint.prefillUntil = max(chosen.endpoint.prefillUntil, float64(now)) + pool.cost.prefillTime(granted.PromptTokens-chosen.cachedTokens)
	pool.chargeRetryBudget(granted, started.estimate)
	pool.startCall(now, started)
	expires := now.Add(PermitWindow)
	pool.setTimer(&started.timer, expires, started)
	pool.effects = append(pool.effects, Grant{Request: granted.ID, Endpoint: chosen.endpoint.name(), Isolated: chosen.isolated, Priority: enginePriority(granted.PromptTokens - chosen.cachedTokens), Expires: expires})
}
