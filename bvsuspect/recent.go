package bvsuspect

import "balsamvalve.example/bvclock"

const (
	// answerWindow is how long before a crash an answer clears a request: one that crashes
	// endpoints is never answered.
	answerWindow = 10 * bvclock.Second
	// sharedAnswerWindow is how long before a crash an answer clears a shared feature. Those in
	// flight at several endpoints are answered more often than that, so none is restricted when
	// many endpoints are lost at once. It is short, since endpoints may begin to crash by a feature.
	sharedAnswerWindow = 2 * bvclock.Second
	// maxAnswers bounds the answers that are retained for that.
	maxAnswers = 32768
)

// answer holds the times of an answered call.
type answer struct {
	sentAt, endedAt bvclock.Time
}

// recentAnswers are the last answers to requests and those with shared features, by hash. Those of the last
// answerWindow are retained, or of up to twice that time. The zero value is empty.
type recentAnswers struct {
	current, previous map[uint64]answer
	startedAt         bvclock.Time // of current
}

// rotate drops old answers.
func (answers *recentAnswers) rotate(now bvclock.Time) {
	age := now.Sub(answers.startedAt)
	if answers.current != nil && age < answerWindow && len(answers.current) < maxAnswers/2 {
		return
	}
	answers.previous = answers.current
	if age >= 2*answerWindow {
		answers.previous = nil
	}
	answers.current, answers.startedAt = make(map[uint64]answer), now
}

func (answers *recentAnswers) add(now bvclock.Time, hash uint64, added answer) {
	answers.rotate(now)
	answers.current[hash] = added
}

// knows reports whether an answer to what has a hash is retained.
func (answers *recentAnswers) knows(hash uint64) bool {
	_, inCurrent := answers.current[hash]
	_, inPrevious := answers.previous[hash]
	return inCurrent || inPrevious
}

// clears reports whether an answer clears what has a hash of a crash at a time.
func (answers *recentAnswers) clears(now bvclock.Time, hash uint64, feature Feature, crashedAt bvclock.Time) bool {
	answers.rotate(now)
	last, found := answers.current[hash]
	if !found {
		last, found = answers.previous[hash]
	}
	return found && (!feature.isShared() || last.clearsShared(crashedAt))
}

// clearsShared reports whether an answer to a request clears its shared features of a crash. An
// answer that was in progress at the time of the crash does not: its run may have begun before
// endpoints crash by them.
func (answer answer) clearsShared(crashedAt bvclock.Time) bool {
	if answer.sentAt.After(crashedAt) {
		return true
	}
	return !answer.endedAt.After(crashedAt) && crashedAt.Sub(answer.endedAt) < sharedAnswerWindow
}
