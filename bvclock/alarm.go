package bvclock

import "time"

// Alarm calls a function once, at the time it was last set to. The zero value
// is not set. Its methods need a lock of the caller's, the function none: it
// runs on a goroutine of its own.
type Alarm struct {
	timer *time.Timer
}

// Set replaces what was set before. A time that has passed rings at once, but
// never on the caller's goroutine.
func (alarm *Alarm) Set(now, at Time, ring func()) {
	alarm.Clear()
	alarm.timer = time.AfterFunc(max(at.Sub(now), Millisecond).Std(), ring)
}

// Clear takes back what was set. A ring that has begun goes on.
func (alarm *Alarm) Clear() {
	if alarm.timer != nil {
		alarm.timer.Stop()
		alarm.timer = nil
	}
}
