package bvdispatch

// Urgencies of an engine's waiting requests.
const (
	minUrgency = 1
	maxUrgency = 9
	// OverdueUrgency is the urgency of turns whose program is of no use to its caller.
	OverdueUrgency = maxUrgency
	// priorityStep leaves one urgency between two route priorities, for new programs.
	priorityStep = 2
)

// Urgency returns the rank of a call among those that wait at an engine; the lowest goes
// first. The route's priority decides; within it, programs that have started go before
// new ones, since work on a started program that finishes late is wasted.
func Urgency(priority int, hasEarlierTurns bool) int {
	urgency := minUrgency + priorityStep*priority
	if !hasEarlierTurns {
		urgency++
	}
	return min(urgency, maxUrgency)
}
