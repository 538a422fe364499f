package bvdispatch

import (
	"math"

	"balsamvalve.example/bvclock"
)

// paceMean is a geometric mean, in milliseconds per event or answer, in which a single
// response that hung has little weight. The zero value is the mean of none.
type paceMean struct {
	value     float64
	responses float64 // at most maxMeasuredResponses
	updatedAt bvclock.Time
}

// add adds a number of responses with a mean pace.
func (mean *paceMean) add(now bvclock.Time, pace, responses float64, lifetime bvclock.Duration) {
	past := mean.weight(now, lifetime)
	if past == 0 {
		mean.value = pace
	}
	mean.value *= math.Pow(pace/mean.value, responses/(past+responses))
	mean.responses, mean.updatedAt = min(past+responses, maxMeasuredResponses), now
}

// weight returns the number of responses, less the later the last one was.
func (mean *paceMean) weight(now bvclock.Time, lifetime bvclock.Duration) float64 {
	return mean.responses * max(1-float64(now.Sub(mean.updatedAt))/float64(lifetime), 0)
}
