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
	// minToolFactor and maxToolFactor bound how much longer or shorter than usual a call is
	// expected to take.
	minToolFactor = 0.2
	maxToolFactor = 8
)

// toolRules are the state of a pool's tool rules. The zero value applies none.
type toolRules struct {
	isTool bool         // the last call was for a service without model engines
	paceAt bvclock.Time // when an endpoint last reported a pace
}

// toolRow is what the tool rules know of an endpoint. The zero value knows nothing.
type toolRow struct {
	pace      int          // in percent, as last reported; 0: not reported
	fullUntil bvclock.Time // counts as full until then
	fullCalls int          // calls of all hosts that were known at the rejection
}

// appliesToolRules reports whether the tool rules apply to the pool's calls.
func (pool *Pool) appliesToolRules(now bvclock.Time) bool {
	rules := pool.tools
	return rules.isTool && rules.paceAt != 0 && now.Sub(rules.paceAt) < toolPaceLifetime && !pool.disabled.Has(bvmechanism.Tools)
}

// setToolPace records the pace that an endpoint reports with its load, in percent; 0: none.
func (pool *Pool) setToolPace(now bvclock.Time, row *endpoint, pace int) {
	row.tool.pace = pace
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
		row.tool.fullUntil, row.tool.fullCalls = now.Add(toolFullLifetime), row.running+row.peerCalls
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
	return now.Before(endpoint.tool.fullUntil) || endpoint.load(now) >= endpoint.slots()
}

// toolCost returns the cost of a call at a tool's endpoint, in milliseconds: its duration at the
// endpoint's pace, and the risk of a rejection.
func (pool *Pool) toolCost(snapshot snapshot, row *endpoint, request *Request) float64 {
	if !pool.appliesToolRules(snapshot.now) {
		return 0
	}
	rejectionCost := float64(toolRejectionCostMs)
	if request.Once {
		rejectionCost = toolOnceCostMs
	}
	duration := pool.duration.valueOr(defaultDurationMs) * row.toolFactor(snapshot.now)
	cost := duration + rejectionCost*row.rejectionRisk(snapshot, duration)
	if row.isFull(snapshot.now) {
		cost += toolFullCostMs
	}
	return cost
}

// toolFactor returns how many times longer than usual a call takes, by the last reported pace.
func (endpoint *endpoint) toolFactor(now bvclock.Time) float64 {
	if endpoint.tool.pace <= 0 {
		return 1
	}
	factor := 1 + (float64(endpoint.tool.pace)/100-1)*endpoint.confidence(now)
	return min(max(factor, minToolFactor), maxToolFactor)
}

// rejectionRisk returns the probability that the endpoint has no free slot. A count of calls that
// is older than a call takes has no weight; the average load of all endpoints takes its place.
func (endpoint *endpoint) rejectionRisk(snapshot snapshot, duration float64) float64 {
	slots := endpoint.slots()
	age := 1.0 // of the count, as a share of a call's duration
	if countedAt := max(endpoint.reportedAt, endpoint.peerCallsAt); countedAt != 0 {
		age = min(float64(snapshot.now.Sub(countedAt))/duration, 1)
	}
	calls := endpoint.load(snapshot.now)
	calls += max(snapshot.loadShare*slots-calls, 0) * age
	return riskOfNoSlot(calls, slots, toolCountVariance+2*calls*age)
}

// riskOfNoSlot returns the probability that a normally distributed number of calls takes all slots.
func riskOfNoSlot(calls, slots, variance float64) float64 {
	return math.Erfc((slots-calls-0.5)/math.Sqrt(2*variance)) / 2
}

const (
	// toolWait is how long a rejected call waits while all endpoints are full, before it looks
	// for a free slot again: with some ten endpoints, a slot gets free every few milliseconds.
	toolWait = 10 * bvclock.Millisecond
	// maxToolWait bounds the sum of these times: later, the states that the rejections caused
	// have ended, and more calls arrive than the endpoints can serve.
	maxToolWait = toolFullLifetime
	// maxSends is the maximum number of endpoints that a call is sent to. A send that ends
	// without a run takes a few milliseconds.
	maxSends = 4
	// maxToolSends is the maximum with unexpected rejections by tools, which don't count
	// towards maxSends.
	maxToolSends = 16
)

// toolCall is what happened to a call so far. The zero value is a call that was not sent.
type toolCall struct {
	byRules     bool // the last endpoint was chosen by the tool rules
	knownFull   bool // it was known to be full, as were all others
	sends       int
	unexpected  int // rejections by endpoints that were not known to be full
	waited      bvclock.Duration
	currentWait bvclock.Duration // after the last choice
}

// beginToolChoice clears what an earlier choice for the call has set.
func (pool *Pool) beginToolChoice(request *Request) {
	pool.tools.isTool = request.Tool
	request.tool.byRules, request.tool.knownFull, request.tool.currentWait = false, false, 0
}

// mustWait decides whether a call has to wait although an endpoint was chosen: it was rejected,
// and the chosen endpoint is full, as are all others. Sent again at once, it would be rejected
// again. If it has waited long enough, it gets no time to wait, and is to be rejected.
func (pool *Pool) mustWait(now bvclock.Time, request *Request, chosen *endpoint) bool {
	call := &request.tool
	call.byRules, call.knownFull = pool.appliesToolRules(now), pool.isFullTool(now, chosen)
	if call.sends == 0 || !call.knownFull {
		return false
	}
	if call.waited < maxToolWait {
		call.waited += toolWait
		call.currentWait = toolWait
	}
	return true
}

// SlotWait returns the time after which another choice may find an endpoint with a free slot,
// after a choice that found none; 0: the call is to be rejected.
func (request *Request) SlotWait() bvclock.Duration { return request.tool.currentWait }

// Waited returns how long the call has waited for a free slot.
func (request *Request) Waited() bvclock.Duration { return request.tool.waited }

// RecordSend records how a call ended at an endpoint. The endpoint is not chosen for it again,
// unless it is a tool that was full: when a call has ended there, it has a free slot.
func (request *Request) RecordSend(endpoint string, outcome Outcome) {
	request.tool.sends++
	if request.tool.byRules && outcome == Full {
		if !request.tool.knownFull {
			request.tool.unexpected++
		}
		return
	}
	if request.Excluded == nil {
		request.Excluded = make(map[string]bool)
	}
	request.Excluded[endpoint] = true
}

// MaySendAgain reports whether the call may be sent to one more endpoint.
func (request *Request) MaySendAgain() bool {
	return request.tool.sends < maxToolSends && request.tool.sends-request.tool.unexpected < maxSends
}
