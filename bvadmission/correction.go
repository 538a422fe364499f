package bvadmission

const (
	// lateStep is the part by which a turn that ends after its program's deadline lowers the
	// limits, and onTimeStep the part by which another raises them. They balance where one
	// turn in twenty is late.
	lateStep   = 0.05
	onTimeStep = lateStep / 20
	// minEvidenceShare is the load share from which turns show whether the limits are right:
	// below it, nothing is rejected, and turns are late for other reasons.
	minEvidenceShare = 0.5
	// minCorrection and maxCorrection bound the correction: it makes up for assumptions that
	// are somewhat wrong, and must neither reject nor admit everything.
	minCorrection = 0.6
	maxCorrection = 1.3
)

// correction is a factor of the limits that follows from the turns that end late. The zero
// value is 1.
type correction struct {
	value float64 // 0: none yet
}

func (correction *correction) add(turn Turn) {
	if turn.LoadShare < minEvidenceShare {
		return
	}
	step := 1 + onTimeStep
	if turn.TimeLeft < 0 {
		step = 1 - lateStep
	}
	correction.value = min(max(correction.factor()*step, minCorrection), maxCorrection)
}

func (correction *correction) factor() float64 {
	if correction.value == 0 {
		return 1
	}
	return correction.value
}
