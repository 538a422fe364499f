package bvdispatch

import "balsamvalve.example/bvclock"

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
