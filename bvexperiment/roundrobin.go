package bvexperiment

import (
	"slices"
	"strings"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgate"
)

// roundRobin sends each call to the next endpoint in turn; endpoints serve
// first come, first served.
type roundRobin struct {
	baseline
	turn int
}

// Submit implements Policy.
func (policy *roundRobin) Submit(_ bvclock.Time, request bvgate.Request) {
	usable := policy.usable()
	if len(usable) == 0 {
		policy.refuseWithoutEndpoint(request.ID)
		return
	}
	policy.turn++
	policy.send(request.ID, usable[policy.turn%len(usable)].Name)
}

func sortByName(endpoints []bvgate.EndpointReport) {
	slices.SortFunc(endpoints, func(a, b bvgate.EndpointReport) int {
		return strings.Compare(a.Name, b.Name)
	})
}
