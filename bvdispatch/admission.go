package bvdispatch

import (
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvmechanism"
)

// Admission of new programs, for a crowd that is larger than the engines can serve in
// time. Calls that crowd each other take longer, so that more are under way at once and
// the crowding outlasts the crowd. A program is turned away before its first turn, when
// nothing is lost yet; programs under way go on.
const (
	// fullShare is how many calls there may be, as a share of the engines'
	// places, before new programs of the less urgent routes are turned away. A few
	// more than there are places wait little longer than for their prompts to be read.
	fullShare = 1.2
	// urgentShare is added for the most urgent routes, whose programs then
	// find room that less urgent ones have left.
	urgentShare = 0.10
	// leastReturn and mostReturn bound the time after which a refused caller
	// should come back. It is drawn at random between them, so that a crowd does not
	// return as one.
	leastReturn = 300 * bvclock.Millisecond
	mostReturn  = 900 * bvclock.Millisecond
)

// NewProgram is a program that may begin.
type NewProgram struct {
	Priority  int
	Workspace string // "": of none
}

// Admit reports whether a new program may begin. If not, it returns the time after
// which to come back.
func (pool *Pool) Admit(now bvclock.Time, newcomer NewProgram) (bvclock.Duration, bool) {
	if pool.without.Has(bvmechanism.Admission) || pool.share(now) < pool.limit(now, newcomer) {
		if newcomer.Workspace != "" {
			pool.begun.add(now, newcomer.Workspace)
		}
		return 0, true
	}
	return leastReturn + bvclock.Duration(pool.random.Int64N(int64(mostReturn-leastReturn))), false
}

// limit is the share of places from which on a newcomer is turned away.
func (pool *Pool) limit(now bvclock.Time, newcomer NewProgram) float64 {
	limit := fullShare
	if newcomer.Priority == 0 {
		limit += urgentShare
	}
	if newcomer.Workspace == "" || pool.without.Has(bvmechanism.Fairness) {
		return limit
	}
	if dominant, found := pool.begun.dominant(now); found && dominant != newcomer.Workspace {
		limit += othersShare
	}
	return limit
}

// share is the share of all places that are taken, at endpoints that may get
// new calls. A pool without any is not full: what it can't serve is refused
// when an endpoint is chosen. Of many endpoints, a sample tells enough.
func (pool *Pool) share(now bvclock.Time) float64 {
	load, slots := 0.0, 0.0
	add := func(row *endpoint) {
		if row.open(now) {
			load += row.load(now)
			slots += row.slots()
		}
	}
	if len(pool.rows) <= shareRows {
		for _, row := range pool.rows {
			add(row)
		}
	} else {
		for range shareRows {
			add(pool.rows[pool.random.IntN(len(pool.rows))])
		}
	}
	if slots == 0 {
		return 0
	}
	return load / slots
}
