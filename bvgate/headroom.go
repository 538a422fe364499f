package bvgate

import "balsamvalve.example/bvclock"

const (
	// headroomSlots is how many slots an endpoint has at least of which one is
	// left free, as headroom, by members that have more than their share.
	headroomSlots = 4
	// headroomFresh is how long it counts who has less than its share.
	headroomFresh = 100 * bvclock.Millisecond
)

// headroom leaves one slot of an endpoint to members that have calls running,
// but fewer than their share.
//
// It guards against a flood: with all slots taken by a rival's long calls,
// each short call of the others waits for one of those to end, at each turn
// anew. It shows as latency of a member that stays far below its share.
type headroom struct {
	modest int // members with less than their share
	at     bvclock.Time
	known  bool
}

// countModest counts the members that run less than their share of the slots,
// at most once in headroomFresh because it looks at all members.
func (pool *Pool) countModest(now bvclock.Time) {
	headroom := &pool.headroom
	if headroom.known && now.Sub(headroom.at) < headroomFresh {
		return
	}
	headroom.at, headroom.known, headroom.modest = now, true, 0
	pool.activeWeight = 0
	for _, member := range pool.byName {
		if member.running+member.queued > 0 {
			pool.activeWeight += member.weight()
		}
	}
	for _, member := range pool.byName {
		lasting := member.queued > 0 && now.Sub(member.flow.since) >= flowLeast
		if member.running > 0 && !lasting && !pool.immodest(member) {
			headroom.modest++
		}
	}
}

// immodest reports whether a member runs its share of the slots or more.
func (pool *Pool) immodest(member *member) bool {
	return float64(member.running)*pool.activeWeight >= member.weight()*float64(pool.slots)
}

// spare is how many slots of the endpoint a member may take now.
func (pool *Pool) spare(at *endpoint, of *member) int {
	free := at.free()
	if pool.headroom.modest > 0 && at.usable() >= headroomSlots && pool.immodest(of) {
		return free - 1
	}
	return free
}
