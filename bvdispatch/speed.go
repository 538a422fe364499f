package bvdispatch

import (
	"slices"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvmechanism"
)

// Speed of endpoints, for services whose endpoints differ by hardware or by the load of
// their machines. An endpoint's speed factor states how long its work takes: 1 as usual, 2
// twice as long. It follows from the pace that the endpoint reports, which is up to date for
// a moment, and from the pace of its responses, which remains and can't be false. The
// comparison is docs/design/endpoint-speed.md. Where no endpoint of a service reports a
// pace, all factors are 1.
const (
	// minSpeed and maxSpeed bound the estimate.
	minSpeed = 0.2
	maxSpeed = 8
	// usualPercent is the reported pace of an endpoint whose work takes as long as usual.
	usualPercent = 100
	// paceLifetime is how long a reported pace counts, with a weight that falls linearly: it
	// changes several times a second.
	paceLifetime = bvclock.Second
	// maxSharedPaceAge is the age up to which this host's last report is shared with the
	// other hosts. Theirs count as that old.
	maxSharedPaceAge = 200 * bvclock.Millisecond
	// measurementLifetime is how long measured responses count, with a weight that falls
	// linearly. The hosts of a zone get a response of an endpoint every few seconds.
	measurementLifetime = 15 * bvclock.Second
	// maxMeasuredResponses bounds the weight of past responses, so that the mean follows a
	// change within about as many responses.
	maxMeasuredResponses = 16
	// priorResponses is the weight of the service's median beside the measured responses:
	// the pace of a single response depends on the calls beside it as much as on the endpoint.
	priorResponses = 2
	// A report is contradicted where the responses that came with it took more than
	// conflictRatio times as long as it states, or less than that part of it, on average
	// over minConflictResponses.
	conflictRatio        = 2
	minConflictResponses = 8
	// evidenceLifetime is how long a contradiction counts after the last response.
	evidenceLifetime = bvclock.Minute
	// speedRefreshInterval is the number of reports and responses after which the values
	// of the whole service are computed again, from at most about speedSampleRows endpoints.
	// After the first firstSpeedFacts, they are computed each time.
	speedRefreshInterval = 64
	firstSpeedFacts      = 16
	speedSampleRows      = 512
	// estimateLifetime is how long an estimate is used if nothing new is known of the
	// endpoint. One decision uses it up to four times; a reported pace loses little weight
	// meanwhile.
	estimateLifetime = 20 * bvclock.Millisecond
	// conflictLogInterval is the least time between two log lines on contradicted reports.
	conflictLogInterval = bvclock.Minute
)

// speed is what is known of an endpoint's speed. The zero value is nothing.
type speed struct {
	pace     int // last reported, in percent; 0: none
	paceAt   bvclock.Time
	isOwn    bool     // reported to this host, not to another
	measured paceMean // of all responses
	// evidence is the mean pace of the responses that came with a reported pace, each
	// divided by the reported factor.
	evidence paceMean
}

// setPace sets the reported pace, unless a later one is known.
func (speed *speed) setPace(at bvclock.Time, pace int, isOwn bool) {
	if speed.pace > 0 && at.Before(speed.paceAt) {
		return
	}
	speed.pace, speed.paceAt, speed.isOwn = pace, at, isOwn
}

// paceWeight returns the weight of the reported pace, from 1 down to 0.
func (speed *speed) paceWeight(now bvclock.Time) float64 {
	if speed.pace == 0 {
		return 0
	}
	return min(max(1-float64(now.Sub(speed.paceAt))/float64(paceLifetime), 0), 1)
}

// isContradicted reports whether the responses contradict the reported paces.
func (speed *speed) isContradicted(now bvclock.Time, service *serviceSpeeds) bool {
	if speed == nil || service.usual == 0 || speed.evidence.responses < minConflictResponses || now.Sub(speed.evidence.updatedAt) > evidenceLifetime {
		return false
	}
	ratio := speed.evidence.value / service.usual
	return ratio > conflictRatio || ratio < 1.0/conflictRatio
}

// estimate returns the endpoint's speed factor.
func (speed *speed) estimate(now bvclock.Time, service *serviceSpeeds) float64 {
	if speed.isContradicted(now, service) {
		return clampSpeed(speed.measured.value / service.usual)
	}
	estimate, confidence := service.medianOrUsual(), 0.0
	if responses := speed.measured.weight(now, measurementLifetime); responses > 0 && service.usual > 0 {
		confidence = responses / (responses + priorResponses)
		estimate += confidence * (clampSpeed(speed.measured.value/service.usual) - estimate)
	}
	weight := speed.paceWeight(now) * (1 - confidence*(1-service.reliability()))
	return clampSpeed(estimate + weight*(clampSpeed(factorOf(speed.pace))-estimate))
}

// knownUntil returns the time from which nothing that is known now counts any longer.
func (speed *speed) knownUntil() (until bvclock.Time) {
	if speed.pace > 0 {
		until = speed.paceAt.Add(paceLifetime)
	}
	if speed.measured.responses > 0 {
		until = max(until, speed.measured.updatedAt.Add(measurementLifetime))
	}
	if speed.evidence.responses >= minConflictResponses {
		until = max(until, speed.evidence.updatedAt.Add(evidenceLifetime+1))
	}
	return until
}

// isKnown reports whether the estimate rests on more than the service's median.
func (speed *speed) isKnown(now bvclock.Time, service *serviceSpeeds) bool {
	return speed.paceWeight(now) > 0 || service.usual > 0 && speed.measured.weight(now, measurementLifetime) > 0
}

// factorOf returns the factor that a reported pace states.
func factorOf(pace int) float64 { return float64(pace) / usualPercent }

func clampSpeed(factor float64) float64 { return min(max(factor, minSpeed), maxSpeed) }

// speedOf returns an endpoint's speed factor.
func (pool *Pool) speedOf(now bvclock.Time, row *endpoint) float64 {
	if pool.speeds.reporters == 0 {
		return 1
	}
	if !now.Before(row.knownUntil) {
		return pool.speeds.medianOrUsual()
	}
	if row.factor == 0 || now.Sub(row.factorAt) >= estimateLifetime {
		row.factor, row.factorAt = row.speed.estimate(now, &pool.speeds), now
	}
	return row.factor
}

// changeSpeed returns what is known of the endpoint's speed, for a change.
func (endpoint *endpoint) changeSpeed() *speed {
	if endpoint.speed == nil {
		endpoint.speed = &speed{}
	}
	endpoint.factor = 0
	return endpoint.speed
}

// setPace records a pace that an endpoint reported.
func (pool *Pool) setPace(now, at bvclock.Time, row *endpoint, pace int, isOwn bool) {
	if pace <= 0 || pool.disabled.Has(bvmechanism.Speeds) {
		return
	}
	speed := row.changeSpeed()
	if speed.pace == 0 {
		pool.speeds.reporters++
	}
	speed.setPace(at, pace, isOwn)
	row.knownUntil = speed.knownUntil()
	pool.countSpeedFact(now)
}

// recordPace records the pace of responses; pace is the one that the endpoint reported with
// them, 0 if unknown.
func (pool *Pool) recordPace(now bvclock.Time, row *endpoint, report OutcomeReport, pace int) {
	if report.PacedCalls <= 0 || report.PaceMs <= 0 {
		return
	}
	responses, measured := float64(report.PacedCalls), float64(report.PaceMs)/float64(report.PacedCalls)
	speed := row.changeSpeed()
	pool.speeds.recordErrors(now, speed, measured, pace)
	speed.measured.add(now, measured, responses, measurementLifetime)
	if pace > 0 {
		speed.evidence.add(now, measured/clampSpeed(factorOf(pace)), responses, evidenceLifetime)
	}
	row.knownUntil = speed.knownUntil()
	pool.countSpeedFact(now)
}

// countSpeedFact counts a report or response and regularly updates the service's values.
func (pool *Pool) countSpeedFact(now bvclock.Time) {
	if pool.speeds.reporters == 0 {
		return
	}
	pool.speeds.facts++
	if pool.speeds.facts > firstSpeedFacts && pool.speeds.facts%speedRefreshInterval != 0 {
		return
	}
	pool.refreshSpeeds(now)
}

// refreshSpeeds computes the values of the whole service. The factors refer to medians: false
// reports of a few endpoints have no effect on these.
func (pool *Pool) refreshSpeeds(now bvclock.Time) {
	var usual, factors []float64
	slots, weighted := 0.0, 0.0
	step := max(len(pool.rows)/speedSampleRows, 1)
	for i := pool.speeds.facts % step; i < len(pool.rows); i += step {
		row, speed := pool.rows[i], pool.rows[i].speed
		slots += row.slots()
		weighted += row.slots() / pool.speedOf(now, row)
		if speed == nil {
			continue
		}
		if speed.evidence.responses > 0 {
			usual = append(usual, speed.evidence.value)
		}
		if speed.isKnown(now, &pool.speeds) {
			factors = append(factors, speed.estimate(now, &pool.speeds))
		}
	}
	pool.speeds.usual = medianOr(usual, pool.speeds.usual)
	pool.speeds.median = medianOr(factors, pool.speeds.median)
	pool.speeds.capacity = weighted / slots
}

// medianOr returns the median of values, or other if there are none.
func medianOr(values []float64, other float64) float64 {
	if len(values) == 0 {
		return other
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// resetSpeed makes a row that leaves the list, or restarts, count as unknown.
func (pool *Pool) resetSpeed(row *endpoint) {
	if row.speed != nil && row.speed.pace > 0 {
		pool.speeds.reporters--
	}
	if pool.speeds.reporters == 0 {
		pool.speeds = serviceSpeeds{loggedAt: pool.speeds.loggedAt, hasLogged: pool.speeds.hasLogged}
	}
	row.speed, row.factor, row.knownUntil = nil, 0, 0
}

// sharedPace returns the pace that this host shares with others: the last one that the
// endpoint reported to it, if that is recent, else 0.
func (endpoint *endpoint) sharedPace(now bvclock.Time) int {
	if endpoint.speed == nil || !endpoint.speed.isOwn || now.Sub(endpoint.speed.paceAt) > maxSharedPaceAge {
		return 0
	}
	return endpoint.speed.pace
}
