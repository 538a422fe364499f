package bvfront

import "balsamvalve.example/bvclock"

// Turns of persisted conversations while the store is unreachable. The end of an answer is
// sent only when the turn is stored. Callers retry a few times, each time after at most a
// third of their timeout. Rejecting a caller once and running its turn at the retry, with
// the end of the answer held back, therefore covers the longest outages. Most outages are
// short: in their first seconds, turns run immediately.
const (
	// runAtOnceFor is the duration of an outage from which turns no longer run
	// immediately: callers wait about as long for the end of an answer.
	runAtOnceFor = 2 * bvclock.Second
	// retryShare is the share of its remaining time after which a caller should retry.
	// Callers honor at most a third.
	retryShare = 0.33
	// firstAttemptShare is the share of the route's timeout that remains at least in a
	// caller's first attempt. Less remains at its retry.
	firstAttemptShare = 0.85
	// refuseAfter is the duration of an outage from which no turns are started: callers
	// time out after about as long, so most of the engines' work would be wasted.
	refuseAfter = 12 * bvclock.Second
)

// decideTurn decides on a turn that can't be persisted now: it runs, and its answer ends
// when the store is reachable again, or its caller should retry after retryAfter. outage is
// how long the store has been unreachable, remaining the time until the caller's deadline,
// and total the time that it has for its first attempt.
func decideTurn(outage, remaining, total bvclock.Duration) (retryAfter bvclock.Duration, run bool) {
	wait := bvclock.Duration(retryShare * float64(remaining))
	switch {
	case outage >= refuseAfter:
		return wait, false
	case outage < runAtOnceFor:
		return 0, true
	case total > 0 && float64(remaining) >= firstAttemptShare*float64(total):
		return wait, false
	}
	return 0, true
}
