package bvdispatch

import "balsamvalve.example/bvclock"

//go:generate stringer -type=Outcome -linecomment -output=outcome_string.go

// Outcome is how a call at an endpoint ended, as far as it indicates the endpoint's
// health.
type Outcome int

// The outcomes. Full means that the endpoint rejected the call for lack of slots, Broken
// that the call failed and may have run, Withdrawn that it was canceled or timed out
// without a fault of the endpoint, and Wrong that another endpoint has the address.
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
	Duration         bvclock.Duration // since it was sent
	AnswerStarted    bool             // the endpoint began to answer
	Refused          bool             // nothing listens at the endpoint's address
	IsError          bool             // the answer is an error of the endpoint itself
	Pace             bvclock.Duration // time per event, or of a whole answer without events; 0: unknown
	ReportedPace     int              // that the endpoint reported with the answer, in percent; 0: unknown
	OutputTokens     int              // generated tokens
	UncachedTokens   int              // prompt tokens that were estimated not to be cached
	TimeToFirstEvent bvclock.Duration // since it was sent; 0: no event, or the call waited for a slot
}

const (
	// minPause is how long an endpoint gets no calls after its first failure; the pause
	// doubles with each further one up to maxPause. Endpoints that crash restart within
	// some seconds.
	minPause = 250 * bvclock.Millisecond
	maxPause = 4 * bvclock.Second
	// fullPause is how long an endpoint that was full gets no calls: about the time until
	// a slot is free.
	fullPause = 25 * bvclock.Millisecond
)

// health is the failure state of an endpoint, by its calls.
type health struct {
	failures    int // in a row
	pausedUntil bvclock.Time
}

func (health *health) isPaused(now bvclock.Time) bool {
	return now.Before(health.pausedUntil)
}

func (health *health) recordOutcome(now bvclock.Time, outcome Outcome) {
	switch outcome {
	case Served:
		health.failures = 0
	case Full:
		health.pausedUntil = max(health.pausedUntil, now.Add(fullPause))
	case Unreachable, Broken:
		pause := min(minPause<<min(health.failures, 8), maxPause)
		if outcome == Broken && health.failures == 0 {
			pause = 0 // a single broken answer is no sign of a fault
		}
		health.failures++
		health.pausedUntil = max(health.pausedUntil, now.Add(pause))
	case Wrong:
		health.pausedUntil = max(health.pausedUntil, now.Add(maxPause))
	}
}
