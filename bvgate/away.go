package bvgate

import (
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvverdict"
)

const (
	// longestReturn bounds the time to come back that new programs are told.
	longestReturn = 5 * bvclock.Minute
	// returnGrace is how late a program may come back and find its place.
	returnGrace = 10 * bvclock.Second
	// awayLimit bounds how many places are kept for a member.
	awayLimit = 4096
)

// away is the line of a member's new programs that were told to come back.
//
// Without a line the told time is a guess: all who were sent away come back to
// find the place of one, newcomers take it first, and some give up after many
// returns.
type away struct {
	due   map[string]bvclock.Time // by program
	line  []place                 // in the order of due
	taken flow                    // new programs a millisecond
}

type place struct {
	program string
	due     bvclock.Time
}

// rejectStart returns why a new program has to come back, or nil.
func (pool *Pool) rejectStart(now bvclock.Time, asked *request) *bvverdict.Error {
	away := &asked.member.away
	away.expire(now)
	due, returns := away.due[asked.Program]
	backlog, limit := pool.backlogTime(now, asked.member), pool.limits.wait()
	if backlog <= limit && (returns && !due.After(now) || len(away.due) == 0 || backlog <= limit/2) {
		delete(away.due, asked.Program)
		return nil
	}
	wait := away.send(now, asked.Program, backlog-limit)
	return overloaded(wait, "backlog of member %s is %s", asked.Member, backlog)
}

// send returns when a program is to come back: after those that were sent away
// before it, at the pace at which new programs are taken, and not before the
// excess of backlog is worked off. One that comes too early keeps its place.
func (away *away) send(now bvclock.Time, program string, excess bvclock.Duration) bvclock.Duration {
	wait := max(excess, minReturn)
	if due, ok := away.due[program]; ok {
		wait = max(wait, due.Sub(now))
	} else if pace, ok := away.taken.rate(now); ok {
		wait = max(wait, bvclock.Duration(float64(len(away.due)+1)/float64(pace)))
	}
	wait = min(wait, longestReturn)
	if program != "" && len(away.line) < awayLimit {
		away.keep(place{program: program, due: now.Add(wait)})
	}
	return wait
}

func (away *away) keep(kept place) {
	if away.due == nil {
		away.due = make(map[string]bvclock.Time)
	}
	away.due[kept.program] = kept.due
	away.line = append(away.line, kept)
}

// expire drops the places of programs that did not come back in time.
func (away *away) expire(now bvclock.Time) {
	for len(away.line) > 0 && now.After(away.line[0].due.Add(returnGrace)) {
		if away.due[away.line[0].program] == away.line[0].due {
			delete(away.due, away.line[0].program)
		}
		away.line = away.line[1:]
	}
}
