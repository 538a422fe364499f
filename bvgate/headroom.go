package bvgate

import "balsamvalve.example/bvclock"

const (
	// headroomSlots is how many slots an endpoint has at least of which one is
	// left free, as headroom, while a member is owed work.
	headroomSlots = 4
	// headroomFresh is how long it counts who is owed work.
	headroomFresh = 100 * bvclock.Millisecond
)

// headroom leaves one slot of an endpoint to members that run calls and are
// behind in virtual time, or have no lasting backlog.
//
// It guards against a flood: with all slots taken by a rival's long calls,
// each short call of the others waits for one of those to end, at each turn
// anew. It shows as latency of a member that stays far below its share.
type headroom struct {
	owed  int // members
	at    bvclock.Time
	known bool
}

// countOwed counts the members that are owed work, at most once in
// headroomFresh because it looks at all members.
func (pool *Pool) countOwed(now bvclock.Time) {
	headroom := &pool.headroom
	if headroom.known && now.Sub(headroom.at) < headroomFresh {
		return
	}
	headroom.at, headroom.known, headroom.owed = now, true, 0
	for _, member := range pool.byName {
		if member.running > 0 && pool.owed(now, member) {
			headroom.owed++
		}
	}
}

// owed reports whether a member is behind or has no lasting backlog.
func (pool *Pool) owed(now bvclock.Time, member *member) bool {
	lasting := member.queued > 0 && now.Sub(member.flow.since) >= flowLeast
	return !lasting || member.virtual+5*pool.claim() < pool.virtual
}

// spare is how many slots of the endpoint a member may take now.
func (pool *Pool) spare(now bvclock.Time, at *endpoint, of *member) int {
	free := at.free()
	if pool.headroom.owed > 0 && at.usable() >= headroomSlots && !pool.owed(now, of) {
		return free - 1
	}
	return free
}
