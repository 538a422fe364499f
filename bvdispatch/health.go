package bvdispatch

import "balsamvalve.example/bvclock"

//go:generate stringer -type=Outcome -linecomment -output=outcome_string.go

// Outcome is how a call at an endpoint ended, as far as it says something of
// the endpoint.
type Outcome int

// The outcomes.
const (
	Served      Outcome = iota // served
	Full                       // full
	Unreachable                // unreachable
	Broken                     // broken
	Withdrawn                  // withdrawn
	Wrong                      // wrong instance
)

// Result is how a call at an endpoint ended.
type Result struct {
	Outcome          Outcome
	Duration         bvclock.Duration // since its sending
	AnswerStarted    bool             // an answer began
	IsError          bool             // the answer is an error of the endpoint's own
	Pace             bvclock.Duration // for an event, or for a whole answer without events; 0: not known
	OutputTokens     int              // tokens that were generated
	UncachedTokens   int              // prompt tokens that were thought not to be cached
	TimeToFirstEvent bvclock.Duration // from the sending to the first event; 0: none, or the call waited
}

const (
	// firstAway is how long an endpoint gets no calls after its first
	// failure; it doubles with each further one. Endpoints that crash are
	// back after some seconds.
	firstAway = 250 * bvclock.Millisecond
	lastAway  = 4 * bvclock.Second
	// fullAway is how long an endpoint that was full gets no calls: about the
	// time in which a slot gets free.
	fullAway = 25 * bvclock.Millisecond
)

// health is what calls showed of an endpoint.
type health struct {
	failures  int // in a row
	awayUntil bvclock.Time
}

func (health *health) away(now bvclock.Time) bool {
	return now.Before(health.awayUntil)
}

func (health *health) judge(now bvclock.Time, outcome Outcome) {
	switch outcome {
	case Served:
		health.failures = 0
	case Full:
		health.awayUntil = max(health.awayUntil, now.Add(fullAway))
	case Unreachable, Broken:
		pause := min(firstAway<<min(health.failures, 8), lastAway)
		if outcome == Broken && health.failures == 0 {
			pause = 0 // one broken answer says little
		}
		health.failures++
		health.awayUntil = max(health.awayUntil, now.Add(pause))
	case Wrong:
		health.awayUntil = max(health.awayUntil, now.Add(lastAway))
	}
}
