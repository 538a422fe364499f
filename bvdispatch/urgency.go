package bvdispatch

// Ranks among an engine's waiting requests.
const (
	firstUrgency = 1
	lastUrgency  = 9
	// rankStep leaves a place between two route priorities.
	rankStep = 2
)

// Urgency is the rank of a call among those that wait at an engine, 0 first.
// The route's priority decides; within it, programs that are under way go
// before new ones, since a half-done program that comes late is lost work.
func Urgency(priority int, continues bool) int {
	urgency := firstUrgency + rankStep*priority
	if !continues {
		urgency++
	}
	return min(urgency, lastUrgency)
}
