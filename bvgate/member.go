package bvgate

import (
	"container/heap"
	"slices"
	"strings"

	"balsamvalve.example/bvclock"
)

// idleClaim is the share of the pool's work that a member which was idle may
// claim back: that of this long. A larger claim would let a member that comes
// back take all endpoints for a while; none at all would make a member that
// asks now and then wait behind the calls of a flood.
const idleClaim = 100 * bvclock.Millisecond

const defaultWeight = 1

// member is a member's place in the sharing of the pool.
type member struct {
	name       string
	share      MemberShare
	queue      queue   // of programs under way
	starts     queue   // of those that would begin
	held       bool    // has only starts, which wait for memory
	memory     float64 // that its programs need, in tokens
	active     bool    // counted in pool.activeWeight
	queued     int     // all waiting requests, also those that are not in queue
	running    int
	parkedWork Work // of requests that wait for one endpoint
	// virtual is the work that was granted, divided by the weight. The member
	// with the least goes first (start-time fair queueing).
	virtual float64
	index   int // in the heap of members, from 1; 0 when it may not be served
	flow    flow
	served  Work    // in all, for status
	tokens  float64 // of the rate limit
	refill  bvclock.Time
	timer   timer // of the rate limit

	suspicions []suspectKey // oldest first
	retries    retries
	away       away
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
	if members[i].virtual != members[j].virtual {
		return members[i].virtual < members[j].virtual
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

// SetMembers replaces the shares of the members. A member without one has
// weight 1 and no limits.
func (pool *Pool) SetMembers(shares []MemberShare) {
	for _, found := range pool.byName {
		found.share = MemberShare{Member: found.name}
	}
	for _, share := range shares {
		pool.member(share.Member).share = share
	}
	pool.backloggedWeight = 0
	pool.activeWeight = 0
	for _, found := range pool.byName {
		if found.queued > 0 {
			pool.backloggedWeight += found.weight()
		}
		if found.active {
			pool.activeWeight += found.weight()
		}
		if found.share.Rate > 0 && found.timer.index == 0 {
			pool.setTimer(&found.timer, 1, found)
		}
		pool.place(found)
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
		at, _ := slices.BinarySearchFunc(pool.byName, name, compareMember)
		pool.byName = slices.Insert(pool.byName, at, found)
	}
	return found
}

// activate counts the weight of the members that wait or run.
func (pool *Pool) activate(changed *member) {
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

// place puts a member into the heap, moves it there or takes it out.
func (pool *Pool) place(placed *member) {
	switch {
	case placed.index == 0 && placed.servable():
		heap.Push(&pool.backlog, placed)
	case placed.index != 0 && !placed.servable():
		heap.Remove(&pool.backlog, placed.index-1)
	case placed.index != 0:
		heap.Fix(&pool.backlog, placed.index-1)
	}
}

func (member *member) servable() bool {
	return member.lines() > 0 && !member.held && !member.atConcurrency() && !member.atRate()
}

func (member *member) atConcurrency() bool {
	return member.share.Concurrency > 0 && member.running >= member.share.Concurrency
}

func (member *member) atRate() bool {
	return member.share.Rate > 0 && member.tokens < 1
}

// enter counts a waiting request. A member that was idle resumes at most
// idleClaim behind the others.
func (pool *Pool) enter(now bvclock.Time, entered *member) {
	entered.queued++
	pool.activate(entered)
	if entered.queued > 1 {
		return
	}
	entered.flow = flow{since: now, at: now}
	entered.away.taken = flow{since: now, at: now}
	pool.backloggedWeight += entered.weight()
	pool.backloggedRunning += entered.running
	entered.virtual = max(entered.virtual, pool.virtual-pool.claim())
}

func (pool *Pool) leave(left *member) {
	left.queued--
	pool.activate(left)
	if left.queued > 0 {
		return
	}
	pool.backloggedWeight -= left.weight()
	pool.backloggedRunning -= left.running
}

// claim is the lead in virtual time that counts as none.
func (pool *Pool) claim() float64 {
	return float64(pool.rate()) * float64(idleClaim) / max(pool.backloggedWeight, 1)
}

func (pool *Pool) countRunning(counted *member, change int) {
	counted.running += change
	pool.runningTotal += change
	pool.activate(counted)
	if counted.queued > 0 {
		pool.backloggedRunning += change
	}
}

// charge adds work to what a member was granted; corrections may be negative.
func (pool *Pool) charge(now bvclock.Time, charged *member, work Work) {
	charged.flow.add(now, work)
	charged.virtual += float64(work) / charged.weight()
	charged.served += work
	pool.place(charged)
}

// takeRate takes the rate limit's token for a grant.
func (pool *Pool) takeRate(now bvclock.Time, limited *member) {
	if limited.share.Rate <= 0 {
		return
	}
	limited.tokens--
	if limited.tokens >= 1 {
		return
	}
	wait := bvclock.Duration((1-limited.tokens)/limited.share.Rate*float64(bvclock.Second)) + 1
	pool.setTimer(&limited.timer, now.Add(wait), limited)
}

// refillRate adds the tokens that the rate limit gave since the last time, of
// a second at most.
func (member *member) refillRate(now bvclock.Time) {
	passed := float64(now.Sub(member.refill)) / float64(bvclock.Second)
	member.tokens = min(member.tokens+passed*member.share.Rate, max(member.share.Rate, 1))
	member.refill = now
}

func (member *member) ring(pool *Pool, now bvclock.Time) {
	member.refillRate(now)
	if member.atRate() {
		pool.setTimer(&member.timer, now.Add(1), member)
	}
	pool.place(member)
}
