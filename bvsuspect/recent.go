package bvsuspect

import "balsamvalve.example/bvclock"

const (
	// answerWindow is how long before a crash an answer clears a request: one that crashes
	// endpoints is never answered.
	answerWindow = 10 * bvclock.Second
	// maxRecentRequests bounds the requests that are retained for that.
	maxRecentRequests = 8192
)

// recentRequests are hashes of requests that were answered in the last answerWindow, or up to
// twice as long ago. The zero value is empty.
type recentRequests struct {
	current, previous map[uint64]struct{}
	startedAt         bvclock.Time // of current
}

// rotate drops old hashes.
func (requests *recentRequests) rotate(now bvclock.Time) {
	age := now.Sub(requests.startedAt)
	if requests.current != nil && age < answerWindow && len(requests.current) < maxRecentRequests/2 {
		return
	}
	requests.previous = requests.current
	if age >= 2*answerWindow {
		requests.previous = nil
	}
	requests.current, requests.startedAt = make(map[uint64]struct{}), now
}

func (requests *recentRequests) add(now bvclock.Time, request uint64) {
	requests.rotate(now)
	requests.current[request] = struct{}{}
}

func (requests *recentRequests) has(now bvclock.Time, request uint64) bool {
	requests.rotate(now)
	_, inCurrent := requests.current[request]
	_, inPrevious := requests.previous[request]
	return inCurrent || inPrevious
}
