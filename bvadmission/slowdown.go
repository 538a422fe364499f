package bvadmission

import (
	"math"

	"balsamvalve.example/bvclock"
)

const (
	// slowdownDecay is the time constant of what is known of the slowdown. What is learned in
	// a surge of some seconds must last until the next.
	slowdownDecay = bvclock.Minute
	// priorTurns is the weight, in turns, of the assumption that calls take priorSlowdown
	// times as long with all slots taken. A host of a large fleet sees a few turns a second,
	// whose times differ several times over, and most at the same load share.
	priorTurns    = 50
	priorSlowdown = 2.0
	// minSlope is the least time that a load share of 1 adds, as a part of the mean time.
	minSlope = 0.1
	// minIdle is the least time on idle engines, as a part of the mean time.
	minIdle = 0.1
	// maxTurnLoadShare bounds the weight of turns that waited long for a slot.
	maxTurnLoadShare = 2
)

// slowdown is the time per token as a linear function of the load share, by the least
// squares of the turns that ended. The zero value has none.
type slowdown struct {
	count, shares, squares, times, products float64
	updatedAt                               bvclock.Time
}

func (slowdown *slowdown) add(now bvclock.Time, turn Turn) {
	if turn.OutputTokens <= 0 || turn.EngineTime <= 0 {
		return
	}
	factor := decay(slowdown.updatedAt, now, slowdownDecay)
	time := float64(min(turn.EngineTime, maxDeadline)) / float64(turn.OutputTokens)
	share := min(max(turn.LoadShare, 0), maxTurnLoadShare)
	slowdown.count = slowdown.count*factor + 1
	slowdown.shares = slowdown.shares*factor + share
	slowdown.squares = slowdown.squares*factor + share*share
	slowdown.times = slowdown.times*factor + time
	slowdown.products = slowdown.products*factor + share*time
	slowdown.updatedAt = now
}

// line returns the time per token on idle engines, and the time that a load share of 1 adds.
func (slowdown *slowdown) line() (idle, slope float64) {
	share, time := slowdown.shares/slowdown.count, slowdown.times/slowdown.count
	variance := slowdown.squares - slowdown.count*share*share
	covariance := slowdown.products - slowdown.count*share*time
	prior := time * (priorSlowdown - 1) / (1 + (priorSlowdown-1)*share)
	slope = (covariance + priorTurns*prior) / (variance + priorTurns)
	slope = min(max(slope, minSlope*time), (1-minIdle)*time/max(share, minSlope))
	return time - slope*share, slope
}

// loadShareAt returns the load share at which calls take a multiple of their idle time.
func (slowdown *slowdown) loadShareAt(multiple float64) float64 {
	idle, slope := slowdown.line()
	return (multiple - 1) * idle / slope
}

// decay returns the factor by which a sum with a time constant decays between two times.
func decay(from, to bvclock.Time, constant bvclock.Duration) float64 {
	return math.Exp(-float64(max(to.Sub(from), 0)) / float64(constant))
}
