package bvgate

import (
	"slices"

	"balsamvalve.example/bvclock"
)

const (
	// isolationPart is the part of the endpoints that suspects may empty at a
	// time; one endpoint at least.
	isolationPart = 16
	// suspectsWeighed bounds the work of a Tick when many suspects wait.
	suspectsWeighed = 8
)

// countFlight counts the calls in flight of one content.
func (pool *Pool) countFlight(request *Request, change int) {
	if request.Fingerprint == 0 {
		return
	}
	if pool.flights == nil {
		pool.flights = make(map[suspectKey]int)
	}
	key := keyOf(request)
	pool.flights[key] += change
	if pool.flights[key] == 0 {
		delete(pool.flights, key)
	}
}

// setAside moves a suspect from its member's queue to those that wait for an
// empty endpoint, and refuses a poisonous request.
func (pool *Pool) setAside(suspect *request) {
	if pool.poisonous(&suspect.Request) {
		pool.dequeue(suspect)
		pool.refuse(suspect.ID, errPoisonous())
		return
	}
	if suspect.parkedAt != nil {
		suspect.parkedAt.unpark(suspect)
	}
	if suspect.bucket != nil {
		suspect.line().remove(suspect)
	}
	pool.watch(suspect)
	pool.place(suspect.member)
	suspect.aside = true
	pool.suspects = append(pool.suspects, suspect)
}

// serveSuspects gives endpoints to suspects, and reports whether it did
// anything.
func (pool *Pool) serveSuspects(now bvclock.Time) bool {
	served := false
	for range min(suspectsWeighed, len(pool.suspects)) {
		suspect := pool.suspects[0]
		pool.suspects = pool.suspects[1:]
		suspect.aside = false
		if !pool.serveSuspect(suspect) {
			suspect.aside = true
			pool.suspects = append(pool.suspects, suspect)
			continue
		}
		served = true
	}
	for _, at := range slices.Clone(pool.isolated) {
		if at.running() == 0 && at.external == 0 {
			pool.grantAlone(now, at)
			served = true
		}
	}
	return served
}

// serveSuspect refuses a suspect, puts it back into its member's queue or
// isolates an endpoint for it; false leaves it waiting.
func (pool *Pool) serveSuspect(suspect *request) bool {
	held := pool.suspicion(&suspect.Request)
	if held == nil {
		suspect.line().add(suspect)
		pool.place(suspect.member)
		return true
	}
	if held.crashes >= poisonousAt {
		pool.dequeue(suspect)
		pool.refuse(suspect.ID, errPoisonous())
		return true
	}
	if !pool.isolatable(suspect) {
		return false
	}
	pool.isolate(pool.free[0], suspect)
	return true
}

func (pool *Pool) isolate(at *endpoint, suspect *request) {
	suspect.isolates = at
	at.isolates = suspect
	pool.isolated = append(pool.isolated, at)
	pool.countFlight(&suspect.Request, 1)
	pool.seat(at)
	pool.unparkAll(at)
}

func (pool *Pool) isolatable(suspect *request) bool {
	if len(pool.free) == 0 || len(pool.isolated) >= max(1, len(pool.names)/isolationPart) {
		return false
	}
	if pool.flights[keyOf(&suspect.Request)] > 0 {
		return false
	}
	from := suspect.member
	if from.atConcurrency() || from.atRate() {
		return false
	}
	return len(pool.backlog) == 0 || from.virtual <= pool.backlog[0].virtual+pool.claim()
}

// grantAlone grants an empty endpoint to the suspect that waited for it.
func (pool *Pool) grantAlone(now bvclock.Time, at *endpoint) {
	suspect := at.isolates
	if pool.poisonous(&suspect.Request) {
		// Another host told of its second crash, or a call of the same content
		// that was adopted crashed too.
		pool.dequeue(suspect)
		pool.refuse(suspect.ID, errPoisonous())
		return
	}
	if pool.flights[keyOf(&suspect.Request)] > 1 {
		// A call of the same content was adopted while the endpoint emptied.
		pool.abandon(at)
		pool.seat(at)
		return
	}
	chosen := pool.weigh(now, suspect, at)
	chosen.alone = true
	pool.grant(now, suspect, chosen)
}

// unisolate gives an endpoint back that was being emptied for a suspect.
func (pool *Pool) unisolate(suspect *request) {
	at := suspect.isolates
	suspect.isolates = nil
	at.isolates = nil
	pool.isolated = slices.DeleteFunc(pool.isolated, func(other *endpoint) bool { return other == at })
	pool.countFlight(&suspect.Request, -1)
	pool.seat(at)
}

// abandon lets the suspect of an endpoint that closed wait for another one.
func (pool *Pool) abandon(closed *endpoint) {
	suspect := closed.isolates
	if suspect == nil {
		return
	}
	closed.isolates = nil
	suspect.isolates = nil
	pool.isolated = slices.DeleteFunc(pool.isolated, func(other *endpoint) bool { return other == closed })
	pool.countFlight(&suspect.Request, -1)
	suspect.aside = true
	pool.suspects = append(pool.suspects, suspect)
}
