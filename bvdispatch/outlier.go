package bvdispatch

import (
	"math"

	"balsamvalve.example/bvclock"
)

// Outlier detection. An endpoint is judged by the outcomes of its calls, whatever its
// health check reports. The hosts of an availability zone share their outcomes, since one
// host has few calls at an endpoint; zones don't, since a fault may concern the calls from
// one zone only. An outlier is not ejected: it costs more, so that it still gets an
// occasional call and can recover.
const (
	// outlierDecay is the time constant of the decay of the statistics: short compared
	// with faults, and long compared with the time between two calls of a zone to an
	// endpoint.
	outlierDecay = 3 * bvclock.Second
	// priorCalls are added to the number of calls, so that one failure among few calls
	// has little weight.
	priorCalls = 4
	// failureCostMs is the cost of a call that fails: it is repeated from its start, after
	// a pause.
	failureCostMs = 1000
	// slowRatio is the ratio of an endpoint's pace to the mean of its service above which
	// the endpoint counts as slow. Full engines are slower than idle ones, but are not
	// outliers.
	slowRatio = 2
	// hangTimeout is the time after which a withdrawn call without any answer counts as
	// failed.
	hangTimeout = 1000 * bvclock.Millisecond
)

// OutcomeReport sums up how calls at an endpoint ended. Reports are added up.
type OutcomeReport struct {
	Calls      int
	Failures   int
	PacedCalls int // calls whose pace is known
	PaceMs     int // sum of their paces: time per event, or of a whole answer without events
	// ReportedPace is the pace that the endpoint has just reported to the host, in percent; 0: none.
	ReportedPace int
}

func (report *OutcomeReport) add(other OutcomeReport) {
	report.Calls += other.Calls
	report.Failures += other.Failures
	report.PacedCalls += other.PacedCalls
	report.PaceMs += other.PaceMs
}

// outlierStats sums up the reports of this zone's hosts on an endpoint, with exponential
// decay. The zero value has no reports.
type outlierStats struct {
	calls, failures, pacedCalls, paceMs float64
	updatedAt                           bvclock.Time
}

func (stats *outlierStats) decay(now bvclock.Time) {
	factor := math.Exp(-float64(now.Sub(stats.updatedAt)) / float64(outlierDecay))
	stats.calls *= factor
	stats.failures *= factor
	stats.pacedCalls *= factor
	stats.paceMs *= factor
	stats.updatedAt = now
}

func (stats *outlierStats) add(now bvclock.Time, report OutcomeReport) {
	stats.decay(now)
	stats.calls += float64(report.Calls)
	stats.failures += float64(report.Failures)
	stats.pacedCalls += float64(report.PacedCalls)
	stats.paceMs += float64(report.PaceMs)
}

// costMs returns the expected extra cost of a call at the endpoint compared with others, in
// milliseconds. Pace and duration are the service's means.
func (stats outlierStats) costMs(now bvclock.Time, pace, duration float64) float64 {
	if stats.calls == 0 || stats.failures == 0 && pace == 0 {
		return 0
	}
	stats.decay(now)
	cost := failureCostMs * stats.failures / (stats.calls + priorCalls)
	if stats.pacedCalls > 0 && pace > 0 {
		confidence := stats.pacedCalls / (stats.pacedCalls + priorCalls)
		if ratio := stats.paceMs / stats.pacedCalls / pace; ratio > slowRatio {
			cost += confidence * (ratio - 1) * duration
		}
	}
	return cost
}

// outlierPace returns the mean pace that slow endpoints are compared with, or 0 where their
// speed factors account for it.
func (pool *Pool) outlierPace() float64 {
	if pool.speeds.reporters > 0 {
		return 0
	}
	return pool.pace.valueOr(0)
}

// reportFrom returns the report of one call. It is empty where the result does not
// indicate the endpoint's health.
func reportFrom(result Result) OutcomeReport {
	report := OutcomeReport{Calls: 1}
	switch {
	case result.Outcome == Broken, result.Outcome == Unreachable, result.IsError:
		report.Failures = 1
	case result.Outcome == Withdrawn && !result.AnswerStarted && result.Duration > hangTimeout:
		report.Failures = 1
	case result.Outcome == Withdrawn, result.Outcome == Full, result.Outcome == Wrong:
		return OutcomeReport{}
	case result.Pace > 0:
		report.PacedCalls, report.PaceMs = 1, int(result.Pace)
	}
	return report
}
