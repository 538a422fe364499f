package bvexperiment

import (
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgate"
)

// affinity sends a program's calls to the endpoint that ran its last one, and a
// program's first call to the endpoint with the fewest calls that this policy has
// sent and that have not finished.
type affinity struct {
	baseline
	outstanding map[string]int
	sentTo      map[bvgate.RequestID]string
}

// Submit implements Policy.
func (policy *affinity) Submit(_ bvclock.Time, request bvgate.Request) {
	usable := policy.usable()
	if len(usable) == 0 {
		policy.refuseWithoutEndpoint(request.ID)
		return
	}
	chosen := usable[0].Name
	for _, endpoint := range usable {
		if endpoint.Name == request.HistoryEndpoint {
			chosen = endpoint.Name
			break
		}
		if policy.outstanding[endpoint.Name] < policy.outstanding[chosen] {
			chosen = endpoint.Name
		}
	}
	policy.count(request.ID, chosen)
	policy.send(request.ID, chosen)
}

func (policy *affinity) count(id bvgate.RequestID, endpoint string) {
	if policy.outstanding == nil {
		policy.outstanding = make(map[string]int)
		policy.sentTo = make(map[bvgate.RequestID]string)
	}
	policy.outstanding[endpoint]++
	policy.sentTo[id] = endpoint
}

// Finish implements Policy.
func (policy *affinity) Finish(_ bvclock.Time, finish bvgate.Finish) {
	if endpoint, ok := policy.sentTo[finish.ID]; ok {
		policy.outstanding[endpoint]--
		delete(policy.sentTo, finish.ID)
	}
}
