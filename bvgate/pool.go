// Package bvgate decides which request may call which endpoint, and when.
//
// A Pool holds the tables of one pool of endpoints that serve the same model:
// members, endpoints, waiting requests, permits and suspects. One host decides
// for a pool. The pool is told of events by its methods and asked for its
// decisions by Tick; it knows no sockets and no clock, so the daemon, the
// tests and the measurements run the same code.
//
// What a Pool does: members share engine work by weight; within a member the
// row's priority, the program's attained service and its age decide; the
// endpoint with the earliest expected finish is taken, with a program's cached
// prefix and the harm of a prefill to others counted in. What can't be served
// in time is refused at once. Calls in flight at a crash run alone until they
// are cleared or refused. The caches of ended programs are released until that
// is confirmed. docs/design/sharing-and-endpoint-choice.md gives the reasons.
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
//			// tell the owner, which calls effect.Endpoint with effect.Priority
//		case bvgate.Refusal:
//			// tell the owner
//		case bvgate.Release:
//			// tell the endpoint, and then pool.ConfirmRelease
//		}
//	}
//	pool.MarkUsed(now, request.ID)
//	pool.Finish(now, bvgate.Finish{ID: request.ID, PromptTokens: 900, OutputTokens: 120, Pause: 300})
//
// Tick is called after each event and at the time that NextTick returns. A host
// that begins to decide for a pool is told of running calls with Adopt, of
// ended programs with EndProgramAt and of suspects with AddSuspects; waiting
// requests are asked again.
package bvgate

import (
	"slices"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvverdict"
)

// Pool decides for all endpoints of one model or service. The zero value is an
// empty pool. It is not safe for concurrent use.
type Pool struct {
	cost      Cost
	limits    Limits
	now       bvclock.Time // of the last Tick
	members   map[string]*member
	byName    []*member
	endpoints map[string]*endpoint
	names     []string // of the endpoints, sorted
	programs  map[programKey]*program
	waiting   map[RequestID]*request
	calls     map[RequestID]*call

	already      map[RequestID]bvclock.Time // unrepeatable requests granted
	alreadyOrder []RequestID

	backlog memberHeap   // members that may be served
	free    endpointHeap // endpoints with a free slot
	woken   []*endpoint  // with a free slot and parked requests
	timers  timerHeap

	suspicions map[suspectKey]*suspicion
	// suspectedCrashes counts the crashes seen here that made suspects.
	suspectedCrashes uint64
	flights          map[suspectKey]int // calls in flight by content
	zones            map[string]*zone
	suspects         []*request  // that wait for an endpoint to isolate
	isolated         []*endpoint // that are emptied for a suspect

	absence absence

	order   uint64
	effects []Effect

	virtual           float64   // highest virtual time at which a member was served
	slots             int       // of all open endpoints
	memory            float64   // that running calls and programs need, in tokens
	room              int       // cache of all open endpoints, in tokens
	held              []*member // whose starts wait for memory
	backloggedWeight  float64
	activeWeight      float64 // of the members that wait or run
	backloggedRunning int
	runningTotal      int
	work              average // of a call
	duration          average // of a call, in milliseconds
	outputs           map[outputKey]*average
}

type outputKey struct {
	member string
	class  string
}

// SetCost replaces the constants that turn tokens into work and time.
func (pool *Pool) SetCost(cost Cost) {
	pool.cost = cost
}

// Submit queues a request; a later Tick grants or refuses it. A request that is
// already queued or granted is left as it is.
func (pool *Pool) Submit(now bvclock.Time, asked Request) {
	if pool.waiting[asked.ID] != nil || pool.running(asked.ID) {
		return
	}
	if _, ok := pool.already[asked.ID]; ok {
		// The owner may have sent the request on the first permit: a second
		// one could make it run twice.
		err := bvverdict.New(bvverdict.MayHaveRun, bvverdict.AlreadySent, "unrepeatable request was granted before")
		pool.refuse(asked.ID, err)
		return
	}
	if lapsed := pool.calls[asked.ID]; lapsed != nil {
		pool.drop(now, lapsed, lapsed.cached)
	}
	if pool.poisonous(&asked) {
		pool.refuse(asked.ID, errPoisonous())
		return
	}
	queued := pool.newRequest(now, asked)
	pool.allow(now, queued.member)
	if err := pool.reject(now, queued); err != nil {
		pool.refuse(asked.ID, err)
		pool.dropProgram(queued.program)
		return
	}
	pool.enqueue(now, queued)
}

func (pool *Pool) running(id RequestID) bool {
	found := pool.calls[id]
	return found != nil && !found.lapsed
}

func (pool *Pool) newRequest(now bvclock.Time, asked Request) *request {
	pool.order++
	queued := &request{
		Request: asked,
		member:  pool.member(asked.Member),
		program: pool.program(now, asked.Member, asked.Program),
		askedAt: now,
		order:   pool.order,
	}
	if queued.OutputTokens == 0 {
		queued.OutputTokens = pool.expectOutput(&asked)
	}
	pool.learnHistory(queued)
	queued.estimate = pool.cost.Work(asked.PromptTokens-queued.program.cachedTokens(), queued.OutputTokens)
	queued.level = level(asked.AttainedService)
	queued.start = queued.starts()
	queued.repeated = pool.repeats(now, &asked)
	return queued
}

func (pool *Pool) enqueue(now bvclock.Time, queued *request) {
	if pool.waiting == nil {
		pool.waiting = make(map[RequestID]*request)
	}
	pool.waiting[queued.ID] = queued
	queued.program.open++
	pool.stopTimer(&queued.program.timer)
	pool.countMemory(queued.program)
	pool.enter(now, queued.member)
	if queued.start {
		queued.member.away.taken.add(now, 1)
	}
	queued.line().add(queued)
	pool.place(queued.member)
	queued.agesAt = now.Add(ageStep)
	if pool.suspicion(&queued.Request) != nil {
		pool.setAside(queued)
		return
	}
	pool.watch(queued)
}

// watch sets the timer of a waiting request to what comes first.
func (pool *Pool) watch(watched *request) {
	at := watched.Deadline
	if watched.level > 0 && (at == 0 || watched.agesAt.Before(at)) {
		at = watched.agesAt
	}
	if watched.parkedUntil != 0 && (at == 0 || watched.parkedUntil.Before(at)) {
		at = watched.parkedUntil
	}
	if at == 0 {
		pool.stopTimer(&watched.timer)
		return
	}
	pool.setTimer(&watched.timer, at, watched)
}

func (queued *request) ring(pool *Pool, now bvclock.Time) {
	if queued.Deadline != 0 && !queued.Deadline.After(now) {
		pool.dequeue(queued)
		pool.refuse(queued.ID, bvverdict.Refuse(bvverdict.DeadlinePassed, "deadline passed in the queue"))
		return
	}
	if queued.parkedUntil != 0 && !queued.parkedUntil.After(now) {
		pool.unpark(queued)
	}
	if queued.level > 0 && !queued.agesAt.After(now) {
		pool.age(now, queued)
	}
	pool.watch(queued)
}

func (pool *Pool) age(now bvclock.Time, aged *request) {
	inQueue := aged.bucket != nil
	if inQueue {
		aged.line().remove(aged)
	}
	aged.level--
	aged.agesAt = now.Add(ageStep)
	if inQueue {
		aged.line().add(aged)
	}
}

func (pool *Pool) refuse(id RequestID, err *bvverdict.Error) {
	pool.effects = append(pool.effects, Refusal{Request: id, Err: err})
}

// Withdraw takes back a request that was not granted.
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
	pool.take(queued)
	queued.program.open--
	pool.dropProgram(queued.program)
}

// take removes a waiting request and leaves its program open.
func (pool *Pool) take(queued *request) {
	delete(pool.waiting, queued.ID)
	if len(pool.waiting) == 0 {
		pool.stopTimer(&pool.absence.timer)
	}
	pool.stopTimer(&queued.timer)
	if queued.parkedAt != nil {
		queued.parkedAt.unpark(queued)
	}
	if queued.bucket != nil {
		queued.line().remove(queued)
	}
	if queued.aside {
		queued.aside = false
		pool.suspects = slices.DeleteFunc(pool.suspects, func(other *request) bool { return other == queued })
	}
	if queued.isolates != nil {
		pool.unisolate(queued)
	}
	pool.leave(queued.member)
	pool.place(queued.member)
}

// Tick decides and returns what is to be done. It is called after each event
// and at the time that NextTick returns.
func (pool *Pool) Tick(now bvclock.Time) []Effect {
	pool.now = now
	pool.ringTimers(now)
	pool.refuseStranded(now)
	pool.unhold()
	for pool.serveSuspects(now) || pool.serveWoken(now) || pool.serveQueue(now) {
		continue
	}
	effects := pool.effects
	pool.effects = nil
	return effects
}

// NextTick returns when Tick is to be called although nothing happens; 0 means
// never.
func (pool *Pool) NextTick() bvclock.Time {
	if len(pool.timers) == 0 {
		return 0
	}
	return max(pool.timers[0].at, 1)
}

// serveQueue grants or parks the requests that go first, as long as endpoints
// have free slots. It reports whether more may be done: a request was granted
// or turned out to be a suspect.
func (pool *Pool) serveQueue(now bvclock.Time) bool {
	served := false
	for len(pool.backlog) > 0 && len(pool.free) > 0 {
		first := pool.next(pool.backlog[0])
		if first == nil {
			pool.hold(pool.backlog[0])
			continue
		}
		if pool.suspicion(&first.Request) != nil {
			pool.setAside(first)
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

func (pool *Pool) grant(now bvclock.Time, granted *request, at choice) {
	from := granted.member
	pool.virtual = max(pool.virtual, from.virtual)
	pool.takeRate(now, from)
	pool.take(granted)
	begun := &call{
		request:  granted.Request,
		member:   from,
		program:  granted.program,
		boot:     at.endpoint.boot,
		cached:   at.cached,
		memory:   granted.PromptTokens + granted.OutputTokens,
		expected: at.service,
		alone:    at.alone,
		repeated: granted.repeated,
	}
	begun.estimate = pool.cost.Work(granted.PromptTokens-at.cached, granted.OutputTokens) * begun.occupied()
	at.endpoint.prefillUntil = max(at.endpoint.prefillUntil, float64(now)) + pool.cost.prefillTime(granted.PromptTokens-at.cached)
	pool.account(granted, begun.estimate)
	pool.begin(now, begun)
	expires := now.Add(PermitWindow)
	pool.setTimer(&begun.timer, expires, begun)
	pool.effects = append(pool.effects, Grant{Request: granted.ID, Endpoint: at.endpoint.name(), Isolated: at.alone, Priority: priority(granted.PromptTokens - at.cached), Expires: expires})
}
