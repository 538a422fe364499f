package bvclock

import "time"

// Timer calls a function once, at the time that was set last. The zero value is
// not set. The caller must serialize calls of its methods with a lock. The
// function runs on a separate goroutine, without that lock.
type Timer struct {
	timer *time.Timer
}

// Set replaces an earlier setting. If the time has passed, the timer fires
// immediately, but never on the caller's goroutine.
func (timer *Timer) Set(now, at Time, fire func()) {
	timer.Stop()
	timer.timer = time.AfterFunc(max(at.Sub(now), Millisecond).Std(), fire)
}

// Stop cancels the setting. A call of the function that has started continues.
func (timer *Timer) Stop() {
	if timer.timer != nil {
		timer.timer.Stop()
		timer.timer = nil
	}
}
