package bvgate

import (
	"balsamvalve.example/bvclock"
)

const (
	// PermitWindow is how long an unused permit stays valid.
	PermitWindow = 2 * bvclock.Second
	// lapsedTTL is how long a lapsed permit is remembered: a call whose MarkUsed
	// arrives late runs nevertheless and must count against its endpoint.
	lapsedTTL = 30 * bvclock.Second
	// callTTL is how long a call counts without a message from its owner. An owner that
	// crashed sends no Finish, and the slot of its call would stay taken permanently.
	// Owners repeat MarkUsed for calls that run longer.
	callTTL = 10 * bvclock.Minute
	// grantRecordTTL and maxGrantRecords limit the in-memory records of granted
	// unrepeatable requests; the ledger's durable record is retained for longer.
	grantRecordTTL  = bvclock.Hour
	maxGrantRecords = 1 << 16
)

// call is a granted request.
type call struct {
	request      Request
	member       *member
	program      *program
	incarnation  *incarnation // of the endpoint when the call was granted; nil if unknown
	prefix       *cachedPrefix
	grantedAt    bvclock.Time
	used         bool
	lapsed       bool
	isolated     bool // the call is a suspect
	crashCounted bool // its endpoint's crash has been counted
	retry        bool // counted against the retry budget
	cachedTokens int
	memory       int
	estimate     Work
	expectedMs   float64 // expected duration
	timer        timer
}

// slots is how many slots the call takes.
func (call *call) slots() Work {
	if call.isolated && call.incarnation != nil {
		return Work(max(call.incarnation.endpoint.report.Slots, 1))
	}
	return 1
}

func (pool *Pool) startCall(now bvclock.Time, started *call) {
	if pool.calls == nil {
		pool.calls = make(map[RequestID]*call)
	}
	pool.calls[started.request.ID] = started
	started.grantedAt = now
	started.program.paused = false
	started.program.historyTokens = max(started.program.historyTokens, started.memory)
	pool.countMemory(started.program)
	pool.countRunning(started.member, 1)
	pool.charge(now, started.member, started.estimate)
	pool.attach(now, started)
	pool.recordUnrepeatable(now, &started.request)
}

// attach adds a call to its endpoint's load.
func (pool *Pool) attach(now bvclock.Time, attached *call) {
	pool.countInFlight(&attached.request, 1)
	if attached.incarnation == nil {
		return
	}
	target := attached.incarnation.endpoint
	attached.incarnation.calls[attached.request.ID] = attached
	target.recordPeak(now)
	if attached.incarnation != target.incarnation {
		return
	}
	if attached.isolated {
		target.isolatedCalls++
	}
	if attached.program.key.name != "" {
		attached.prefix = attached.program.addPrefix(target)
		pool.pin(attached.prefix)
	}
	target.cache.pinned += attached.memory
	pool.evict(now, target)
	pool.refreshEndpoint(target)
}

// pin takes a prefix out of the eviction list while a call uses it, and cancels a
// pending release of an unused copy.
func (pool *Pool) pin(pinned *cachedPrefix) {
	pinned.pins++
	pinned.endpoint.cache.remove(pinned)
	if !pinned.program.ended {
		pool.stopTimer(&pinned.timer)
	}
}

// detach removes a call from its endpoint's load; held is how many tokens of the
// program the endpoint now caches.
func (pool *Pool) detach(now bvclock.Time, detached *call, held int) {
	pool.countInFlight(&detached.request, -1)
	if detached.incarnation == nil {
		return
	}
	target := detached.incarnation.endpoint
	delete(detached.incarnation.calls, detached.request.ID)
	if detached.incarnation != target.incarnation {
		return
	}
	if detached.isolated {
		target.isolatedCalls--
	}
	target.cache.pinned -= detached.memory
	if prefix := detached.prefix; prefix != nil {
		pool.unpin(now, prefix, held)
	}
	pool.evict(now, target)
	pool.refreshEndpoint(target)
}

func (pool *Pool) unpin(now bvclock.Time, unpinned *cachedPrefix, held int) {
	unpinned.pins--
	unpinned.tokens = held
	if unpinned.pins == 0 {
		unpinned.endpoint.cache.add(now, unpinned)
	}
	if unpinned.program.ended {
		pool.releasePrefix(now, unpinned)
	}
}

// recordUnrepeatable records that an unrepeatable request was granted.
func (pool *Pool) recordUnrepeatable(now bvclock.Time, granted *Request) {
	if !granted.Unrepeatable {
		return
	}
	if pool.unrepeatableGrants == nil {
		pool.unrepeatableGrants = make(map[RequestID]bvclock.Time)
	}
	pool.unrepeatableGrants[granted.ID] = now
	pool.unrepeatableOrder = append(pool.unrepeatableOrder, granted.ID)
	for len(pool.unrepeatableOrder) > maxGrantRecords || now.Sub(pool.unrepeatableGrants[pool.unrepeatableOrder[0]]) > grantRecordTTL {
		delete(pool.unrepeatableGrants, pool.unrepeatableOrder[0])
		pool.unrepeatableOrder = pool.unrepeatableOrder[1:]
	}
}

// MarkUsed reports that the owner has started the call, so that the permit no longer
// lapses; owners repeat it for calls that run for minutes. It returns false for a
// permit that is unknown or had lapsed. If the owner starts the call nevertheless, it
// counts against its endpoint until Finish.
func (pool *Pool) MarkUsed(now bvclock.Time, id RequestID) bool {
	found := pool.calls[id]
	if found == nil {
		return false
	}
	found.used = true
	pool.setTimer(&found.timer, now.Add(callTTL), found)
	if !found.lapsed {
		return true
	}
	found.lapsed = false
	pool.countRunning(found.member, 1)
	pool.charge(now, found.member, found.estimate)
	pool.attach(now, found)
	return false
}

// fire lapses a permit that was not used, and later deletes it.
func (call *call) fire(pool *Pool, now bvclock.Time) {
	if call.used || call.lapsed {
		pool.dropCall(now, call, call.cachedTokens)
		return
	}
	call.lapsed = true
	pool.countRunning(call.member, -1)
	pool.charge(now, call.member, -call.estimate)
	pool.detach(now, call, call.cachedTokens)
	pool.setTimer(&call.timer, now.Add(lapsedTTL), call)
}

// dropCall deletes a call; held tokens of its program stay cached.
func (pool *Pool) dropCall(now bvclock.Time, dropped *call, held int) {
	delete(pool.calls, dropped.request.ID)
	pool.stopTimer(&dropped.timer)
	if !dropped.lapsed {
		pool.countRunning(dropped.member, -1)
		pool.detach(now, dropped, held)
	}
	dropped.program.openRequests--
	pool.cleanUpProgram(dropped.program)
	pool.updateBacklog(dropped.member)
}

// Finish reports that a granted call has ended.
func (pool *Pool) Finish(now bvclock.Time, finish Finish) {
	ended := pool.calls[finish.ID]
	if ended == nil {
		return
	}
	if ended.lapsed && finish.Outcome != Unused {
		// The MarkUsed message was lost, but the call ran.
		pool.MarkUsed(now, finish.ID)
	}
	pool.settleCharge(now, ended, finish)
	pool.updateHealth(now, ended, finish.Outcome)
	pool.updateSuspicion(now, ended, finish.Outcome)
	pool.dropCall(now, ended, ended.cachedAfter(finish))
	if finish.Pause < 0 {
		pool.EndProgram(now, ended.request.Member, ended.request.Program)
		return
	}
	pool.releaseStalePrefixes(now, ended, finish)
}

// updateSuspicion makes suspects of calls that were in flight at a crash, and clears a
// suspect that succeeded.
func (pool *Pool) updateSuspicion(now bvclock.Time, ended *call, outcome Outcome) {
	switch outcome {
	case Crashed:
		pool.suspectInFlight(now, ended)
		pool.recordFailedCall(now, ended)
	case Silent:
		pool.recordFailedCall(now, ended)
	case Succeeded:
		if held := pool.suspicionOf(&ended.request); held != nil && ended.isolated {
			pool.clearSuspicion(held)
		}
	}
}

// settleCharge replaces the estimated charge by the actual work and updates the
// averages.
func (pool *Pool) settleCharge(now bvclock.Time, ended *call, finish Finish) {
	if ended.lapsed {
		return
	}
	work := pool.cost.Work(finish.PromptTokens-finish.CachedTokens, finish.OutputTokens) * ended.slots()
	switch finish.Outcome {
	case Unused, Refused:
		work = 0
		pool.refundRetry(ended)
	case Crashed:
		// The members of other calls on the endpoint do not pay for the crash.
		work = 0
		if ended.isolated {
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
	pool.averageWork.add(float64(work / ended.slots()))
	pool.averageDuration.add(took)
	pool.learnOutput(&ended.request, finish.OutputTokens)
	if ended.incarnation != nil && ended.expectedMs > 0 {
		ended.incarnation.endpoint.speed.add(took / ended.expectedMs)
	}
}

// cachedAfter is how many tokens of the program the endpoint caches after the call.
func (call *call) cachedAfter(finish Finish) int {
	switch finish.Outcome {
	case Succeeded:
		return max(finish.PromptTokens+finish.OutputTokens, call.cachedTokens)
	case Canceled:
		return max(finish.PromptTokens, call.cachedTokens)
	case Crashed:
		return 0
	}
	return call.cachedTokens
}

// releaseStalePrefixes releases copies of the program's prefix that are not worth their
// memory: older copies on other endpoints, and this one if it would be evicted before
// the program's next call.
func (pool *Pool) releaseStalePrefixes(now bvclock.Time, ended *call, finish Finish) {
	if finish.Outcome != Succeeded || ended.prefix == nil {
		return
	}
	for _, prefix := range ended.program.prefixes {
		if prefix != ended.prefix && prefix.pins == 0 {
			pool.releasePrefix(now, prefix)
		}
	}
	current := ended.prefix
	ended.program.paused = finish.Pause > minLongPause
	pool.countMemory(ended.program)
	if current.pins == 0 && current.endpoint.cache.evictsWithin(finish.Pause) {
		current.endpoint.cache.remove(current)
		current.tokens = 0
		pool.releasePrefix(now, current)
	}
}

// Adopt records a call that already runs. Its owner reports it to a new deciding host
// after the old one failed.
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
		adopted.incarnation = pool.endpointNamed(now, endpoint).incarnation
	}
	adopted.program.openRequests++
	pool.stopTimer(&adopted.program.timer)
	pool.startCall(now, adopted)
	pool.setTimer(&adopted.timer, now.Add(callTTL), adopted)
}
