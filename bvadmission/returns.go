package bvadmission

import "balsamvalve.example/bvclock"

const (
	// startsDecay is the time constant of the rate at which this host admits programs.
	startsDecay = 2 * bvclock.Second
	// minSpacing and maxSpacing bound the time between two times that are given.
	minSpacing = 5 * bvclock.Millisecond
	maxSpacing = bvclock.Second
	// minReturn is the shortest time that is given: until then, a program that ends makes
	// room at the earliest.
	minReturn = 50 * bvclock.Millisecond
	// maxPriorities is the number of priorities with times of their own.
	maxPriorities = 5
)

// returns gives rejected callers times to retry, spaced by the rate at which this host
// admits programs. While the load share is at its limit, programs are admitted at the rate
// at which others end, so this is the host's part of that rate. The zero value has given
// none.
type returns struct {
	starts    float64
	updatedAt bvclock.Time
	lastDue   [maxPriorities]bvclock.Time // by priority
}

func (returns *returns) recordStart(now bvclock.Time) {
	returns.starts = returns.starts*decay(returns.updatedAt, now, startsDecay) + 1
	returns.updatedAt = now
}

func (returns *returns) spacing(now bvclock.Time) bvclock.Duration {
	starts := returns.starts * decay(returns.updatedAt, now, startsDecay)
	if starts <= 0 {
		return maxSpacing
	}
	return min(max(bvclock.Duration(float64(startsDecay)/starts), minSpacing), maxSpacing)
}

// assign returns how long a rejected program has to wait: until after the times that were
// given to programs of the same priority and of more urgent ones. A caller that will not
// wait that long is given its longest time, which does not delay others.
func (returns *returns) assign(now bvclock.Time, priority int, within bvclock.Duration) bvclock.Duration {
	priority = min(max(priority, 0), maxPriorities-1)
	due := now.Add(minReturn)
	for _, last := range returns.lastDue[:priority+1] {
		due = max(due, last.Add(returns.spacing(now)))
	}
	if within > 0 && due.Sub(now) > within {
		return within
	}
	returns.lastDue[priority] = due
	return due.Sub(now)
}
