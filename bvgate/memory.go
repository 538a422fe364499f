package bvgate

import (
	"container/heap"

	"balsamvalve.example/bvclock"
)

const (
	// softMemoryPart is the part of the endpoints' memory up to which new programs are
	// admitted; the member with the least virtual time may use up to hardMemoryPart.
	//
	// It guards against thrashing: with more running programs than the caches hold,
	// each turn evicts the history that another program needs next, and engines prefill
	// the same tokens again and again.
	softMemoryPart = 0.6
	hardMemoryPart = 1.2 * softMemoryPart
	// minLongPause is the pause from which a program counts as paused, and
	// pausedMemoryPart the part of its cache that then counts as needed.
	minLongPause     = 5 * bvclock.Second
	pausedMemoryPart = 0.3
)

// memberQueue is the queue in which the request waits.
func (queued *request) memberQueue() *queue {
	if queued.newProgram {
		return &queued.member.newPrograms
	}
	return &queued.member.queue
}

func (member *member) queueLen() int { return member.queue.len + member.newPrograms.len }

// nextRequest returns the member's next request, or nil if only new programs wait and
// there is no memory for one.
func (pool *Pool) nextRequest(of *member) *request {
	running, starting := of.queue.peek(), of.newPrograms.peek()
	if starting == nil || running != nil && running.before(starting) {
		return running
	}
	if pool.fitsMemory(starting) {
		return starting
	}
	return running
}

// fitsMemory reports whether a new program may start: it fits the total memory or, for
// the member with the least virtual time, the member's share of it, so that a rival's
// programs don't delay those of a member that needs little. While members wait for
// memory, only the soft limit counts, or other members would take their work. A member
// without running calls may always start one.
func (pool *Pool) fitsMemory(first *request) bool {
	if pool.cacheCapacity == 0 || first.member.running == 0 {
		return true
	}
	need := float64(first.PromptTokens + first.OutputTokens)
	if len(pool.awaitingMemory) > 0 {
		return pool.memory+need <= softMemoryPart*float64(pool.cacheCapacity)
	}
	own := first.member
	quota := softMemoryPart * float64(pool.cacheCapacity) * own.weight() / pool.activeWeight
	return pool.memory+need <= hardMemoryPart*float64(pool.cacheCapacity) || own.memory+need <= quota
}

// holdForMemory excludes a member until the next Tick.
func (pool *Pool) holdForMemory(held *member) {
	held.awaitsMemory = true
	heap.Remove(&pool.backlog, held.index-1)
	pool.awaitingMemory = append(pool.awaitingMemory, held)
}

func (pool *Pool) unholdAll() {
	held := pool.awaitingMemory
	pool.awaitingMemory = nil
	for _, member := range held {
		member.awaitsMemory = false
		pool.updateBacklog(member)
	}
}

// countMemory updates the sums of the memory that programs need.
func (pool *Pool) countMemory(changed *program) {
	memory := changed.memoryNeed()
	pool.memory += memory - changed.memory
	pool.member(changed.key.member).memory += memory - changed.memory
	changed.memory = memory
}

// memoryNeed is the memory in tokens that a program needs: its whole history while it
// has a waiting or running call, whether or not an endpoint caches it, and otherwise
// the part that is still cached.
func (program *program) memoryNeed() float64 {
	if program.openRequests > 0 {
		return float64(program.historyTokens)
	}
	cached := 0
	for _, prefix := range program.prefixes {
		cached += prefix.tokens
	}
	if program.paused {
		return pausedMemoryPart * float64(cached)
	}
	return float64(cached)
}
