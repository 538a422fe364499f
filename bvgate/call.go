package bvgate

import (
	"balsamvalve.example/bvclock"
)

const (
	// PermitWindow is how long a permit stays valid before it is used.
	PermitWindow = 2 * bvclock.Second
	// lapsedKept is how long a lapsed permit is remembered: a call whose Used
	// comes late runs all the same and must count against its endpoint.
	lapsedKept = 30 * bvclock.Second
	// callWindow is how long a call counts without news of its owner. An
	// owner that died reports no Finish: it shows as a slot that is never
	// free again. Owners repeat Used for calls that run longer.
	callWindow = 10 * bvclock.Minute
	// alreadyKept and alreadyLimit bound the memory of unrepeatable requests;
	// the ledger's durable record holds for longer.
	alreadyKept  = bvclock.Hour
	alreadyLimit = 1 << 16
)

// call is a request that was granted.
type call struct {
	request   Request
	member    *member
	program   *program
	boot      *boot // of the endpoint when it was granted; nil if unknown
	site      *site
	grantedAt bvclock.Time
	used      bool
	lapsed    bool
	alone     bool // is a suspect
	blamed    bool // for a crash of its endpoint
	repeated  bool // counted against the retry budget
	cached    int
	memory    int
	estimate  Work
	expected  float64 // duration in milliseconds
	timer     timer
}

// occupied is how many slots the call takes.
func (call *call) occupied() Work {
	if call.alone && call.boot != nil {
		return Work(max(call.boot.endpoint.report.Slots, 1))
	}
	return 1
}

func (pool *Pool) begin(now bvclock.Time, begun *call) {
	if pool.calls == nil {
		pool.calls = make(map[RequestID]*call)
	}
	pool.calls[begun.request.ID] = begun
	begun.grantedAt = now
	begun.program.away = false
	begun.program.history = max(begun.program.history, begun.memory)
	pool.countMemory(begun.program)
	pool.countRunning(begun.member, 1)
	pool.charge(now, begun.member, begun.estimate)
	pool.attach(now, begun)
	pool.remember(now, &begun.request)
}

// attach lets a call occupy its endpoint.
func (pool *Pool) attach(now bvclock.Time, attached *call) {
	pool.countFlight(&attached.request, 1)
	if attached.boot == nil {
		return
	}
	at := attached.boot.endpoint
	attached.boot.calls[attached.request.ID] = attached
	at.countPeak(now)
	if attached.boot != at.boot {
		return
	}
	if attached.alone {
		at.alone++
	}
	if attached.program.key.name != "" {
		attached.site = attached.program.visit(at)
		pool.pin(attached.site)
	}
	at.cache.pinned += attached.memory
	pool.shrink(now, at)
	pool.seat(at)
}

// pin takes a site out of the cache list while a call uses it, and calls a
// release off that was meant for an unused copy.
func (pool *Pool) pin(pinned *site) {
	pinned.pins++
	pinned.endpoint.cache.remove(pinned)
	if !pinned.program.ended {
		pool.stopTimer(&pinned.timer)
	}
}

// detach frees what a call occupies; held is what the endpoint now caches of
// the program.
func (pool *Pool) detach(now bvclock.Time, detached *call, held int) {
	pool.countFlight(&detached.request, -1)
	if detached.boot == nil {
		return
	}
	at := detached.boot.endpoint
	delete(detached.boot.calls, detached.request.ID)
	if detached.boot != at.boot {
		return
	}
	if detached.alone {
		at.alone--
	}
	at.cache.pinned -= detached.memory
	if site := detached.site; site != nil {
		pool.unpin(now, site, held)
	}
	pool.shrink(now, at)
	pool.seat(at)
}

func (pool *Pool) unpin(now bvclock.Time, unpinned *site, held int) {
	unpinned.pins--
	unpinned.tokens = held
	if unpinned.pins == 0 {
		unpinned.endpoint.cache.add(now, unpinned)
	}
	if unpinned.program.ended {
		pool.release(now, unpinned)
	}
}

// remember keeps that an unrepeatable request was granted.
func (pool *Pool) remember(now bvclock.Time, granted *Request) {
	if !granted.Unrepeatable {
		return
	}
	if pool.already == nil {
		pool.already = make(map[RequestID]bvclock.Time)
	}
	pool.already[granted.ID] = now
	pool.alreadyOrder = append(pool.alreadyOrder, granted.ID)
	for len(pool.alreadyOrder) > alreadyLimit || now.Sub(pool.already[pool.alreadyOrder[0]]) > alreadyKept {
		delete(pool.already, pool.alreadyOrder[0])
		pool.alreadyOrder = pool.alreadyOrder[1:]
	}
}

// MarkUsed reports that the owner has begun the call, so that the permit no longer
// lapses; owners repeat it for calls that run for minutes. It returns false
// for a permit that is unknown or had lapsed. A call that was begun in spite
// of that counts against its endpoint until Finish.
func (pool *Pool) MarkUsed(now bvclock.Time, id RequestID) bool {
	found := pool.calls[id]
	if found == nil {
		return false
	}
	found.used = true
	pool.setTimer(&found.timer, now.Add(callWindow), found)
	if !found.lapsed {
		return true
	}
	found.lapsed = false
	pool.countRunning(found.member, 1)
	pool.charge(now, found.member, found.estimate)
	pool.attach(now, found)
	return false
}

// ring lapses a permit that was not used, and later forgets it.
func (call *call) ring(pool *Pool, now bvclock.Time) {
	if call.used || call.lapsed {
		pool.drop(now, call, call.cached)
		return
	}
	call.lapsed = true
	pool.countRunning(call.member, -1)
	pool.charge(now, call.member, -call.estimate)
	pool.detach(now, call, call.cached)
	pool.setTimer(&call.timer, now.Add(lapsedKept), call)
}

// drop ends a call of which held tokens stay cached.
func (pool *Pool) drop(now bvclock.Time, dropped *call, held int) {
	delete(pool.calls, dropped.request.ID)
	pool.stopTimer(&dropped.timer)
	if !dropped.lapsed {
		pool.countRunning(dropped.member, -1)
		pool.detach(now, dropped, held)
	}
	dropped.program.open--
	pool.dropProgram(dropped.program)
	pool.place(dropped.member)
}

// Finish reports that a granted call has ended.
func (pool *Pool) Finish(now bvclock.Time, finish Finish) {
	ended := pool.calls[finish.ID]
	if ended == nil {
		return
	}
	if ended.lapsed && finish.Outcome != Unused {
		// Its Used was lost on the way, but it ran.
		pool.MarkUsed(now, finish.ID)
	}
	pool.settle(now, ended, finish)
	pool.judge(now, ended, finish.Outcome)
	pool.verify(now, ended, finish.Outcome)
	pool.drop(now, ended, ended.held(finish))
	if finish.Pause < 0 {
		pool.EndProgram(now, ended.request.Member, ended.request.Program)
		return
	}
	pool.tidy(now, ended, finish)
}

// verify learns whether the call is a suspect.
func (pool *Pool) verify(now bvclock.Time, ended *call, outcome Outcome) {
	switch outcome {
	case Crashed:
		pool.blame(now, ended)
		pool.noteFailure(now, ended)
	case Silent:
		pool.noteFailure(now, ended)
	case Succeeded:
		if held := pool.suspicion(&ended.request); held != nil && ended.alone {
			pool.clear(held)
		}
	}
}

// settle corrects what was charged by the estimate, and learns from it.
func (pool *Pool) settle(now bvclock.Time, ended *call, finish Finish) {
	if ended.lapsed {
		return
	}
	work := pool.cost.Work(finish.PromptTokens-finish.CachedTokens, finish.OutputTokens) * ended.occupied()
	switch finish.Outcome {
	case Unused, Refused:
		work = 0
		pool.refund(ended)
	case Crashed:
		// The members of innocent calls do not pay for the crash.
		work = 0
		if ended.alone {
			work = ended.estimate
		}
	case Silent:
		work = ended.estimate
	}
	pool.charge(now, ended.member, work-ended.estimate)
	if finish.Outcome != Succeeded || finish.OutputTokens == 0 {
		return
	}
	took := max(float64(now.Sub(ended.grantedAt)), 1)
	pool.work.add(float64(work / ended.occupied()))
	pool.duration.add(took)
	pool.learnOutput(&ended.request, finish.OutputTokens)
	if ended.boot != nil && ended.expected > 0 {
		ended.boot.endpoint.speed.add(took / ended.expected)
	}
}

// held is how many tokens of the program the endpoint caches after the call.
func (call *call) held(finish Finish) int {
	switch finish.Outcome {
	case Succeeded:
		return max(finish.PromptTokens+finish.OutputTokens, call.cached)
	case Canceled:
		return max(finish.PromptTokens, call.cached)
	case Crashed:
		return 0
	}
	return call.cached
}

// tidy releases copies of the program's prefix that are not worth their
// memory: older ones elsewhere, and this one if it is evicted anyway before
// the program is back.
func (pool *Pool) tidy(now bvclock.Time, ended *call, finish Finish) {
	if finish.Outcome != Succeeded || ended.site == nil {
		return
	}
	for _, site := range ended.program.sites {
		if site != ended.site && site.pins == 0 {
			pool.release(now, site)
		}
	}
	here := ended.site
	ended.program.away = finish.Pause > longPause
	pool.countMemory(ended.program)
	if here.pins == 0 && here.endpoint.cache.outlives(finish.Pause) {
		here.endpoint.cache.remove(here)
		here.tokens = 0
		pool.release(now, here)
	}
}

// Adopt records a call that already runs, as its owner tells a new deciding
// host after the old one died.
func (pool *Pool) Adopt(now bvclock.Time, running Request, endpoint string) {
	if queued := pool.waiting[running.ID]; queued != nil {
		pool.dequeue(queued)
	}
	if pool.calls[running.ID] != nil {
		return
	}
	adopted := &call{
		request: running,
		member:  pool.member(running.Member),
		program: pool.program(now, running.Member, running.Program),
		used:    true,
		memory:  running.PromptTokens + running.OutputTokens,
	}
	adopted.estimate = pool.cost.Work(running.PromptTokens, running.OutputTokens)
	if endpoint != "" {
		adopted.boot = pool.endpointOf(now, endpoint).boot
	}
	adopted.program.open++
	pool.stopTimer(&adopted.program.timer)
	pool.begin(now, adopted)
	pool.setTimer(&adopted.timer, now.Add(callWindow), adopted)
}
