package bvfront

import "balsamvalve.example/bvclock"

// Turns of conversations that are kept, while the store is away.
//
// A turn's end can't be given before the turn is in the store, and a caller leaves
// when nothing comes for some seconds. So a turn that is run at once is lost with
// the engine's work if the outage goes on for longer than that; a turn that is sent
// away is lost if its caller comes back too early too often. Callers come back once
// or twice in the time that they give a request, after at most a third of it, and
// begin a turn anew a few times. So each of their tries covers the most of an outage
// if its caller is first sent away for a third of its time, and its turn is run, and
// its end held, when the caller is back: with 4 s for a request and three tries,
// outages of up to 9 s are covered, where running at once covers 7 s and sending
// away each time 4 s (TestTurnsOutlastAnOutage). Most outages are over sooner, so
// in their first seconds turns are run at once: their ends come the moment the
// store is back.
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
