package bvdispatch

import (
	"math"

	"balsamvalve.example/bvclock"
)

// Outlier detection. An endpoint is judged by how its calls end, whatever its health
// check says. Hosts of one availability zone judge together, since one host sees few
// calls of an endpoint, and zones apart, since a fault may concern one zone's calls
// only. An outlier is not ejected: it costs more, so that it still gets a call now and
// then and can recover.
const (
	// judgementLife is the time constant of the decay of what was seen: short beside
	// faults, and long beside the time between two calls of a zone to an endpoint.
	judgementLife = 3 * bvclock.Second
	// doubtCalls are added to the calls that were seen, so that one failure
	// among few calls says little.
	doubtCalls = 4
	// failureCost is the cost of a call that fails, in milliseconds: it is made again
	// from its start, after a pause.
	failureCost = 1000
	// slowRatio is from where on an endpoint counts as slow, against the mean of its
	// service. Full engines are slower than idle ones, and no outliers.
	slowRatio = 2
	// hungAfter is from when on a call that was given up without any answer counts as
	// failed.
	hungAfter = 1000 * bvclock.Millisecond
)

// Report is how an endpoint's calls ended. Reports add up.
type Report struct {
	Ended  int
	Failed int
	Paced  int // calls whose pace is known
	Pace   int // sum of their milliseconds for an event, or for a whole answer without events
}

func (report *Report) add(other Report) {
	report.Ended += other.Ended
	report.Failed += other.Failed
	report.Paced += other.Paced
	report.Pace += other.Pace
}

// judgement is what reports of this zone's hosts say of an endpoint. The zero
// value is no judgement.
type judgement struct {
	ended, failed, paced, pace float64
	at                         bvclock.Time
}

func (judgement *judgement) fade(now bvclock.Time) {
	left := math.Exp(-float64(now.Sub(judgement.at)) / float64(judgementLife))
	judgement.ended *= left
	judgement.failed *= left
	judgement.paced *= left
	judgement.pace *= left
	judgement.at = now
}

func (judgement *judgement) add(now bvclock.Time, report Report) {
	judgement.fade(now)
	judgement.ended += float64(report.Ended)
	judgement.failed += float64(report.Failed)
	judgement.paced += float64(report.Paced)
	judgement.pace += float64(report.Pace)
}

// cost is what a call is expected to cost there beyond what it costs elsewhere,
// in milliseconds. Pace and duration are the service's means.
func (judgement judgement) cost(now bvclock.Time, pace, duration float64) float64 {
	if judgement.ended == 0 {
		return 0
	}
	judgement.fade(now)
	cost := failureCost * judgement.failed / (judgement.ended + doubtCalls)
	if judgement.paced > 0 && pace > 0 {
		trust := judgement.paced / (judgement.paced + doubtCalls)
		if ratio := judgement.pace / judgement.paced / pace; ratio > slowRatio {
			cost += trust * (ratio - 1) * duration
		}
	}
	return cost
}

// reportOf is what one call's end says of its endpoint.
func reportOf(result Result) Report {
	report := Report{Ended: 1}
	switch {
	case result.Outcome == Broken, result.Outcome == Unreachable, result.Erred:
		report.Failed = 1
	case result.Outcome == Withdrawn && !result.Begun && result.Took > hungAfter:
		report.Failed = 1
	case result.Outcome == Withdrawn, result.Outcome == Full, result.Outcome == Wrong:
		return Report{}
	case result.Pace > 0:
		report.Paced, report.Pace = 1, int(result.Pace)
	}
	return report
}
