package bvgate

import (
	"container/heap"
	"slices"
	"strings"

	"balsamvalve.example/bvclock"
)

// idleCredit is the work that an idle member may claim when it becomes active again, as
// time at the pool's full rate. A larger credit would let a returning member take all
// endpoints for a while; without any, a member with occasional requests would wait
// behind the calls of a flood.
const idleCredit = 100 * bvclock.Millisecond

const defaultWeight = 1

// member is a member's scheduling state in the pool.
type member struct {
	name         string
	share        MemberShare
	queue        queue   // requests of running programs
	newPrograms  queue   // first requests of programs
	awaitsMemory bool    // has only new programs waiting, and no memory for them
	memory       float64 // needed by its programs, in tokens
	active       bool    // counted in Pool.activeWeight
	queued       int     // all waiting requests, including parked ones and suspects
	running      int
	parkedWork   Work // of parked requests
	// virtualTime is the granted work divided by the weight. The member with the least
	// is served first (start-time fair queueing).
	virtualTime float64
	index       int // in the heap of members, from 1; 0 if it can't be served now
	grantRate   rateMeter
	servedWork  Work    // total, for the status
	rateTokens  float64 // tokens of the rate limit
	refilledAt  bvclock.Time
	timer       timer // refills the rate limit

	suspicions  []suspectKey // oldest first
	retryBudget retryBudget
	retryQueue  retryQueue
}

func (member *member) weight() float64 {
	if member.share.Weight <= 0 {
		return defaultWeight
	}
	return member.share.Weight
}

type memberHeap []*member

func (members memberHeap) Len() int { return len(members) }

func (members memberHeap) Less(i, j int) bool {
	if members[i].virtualTime != members[j].virtualTime {
		return members[i].virtualTime < members[j].virtualTime
	}
	return strings.Compare(members[i].name, members[j].name) < 0
}

func (members memberHeap) Swap(i, j int) {
	members[i], members[j] = members[j], members[i]
	members[i].index = i + 1
	members[j].index = j + 1
}

func (members *memberHeap) Push(item any) {
	added := item.(*member)
	*members = append(*members, added)
	added.index = len(*members)
}

func (members *memberHeap) Pop() any {
	last := (*members)[len(*members)-1]
	(*members)[len(*members)-1] = nil
	*members = (*members)[:len(*members)-1]
	last.index = 0
	return last
}

// SetMembers replaces the shares of the members. A member without a share has weight 1
// and no limits.
func (pool *Pool) SetMembers(shares []MemberShare) {
	for _, found := range pool.membersByName {
		found.share = MemberShare{Member: found.name}
	}
	for _, share := range shares {
		pool.member(share.Member).share = share
	}
	pool.backloggedWeight = 0
	pool.activeWeight = 0
	for _, found := range pool.membersByName {
		if found.queued > 0 {
			pool.backloggedWeight += found.weight()
		}
		if found.active {
			pool.activeWeight += found.weight()
		}
		if found.share.Rate > 0 && found.timer.index == 0 {
			pool.setTimer(&found.timer, 1, found)
		}
		pool.updateBacklog(found)
	}
}

func (pool *Pool) member(name string) *member {
	if pool.members == nil {
		pool.members = make(map[string]*member)
	}
	found := pool.members[name]
	if found == nil {
		found = &member{name: name, share: MemberShare{Member: name}}
		pool.members[name] = found
		at, _ := slices.BinarySearchFunc(pool.membersByName, name, compareMember)
		pool.membersByName = slices.Insert(pool.membersByName, at, found)
	}
	return found
}

// updateActive updates the total weight of the members with waiting or running
// requests.
func (pool *Pool) updateActive(changed *member) {
	active := changed.queued+changed.running > 0
	if active == changed.active {
		return
	}
	changed.active = active
	if active {
		pool.activeWeight += changed.weight()
		return
	}
	pool.activeWeight -= changed.weight()
}

func compareMember(member *member, name string) int {
	return strings.Compare(member.name, name)
}

// updateBacklog adds a member to the heap, moves it there or removes it.
func (pool *Pool) updateBacklog(changed *member) {
	switch {
	case changed.index == 0 && changed.isServable():
		heap.Push(&pool.backlog, changed)
	case changed.index != 0 && !changed.isServable():
		heap.Remove(&pool.backlog, changed.index-1)
	case changed.index != 0:
		heap.Fix(&pool.backlog, changed.index-1)
	}
}

func (member *member) isServable() bool {
	return member.queueLen() > 0 && !member.awaitsMemory && !member.atConcurrencyLimit() && !member.atRateLimit()
}

func (member *member) atConcurrencyLimit() bool {
	return member.share.Concurrency > 0 && member.running >= member.share.Concurrency
}

func (member *member) atRateLimit() bool {
	return member.share.Rate > 0 && member.rateTokens < 1
}

// addWaiting counts a waiting request. A member that was idle resumes with at most
// idleCredit over the others.
func (pool *Pool) addWaiting(now bvclock.Time, added *member) {
	added.queued++
	pool.updateActive(added)
	if added.queued > 1 {
		return
	}
	added.grantRate = rateMeter{since: now, updatedAt: now}
	added.retryQueue.admitted = rateMeter{since: now, updatedAt: now}
	pool.backloggedWeight += added.weight()
	pool.backloggedRunning += added.running
	added.virtualTime = max(added.virtualTime, pool.virtualTime-pool.virtualTolerance())
}

func (pool *Pool) removeWaiting(changed *member) {
	changed.queued--
	pool.updateActive(changed)
	if changed.queued > 0 {
		return
	}
	pool.backloggedWeight -= changed.weight()
	pool.backloggedRunning -= changed.running
}

// virtualTolerance is the difference in virtual time up to which members count as
// equal.
func (pool *Pool) virtualTolerance() float64 {
	return float64(pool.rate()) * float64(idleCredit) / max(pool.backloggedWeight, 1)
}

func (pool *Pool) countRunning(counted *member, change int) {
	counted.running += change
	pool.runningTotal += change
	pool.updateActive(counted)
	if counted.queued > 0 {
		pool.backloggedRunning += change
	}
}

// charge adds work to a member's granted work; corrections may be negative.
func (pool *Pool) charge(now bvclock.Time, charged *member, work Work) {
	charged.grantRate.add(now, work)
	charged.virtualTime += float64(work) / charged.weight()
	charged.servedWork += work
	pool.updateBacklog(charged)
}

// takeRateToken takes a token of the rate limit for a grant.
func (pool *Pool) takeRateToken(now bvclock.Time, limited *member) {
	if limited.share.Rate <= 0 {
		return
	}
	limited.rateTokens--
	if limited.rateTokens >= 1 {
		return
	}
	wait := bvclock.Duration((1-limited.rateTokens)/limited.share.Rate*float64(bvclock.Second)) + 1
	pool.setTimer(&limited.timer, now.Add(wait), limited)
}

// refillRateTokens adds the rate limit's tokens since the last refill, up to those of
// one second.
func (member *member) refillRateTokens(now bvclock.Time) {
	passed := float64(now.Sub(member.refilledAt)) / float64(bvclock.Second)
	member.rateTokens = min(member.rateTokens+passed*member.share.Rate, max(member.share.Rate, 1))
	member.refilledAt = now
}

func (member *member) fire(pool *Pool, now bvclock.Time) {
	member.refillRateTokens(now)
	if member.atRateLimit() {
		pool.setTimer(&member.timer, now.Add(1), member)
	}
	pool.updateBacklog(member)
}
