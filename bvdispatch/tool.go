package bvdispatch

import (
	"math"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvmechanism"
)

// Tools are services without model engines. Their endpoints have few slots each and reject
// calls beyond them, and hosts that decide independently fill some endpoints while others
// have free slots. A call that must not run twice fails its program when it is lost, so it
// avoids rejections first and slow endpoints second. The rules apply to services whose
// endpoints report a pace; the calls of other services are sent as if there were none.
const (
	// toolFullLifetime is how long an endpoint counts as full after it rejected a call for
	// lack of slots, if no call is known to have ended there since.
	toolFullLifetime = 100 * bvclock.Millisecond
	// toolPaceLifetime is how long after the last reported pace the rules apply.
	toolPaceLifetime = 60 * bvclock.Second
	// toolFullCostMs exceeds all other costs: an endpoint that is known to be full is chosen
	// only if all are.
	toolFullCostMs = 1e6
	// toolRejectionCostMs is the cost of a rejection: a round trip to the endpoint.
	toolRejectionCostMs = 10
	// toolOnceCostMs is the cost of a rejection of a call that must not run twice. It
	// outweighs differences in speed.
	toolOnceCostMs = 1000
	// toolCountVariance is the variance of an endpoint's count of calls that was reported
	// at this moment: calls that started or ended meanwhile are not counted yet.
	toolCountVariance = 0.25
	// maxDeviations is the number of standard deviations from which a risk counts as 0.
	maxDeviations = 4
)

// toolRules are the state of a pool's tool rules. The zero value applies none.
type toolRules struct {
	isTool bool         // the last call was for a service without model engines
	paceAt bvclock.Time // when an endpoint last reported a pace
}

// toolRow is what the tool rules know of an endpoint. The zero value knows nothing.
type toolRow struct {
	fullUntil bvclock.Time // counts as full until then
	fullCalls int          // calls of all hosts that were known at the rejection
}

// appliesToolRules reports whether the tool rules apply to the pool's calls.
func (pool *Pool) appliesToolRules(now bvclock.Time) bool {
	rules := pool.tools
	return rules.isTool && rules.paceAt != 0 && now.Sub(rules.paceAt) < toolPaceLifetime && !pool.disabled.Has(bvmechanism.Tools)
}

// recordToolPace records that an endpoint reports a pace with its load; 0: none.
func (pool *Pool) recordToolPace(now bvclock.Time, pace int) {
	if pace > 0 {
		pool.tools.paceAt = now
	}
}

// recordToolEnd records the end of a call. It reports whether the endpoint counts as full now.
func (pool *Pool) recordToolEnd(now bvclock.Time, row *endpoint, outcome Outcome) bool {
	if !pool.appliesToolRules(now) {
		return false
	}
	switch outcome {
	case Full:
		row.tool.fullUntil, row.tool.fullCalls = now.Add(toolFullLifetime), row.running
		if now.Sub(row.peerCallsAt) < peerCallsLifetime {
			row.tool.fullCalls += row.peerCalls
		}
		return true
	case Served:
		row.tool.fullUntil = 0 // the slot of the call is free
	}
	return false
}

// recordCalls records how many calls all hosts have at the endpoint now. Fewer than at its last
// rejection mean that a call has ended there.
func (tool *toolRow) recordCalls(calls int) {
	if calls < tool.fullCalls {
		tool.fullUntil = 0
	}
}

// isFullTool reports whether a tool's endpoint is known to be full: it has rejected a call, or
// the hosts' calls take all slots.
func (pool *Pool) isFullTool(now bvclock.Time, row *endpoint) bool {
	return pool.appliesToolRules(now) && row.isFull(now)
}

func (endpoint *endpoint) isFull(now bvclock.Time) bool {
	return endpoint.isFullAt(now, endpoint.load(now))
}

func (endpoint *endpoint) isFullAt(now bvclock.Time, calls float64) bool {
	return now.Before(endpoint.tool.fullUntil) || calls >= endpoint.slots()
}

// toolCost returns the cost of a call at a tool's endpoint that has a number of calls, for the risk
// of a rejection, in milliseconds. The duration is that of a call at the endpoint.
func (endpoint *endpoint) toolCost(snapshot snapshot, calls, duration float64, once bool) float64 {
	if endpoint.isFullAt(snapshot.now, calls) {
		return toolFullCostMs
	}
	rejectionCost := float64(toolRejectionCostMs)
	if once {
		rejectionCost = toolOnceCostMs
	}
	return rejectionCost * endpoint.rejectionRisk(snapshot, calls, duration)
}

// rejectionRisk returns the probability that the endpoint has no free slot. A count of calls that
// is older than a call takes has no weight; the average load of all endpoints takes its place.
func (endpoint *endpoint) rejectionRisk(snapshot snapshot, calls, duration float64) float64 {
	slots := endpoint.slots()
	more := max(snapshot.loadShare*slots-calls, 0)
	if isRiskLow(calls+more, slots, toolCountVariance+2*(calls+more)) {
		return 0 // whatever the age of the count
	}
	age := 1.0 // of the count, as a share of a call's duration
	if countedAt := max(endpoint.reportedAt, endpoint.peerCallsAt); countedAt != 0 {
		age = min(float64(snapshot.now.Sub(countedAt))/duration, 1)
	}
	calls += more * age
	return riskOfNoSlot(calls, slots, toolCountVariance+2*calls*age)
}

// isRiskLow reports whether riskOfNoSlot is less than that of maxDeviations standard deviations.
func isRiskLow(calls, slots, variance float64) bool {
	free := slots - calls - 0.5
	return free > 0 && free*free > maxDeviations*maxDeviations*variance
}

// riskOfNoSlot returns the probability that a normally distributed number of calls takes all slots.
func riskOfNoSlot(calls, slots, variance float64) float64 {
	return math.Erfc((slots-calls-0.5)/math.Sqrt(2*variance)) / 2
}
