package bvadmission

import "balsamvalve.example/bvclock"

// maxDeadline is the longest time that a program counts as having.
const maxDeadline = bvclock.Hour

// Program is a program that requests admission.
type Program struct {
	Route                string
	Priority             int // 0 is the most urgent
	Workspace            string
	Deadline             bvclock.Duration // time left until it should end; 0 or less: none, or over
	PromptTokens         int
	ExpectedOutputTokens int
	Refusal
	// RetryWithin is the longest time after which its caller will retry. 0: unspecified.
	RetryWithin bvclock.Duration
}

// Refusal is what is known of earlier rejections of a program because of its deadline. The
// zero value is none.
type Refusal struct {
	Waited bvclock.Duration // since the first one; at least 1
	DueIn  bvclock.Duration // time until it may retry; 0: it may retry now
}

// HasDeadline reports whether the program's caller has stated a deadline. That of a program
// that was rejected before may be over.
func (program *Program) HasDeadline() bool { return program.Deadline > 0 || program.Waited > 0 }

// left returns the time that is left until the program should end.
func (program *Program) left() bvclock.Duration { return min(max(program.Deadline, 0), maxDeadline) }

// total returns the time that the program had when it first requested admission.
func (program *Program) total() bvclock.Duration { return max(program.left()+program.Waited, 1) }

// isDue reports whether the program retries at the time that it was given, or later.
func (program *Program) isDue() bool { return program.Waited > 0 && program.DueIn <= 0 }

// clampRetry bounds the time after which the caller should retry to what it will wait.
func (program *Program) clampRetry(retryAfter bvclock.Duration) bvclock.Duration {
	if program.RetryWithin > 0 {
		retryAfter = min(retryAfter, program.RetryWithin)
	}
	return max(retryAfter, bvclock.Millisecond)
}

// Turn is a turn that has ended.
type Turn struct {
	EngineTime   bvclock.Duration
	OutputTokens int
	LoadShare    float64          // when it started
	TimeLeft     bvclock.Duration // until its program should end; negative: over
}
