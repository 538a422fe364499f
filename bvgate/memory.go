package bvgate

import (
	"container/heap"

	"balsamvalve.example/bvclock"
)

const (
	// startMemory is the part of the endpoints' memory up to which programs
	// are begun; the member with the least virtual time may go to hardMemory.
	//
	// It guards against thrashing: with more programs under way than the
	// caches hold, each turn evicts the history that another program needs
	// next. It shows as engines that prefill the same tokens again and again.
	startMemory = 0.6
	hardMemory  = 1.2 * startMemory
	// longPause is the pause from which on a program counts as away, and
	// awayPart how much of its cache then counts as needed.
	longPause = 5 * bvclock.Second
	awayPart  = 0.3
)

// line is the queue that the request waits in.
func (queued *request) line() *queue {
	if queued.start {
		return &queued.member.starts
	}
	return &queued.member.queue
}

func (member *member) lines() int { return member.queue.len + member.starts.len }

// next returns the member's request that goes first, or nil if only starts
// wait and there is no memory for one.
func (pool *Pool) next(of *member) *request {
	first, start := of.queue.first(), of.starts.first()
	if start == nil || first != nil && first.before(start) {
		return first
	}
	if pool.fits(start) {
		return start
	}
	return first
}

// fits reports whether the program of a start may begin: there is room in all
// memory or, for the member with the least virtual time, in its share of it,
// so that a rival's programs don't hold up those of a member that needs
// little. Others would take the work of a member that waits for memory. A
// member that runs nothing may always begin one.
func (pool *Pool) fits(start *request) bool {
	if pool.room == 0 || start.member.running == 0 {
		return true
	}
	need := float64(start.PromptTokens + start.OutputTokens)
	if len(pool.held) > 0 {
		return pool.memory+need <= startMemory*float64(pool.room)
	}
	own := start.member
	quota := startMemory * float64(pool.room) * own.weight() / pool.activeWeight
	return pool.memory+need <= hardMemory*float64(pool.room) || own.memory+need <= quota
}

// hold leaves a member out until the next Tick.
func (pool *Pool) hold(held *member) {
	held.held = true
	heap.Remove(&pool.backlog, held.index-1)
	pool.held = append(pool.held, held)
}

func (pool *Pool) unhold() {
	held := pool.held
	pool.held = nil
	for _, member := range held {
		member.held = false
		pool.place(member)
	}
}

// countMemory keeps the sum of what programs need.
func (pool *Pool) countMemory(changed *program) {
	memory := changed.need()
	pool.memory += memory - changed.memory
	pool.member(changed.key.member).memory += memory - changed.memory
	changed.memory = memory
}

// need is the memory in tokens that a program needs: its whole history while a
// call of it waits or runs, whether an endpoint caches it or not, and what is
// still cached of it in a pause.
func (program *program) need() float64 {
	if program.open > 0 {
		return float64(program.history)
	}
	cached := 0
	for _, site := range program.sites {
		cached += site.tokens
	}
	if program.away {
		return awayPart * float64(cached)
	}
	return float64(cached)
}
