package bvrouter

import "balsamvalve.example/bvclock"

// A change of the list of endpoints must reach the decisions of a host within the drain
// bound, and a new desired state within the apply bound. The steps on the way add up, also
// if one request gets no answer, so each step has a share of the bound. The sums are those of
// TestStepsOfAChangeFitIntoItsBound.
const (
	// pollShare is the time between two requests to the store for changes of the list of
	// endpoints, the wait for a change included.
	pollShare = 0.5
	// readerPollShare is the same for a host that reads for others, and for its requests
	// for the desired state.
	readerPollShare = 0.15
	// followerPollShare is the time between two requests of a host to a reader.
	followerPollShare = 0.25
	// sourceTimeoutShare is the limit of a request to another host.
	sourceTimeoutShare = 0.1
	// maxFollowedAgeShare is the maximum age of a list or a desired state that a host
	// accepts from a reader. A reader's is at most two polls old.
	maxFollowedAgeShare = 0.35
	// pollGraceShare is how long after its wait a request for changes may be answered.
	pollGraceShare = 0.15
	// rereadShare is how long a request without a wait takes that is answered.
	rereadShare = 0.05
	// sendShare is the time from the choice of an endpoint until the request arrives there:
	// to connect, and the latency of the network.
	sendShare = 0.2

	// stateWaitShare is how long the store holds a request for a new desired state. Two
	// waits must fit into the time for which the state counts as up to date: it gets that
	// old before an answer arrives.
	stateWaitShare = 0.43
	// followerStateShare is the time between two requests of a host to a reader for the
	// desired state.
	followerStateShare = 0.2

	// maxRelayedAgeShare is the maximum age of a list that a host accepts from another one
	// while the store does not answer it: an older list is better than none.
	maxRelayedAgeShare = 0.6
)

const (
	// maxWait is the maximum time between two polls of the list of endpoints, and the
	// maximum wait of a request to the platform for changes of the desired state. It also
	// bounds how long a dead connection goes unnoticed.
	maxWait = 1500 * bvclock.Millisecond
	// maxPollGrace bounds the time to answer, and pollGraceFactor is that time as a multiple
	// of the average duration of calls, if that is more.
	maxPollGrace    = 1500 * bvclock.Millisecond
	pollGraceFactor = 3
	// minWait is the wait of a request that should be answered immediately.
	minWait = 1 * bvclock.Millisecond
	// pausePerEndpoint is the pause after changes for each endpoint of the list: in a
	// longer list, changes are more frequent.
	pausePerEndpoint = 0.1 // milliseconds
)

// shareOf returns a share of a bound.
func shareOf(bound bvclock.Duration, share float64) bvclock.Duration {
	return bvclock.Duration(share * float64(bound))
}

// pollInterval returns the time between two requests to the store for changes that must be
// known within a bound.
func pollInterval(bound bvclock.Duration) bvclock.Duration {
	return min(maxWait, shareOf(bound, pollShare))
}

// pollGrace returns how long after its wait a request for changes may be answered, if they
// must be known within a bound. It allows for a slow store, whose calls take a certain time
// on average.
func pollGrace(bound, averageAnswerTime bvclock.Duration) bvclock.Duration {
	return min(max(shareOf(bound, pollGraceShare), pollGraceFactor*averageAnswerTime), maxPollGrace)
}

// stateWait returns how long the platform holds a request for changes of the desired
// state, which must be in force within a bound.
func stateWait(apply bvclock.Duration) bvclock.Duration {
	return min(maxWait, shareOf(apply, stateWaitShare))
}

// pollPace decides how long requests for changes wait, and how long to pause between them.
// The wait and the pause before it take at most one interval, after which changes are known.
// The zero value waits for the full interval.
//
// Some answers come early without a change, since endpoints write their entries at each
// heartbeat. Without pauses, the number of requests would grow with that of endpoints.
type pollPace struct {
	wait bvclock.Duration // of the next request; 0: the interval
}

func (pace *pollPace) nextWait(interval bvclock.Duration) bvclock.Duration {
	if pace.wait == 0 {
		return interval
	}
	return min(pace.wait, interval)
}

// pauseAfterNoChange returns the pause after a request that was answered without a change.
func (pace *pollPace) pauseAfterNoChange(interval, elapsed bvclock.Duration) bvclock.Duration {
	wait := pace.nextWait(interval)
	if elapsed < wait {
		pace.wait = max(elapsed, minWait)
	} else {
		pace.wait = min(2*wait, interval)
	}
	return interval - pace.wait
}

// pauseAfterChange returns the pause after a request that was answered with a change, for a
// list of a number of endpoints. Further changes are gathered meanwhile.
func (pace *pollPace) pauseAfterChange(interval, elapsed bvclock.Duration, endpoints int) bvclock.Duration {
	pause := min(interval, bvclock.Duration(pausePerEndpoint*float64(endpoints))) - elapsed
	pace.wait = max(interval-max(pause, 0), minWait)
	return pause
}
