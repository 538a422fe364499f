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
	// outlierDecay is the time constant of the decay of what was seen: short beside
	// faults, and long beside the time between two calls of a zone to an endpoint.
	outlierDecay = 3 * bvclock.Second
	// priorCalls are added to the calls that were seen, so that one failure
	// among few calls says little.
	priorCalls = 4
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

// OutcomeReport is how an endpoint's calls ended. Reports add up.
type OutcomeReport struct {
	Calls      int
	Failures   int
	PacedCalls int // calls whose pace is known
	PaceMs     int // sum of their milliseconds for an event, or for a whole answer without events
}

func (report *OutcomeReport) add(other OutcomeReport) {
	report.Calls += other.Calls
	report.Failures += other.Failures
	report.PacedCalls += other.PacedCalls
	report.PaceMs += other.PaceMs
}

// outlierStats is what reports of this zone's hosts say of an endpoint. The zero
// value is no outlierStats.
type outlierStats struct {
	ended, failed, paced, pace float64
	at                         bvclock.Time
}

func (stats *outlierStats) fade(now bvclock.Time) {
	left := math.Exp(-float64(now.Sub(stats.at)) / float64(outlierDecay))
	stats.ended *= left
	stats.failed *= left
	stats.paced *= left
	stats.pace *= left
	stats.at = now
}

func (stats *outlierStats) add(now bvclock.Time, report OutcomeReport) {
	stats.fade(now)
	stats.ended += float64(report.Calls)
	stats.failed += float64(report.Failures)
	stats.paced += float64(report.PacedCalls)
	stats.pace += float64(report.PaceMs)
}

// cost is what a call is expected to cost there beyond what it costs elsewhere,
// in milliseconds. Pace and duration are the service's means.
func (stats outlierStats) cost(now bvclock.Time, pace, duration float64) float64 {
	if stats.ended == 0 {
		return 0
	}
	stats.fade(now)
	cost := failureCost * stats.failed / (stats.ended + priorCalls)
	if stats.paced > 0 && pace > 0 {
		trust := stats.paced / (stats.paced + priorCalls)
		if ratio := stats.pace / stats.paced / pace; ratio > slowRatio {
			cost += trust * (ratio - 1) * duration
		}
	}
	return cost
}

// reportOf is what one call's end says of its endpoint.
func reportOf(result Result) OutcomeReport {
	report := OutcomeReport{Calls: 1}
	switch {
	case result.Outcome == Broken, result.Outcome == Unreachable, result.IsError:
		report.Failures = 1
	case result.Outcome == Withdrawn && !result.AnswerStarted && result.Duration > hungAfter:
		report.Failures = 1
	case result.Outcome == Withdrawn, result.Outcome == Full, result.Outcome == Wrong:
		return OutcomeReport{}
	case result.Pace > 0:
		report.PacedCalls, report.PaceMs = 1, int(result.Pace)
	}
	return report
}
