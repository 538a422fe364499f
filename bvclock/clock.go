package bvclock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the current time. Implementations are safe for concurrent use.
type Clock interface {
	Now() Time
}

type bootClock struct{}

// Boot returns the clock that counts milliseconds since this machine booted.
//
// It reads CLOCK_BOOTTIME, which advances while the machine is suspended. A
// process that was suspended past the end of its lease must see that the lease
// has expired: CLOCK_MONOTONIC stops during a suspension, so the process would
// act as if it still held the lease.
func Boot() Clock {
	return bootClock{}
}

func (bootClock) Now() Time {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		return Time(time.Since(processStart) / time.Millisecond)
	}
	return Time(spec.Sec*1000 + spec.Nsec/1_000_000)
}

var processStart = time.Now()

// Manual is a clock that moves only by Advance. The zero value shows zero and is
// ready to use.
type Manual struct {
	now atomic.Int64
}

// Now returns the current time of the clock.
func (manual *Manual) Now() Time {
	return Time(manual.now.Load())
}

// Advance moves the clock forward and returns the new time.
func (manual *Manual) Advance(duration Duration) Time {
	return Time(manual.now.Add(int64(duration)))
}
