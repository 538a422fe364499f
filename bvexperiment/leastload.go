package bvexperiment

import (
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgate"
)

// leastLoad sends each call to the endpoint whose last report shows the fewest calls;
// it alternates between endpoints with equal load.
type leastLoad struct {
	baseline
	turn int
}

// Submit implements Policy.
func (policy *leastLoad) Submit(_ bvclock.Time, request bvgate.Request) {
	usable := policy.usable()
	if len(usable) == 0 {
		policy.refuseWithoutEndpoint(request.ID)
		return
	}
	policy.turn++
	best := usable[policy.turn%len(usable)]
	for at := range usable {
		candidate := usable[(policy.turn+at)%len(usable)]
		if candidate.Running < best.Running {
			best = candidate
		}
	}
	policy.send(request.ID, best.Name)
}
