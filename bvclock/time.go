// Package bvclock holds the one time type that the project uses: whole
// milliseconds, as a point in time or as a length of time.
//
// A Time is read from a Clock. Times of two different clocks must not be
// compared: only the host that opened a time window may check it.
//
// # Usage
//
//	clock := bvclock.Boot()
//	deadline := clock.Now().Add(2 * bvclock.Second)
//	if clock.Now().After(deadline) {
//		return bvverdict.Refuse(bvverdict.DeadlinePassed, "deadline passed")
//	}
//
// Tests use a Manual clock and advance it explicitly.
package bvclock

import (
	"fmt"
	"time"
)

// Time is a point in time, in milliseconds since the start of its clock.
type Time int64

// Duration is a length of time in milliseconds.
type Duration int64

// Common lengths of time.
const (
	Millisecond Duration = 1
	Second               = 1000 * Millisecond
	Minute               = 60 * Second
	Hour                 = 60 * Minute
)

// Add returns the point in time a duration later.
func (time Time) Add(duration Duration) Time {
	return time + Time(duration)
}

// Sub returns the length of time from earlier to time.
func (time Time) Sub(earlier Time) Duration {
	return Duration(time - earlier)
}

// After reports whether time is later than other.
func (time Time) After(other Time) bool {
	return time > other
}

// Before reports whether time is earlier than other.
func (time Time) Before(other Time) bool {
	return time < other
}

// Std converts to the standard library's type, for timers and contexts.
func (duration Duration) Std() time.Duration {
	return time.Duration(duration) * time.Millisecond
}

// Seconds returns the duration in whole seconds, rounded up, as the
// Retry-After header requires (RFC 9110, section 10.2.3).
func (duration Duration) Seconds() int64 {
	if duration <= 0 {
		return 0
	}
	return int64((duration + Second - 1) / Second)
}

// String formats the duration with its unit.
func (duration Duration) String() string {
	return fmt.Sprintf("%dms", int64(duration))
}

// FromStd converts from the standard library's type, rounding down.
func FromStd(duration time.Duration) Duration {
	return Duration(duration / time.Millisecond)
}

// Sleep waits for a duration.
func Sleep(duration Duration) {
	time.Sleep(duration.Std())
}

// After returns a channel that receives after a duration.
func After(duration Duration) <-chan time.Time {
	return time.After(duration.Std())
}
