package bvfront

import "balsamvalve.example/bvclock"

// Turns of kept conversations while the store is away. The end of a turn is given only
// once the turn is stored. Callers come back a few times, after at most a third of their
// time, so the longest outages are covered by sending a caller away once and running its
// turn, with the end held, when it is back. Most outages are short: in their first
// seconds turns are run at once.
const (
	// runAtOnceFor is how long an outage has lasted when turns are no longer run
	// at once: callers wait for about as long for the end of an answer.
	runAtOnceFor = 2 * bvclock.Second
	// waitShare is the part of the time left after which a caller is to come
	// back. Callers heed at most a third.
	waitShare = 0.33
	// freshShare is the part of a route's time that a caller has left at its
	// first try: it has spent more than that by the time it comes back.
	freshShare = 0.85
	// refuseAfter is how long an outage has lasted when turns are no longer
	// begun: callers give up after about as long, so that the engines' work
	// would mostly be in vain.
	refuseAfter = 12 * bvclock.Second
)

// holdTurn decides on a turn that can't be kept now: whether it is run, to be ended
// when the store is back, or after which time its caller is to come back. Away is
// how long the store has been away; left is how long the caller still waits, of a
// time that is whole for its first try.
func holdTurn(away, left, whole bvclock.Duration) (comeBack bvclock.Duration, run bool) {
	wait := bvclock.Duration(waitShare * float64(left))
	switch {
	case away >= refuseAfter:
		return wait, false
	case away < runAtOnceFor:
		return 0, true
	case whole > 0 && float64(left) >= freshShare*float64(whole):
		return wait, false
	}
	return 0, true
}
