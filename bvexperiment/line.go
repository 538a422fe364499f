package bvexperiment

import (
	"cmp"
	"slices"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgate"
)

// lineKey names requests that are taken or refused alike: policies refuse
// programs that start and take the calls of programs under way.
type lineKey struct {
	member string
	starts bool
}

// line works out when a refused request would have been taken, had it stood in
// line with the requests refused before it: when as many requests were taken
// after it as stood before it, and one more.
type line struct {
	waiting  map[bvgate.RequestID]bool // refused, not yet taken or given up
	taken    []bvclock.Time
	refusals []refusal
}

// refusal is the first one of a request.
type refusal struct {
	refusedAt bvclock.Time
	wait      bvclock.Duration
	ahead     int
	taken     int // before
}

// add takes the next request, in the order of asking.
func (line *line) add(asked asked) {
	if !asked.refused {
		line.taken = append(line.taken, asked.at)
		delete(line.waiting, asked.call)
		return
	}
	if asked.wait > 0 && !line.waiting[asked.call] {
		line.refusals = append(line.refusals, refusal{
			refusedAt: asked.refusedAt, wait: asked.wait, ahead: len(line.waiting), taken: len(line.taken),
		})
	}
	line.waiting[asked.call] = true
	if asked.last {
		delete(line.waiting, asked.call)
	}
}

func (line *line) takenAt(refusal refusal) (bvclock.Time, bool) {
	at := refusal.taken + refusal.ahead
	if at >= len(line.taken) {
		return 0, false
	}
	return line.taken[at], true
}

func sortedLines(lines map[lineKey]*line) []lineKey {
	keys := make([]lineKey, 0, len(lines))
	for key := range lines {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b lineKey) int {
		return cmp.Or(cmp.Compare(a.member, b.member), compareBools(a.starts, b.starts))
	})
	return keys
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
