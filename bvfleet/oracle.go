package bvfleet

import "balsamvalve.example/bvclock"

// admitByOracle admits a program while the slots suffice for the share of a slot that each
// admitted program needs to end in time, as long as a call beside others gets that share. It
// knows all programs, their sizes and all slots at once, and prefers programs with little
// work.
func (simulation *simulation) admitByOracle(program *program) (bvclock.Duration, bool) {
	slots, used := 0.0, 0.0
	for _, engine := range simulation.engines {
		slots += float64(engine.spec.Slots) / engine.factor
	}
	active := simulation.active[:0]
	for _, other := range simulation.active {
		if other.endedAt == 0 && !other.failed {
			active = append(active, other)
			used += other.slotShare(simulation)
		}
	}
	simulation.active = active
	need := program.slotShare(simulation)
	mean := program.kind.Turns.Mean * program.kind.Output.Mean * simulation.load.Engine.TokenTime
	limit := oracleLimit * min(max(1+oraclePreference*(1-program.work(simulation)/mean), 0.7), 1.3)
	if used+need > limit*slots || need > maxOracleShare {
		return oracleRetry, false
	}
	simulation.active = append(simulation.active, program)
	return 0, true
}

const (
	// oracleLimit is the part of the slots' time on idle engines that programs may need, and
	// maxOracleShare the share of a slot that one of them may need.
	oracleLimit    = 0.45
	maxOracleShare = 0.65
	// oraclePreference is the change of the limit for a program without work.
	oraclePreference = 0.6
	// oracleRetry is the time after which callers that the oracle rejects retry.
	oracleRetry = 200 * bvclock.Millisecond
)

// work returns the time that the rest of a program takes on idle engines, without pauses.
func (program *program) work(simulation *simulation) float64 {
	work := 0.0
	for _, turn := range program.turns[program.turnIndex:] {
		work += float64(turn.input.Tokens)/simulation.load.Engine.PrefillRate + turn.output*simulation.load.Engine.TokenTime
	}
	return work
}

// slotShare returns the share of a slot that a program needs from now on to end in time: its
// engine time on idle engines, per time that is left for it.
func (program *program) slotShare(simulation *simulation) float64 {
	left := float64(program.startedAt.Add(program.timeLimit).Sub(simulation.now))
	for _, turn := range program.turns[program.turnIndex:] {
		left -= float64(turn.pause + 2*callerLatency)
	}
	work := program.work(simulation)
	if left <= work {
		return 1
	}
	return work / left
}
