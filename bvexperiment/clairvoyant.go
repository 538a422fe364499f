package bvexperiment

import (
	"cmp"
	"math"
	"slices"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgate"
)

// clairvoyant knows how much service each program still needs and what each endpoint
// has cached. It has one queue and serves the program with the least remaining service
// first, at the endpoint that has its history cached or at a free one with free
// memory. No real policy has this information; it shows what a policy could achieve.
type clairvoyant struct {
	baseline
	oracle  oracle
	queue   []queuedRequest
	running map[string]int
	sentTo  map[bvgate.RequestID]string
}

type queuedRequest struct {
	bvgate.Request
	remaining float64
}

func (policy *clairvoyant) setOracle(oracle oracle) { policy.oracle = oracle }

// Submit implements Policy.
func (policy *clairvoyant) Submit(_ bvclock.Time, request bvgate.Request) {
	queued := queuedRequest{Request: request, remaining: policy.oracle.remaining(request.Program)}
	at, _ := slices.BinarySearchFunc(policy.queue, queued, func(other, queued queuedRequest) int {
		return cmp.Or(cmp.Compare(other.remaining, queued.remaining), cmp.Compare(other.ID, queued.ID))
	})
	policy.queue = slices.Insert(policy.queue, at, queued)
}

// Finish implements Policy.
func (policy *clairvoyant) Finish(_ bvclock.Time, finish bvgate.Finish) {
	if endpoint, ok := policy.sentTo[finish.ID]; ok {
		policy.running[endpoint]--
		delete(policy.sentTo, finish.ID)
	}
}

// RemoveEndpoint implements Policy.
func (policy *clairvoyant) RemoveEndpoint(now bvclock.Time, endpoint string) {
	policy.baseline.RemoveEndpoint(now, endpoint)
	delete(policy.running, endpoint)
}

// EndProgram implements Policy.
func (policy *clairvoyant) EndProgram(_ bvclock.Time, member, program string) {
	for _, endpoint := range policy.endpoints {
		if policy.oracle.cached(endpoint.Name, member, program) > 0 {
			policy.effects = append(policy.effects, bvgate.Release{Endpoint: endpoint.Name, Member: member, Program: program})
		}
	}
}

// slotSeconds is the approximate time until a full endpoint frees a slot.
const slotSeconds = 0.2

// prefillPenalty is the weight of the seconds of a prefill that a cached history would
// save: all other calls at the endpoint wait for the prefill too.
const prefillPenalty = 6

// Tick implements Policy.
func (policy *clairvoyant) Tick(now bvclock.Time) []bvgate.Effect {
	const horizon = 100 // requests at the head of the queue to which a free slot is offered
	free := policy.freeSlots()
	waiters := make(map[string]int)
	remaining := policy.queue[:0]
	for at, queued := range policy.queue {
		if free == 0 || at >= horizon {
			remaining = append(remaining, policy.queue[at:]...)
			break
		}
		endpoint, wait := policy.choose(queued.Request, waiters)
		if wait || endpoint == "" {
			waiters[endpoint]++
			remaining = append(remaining, queued)
			continue
		}
		policy.grant(queued.ID, endpoint)
		free--
	}
	policy.queue = remaining
	return policy.baseline.Tick(now)
}

func (policy *clairvoyant) freeSlots() int {
	free := 0
	for _, endpoint := range policy.usable() {
		free += max(endpoint.Slots-policy.running[endpoint.Name], 0)
	}
	return free
}

func (policy *clairvoyant) grant(id bvgate.RequestID, endpoint string) {
	if policy.running == nil {
		policy.running = make(map[string]int)
		policy.sentTo = make(map[bvgate.RequestID]string)
	}
	policy.running[endpoint]++
	policy.sentTo[id] = endpoint
	policy.send(id, endpoint)
}

// freeCapacity returns a weighted sum of free slots and free memory, which are both
// scarce at high load.
func (policy *clairvoyant) freeCapacity(endpoint bvgate.EndpointReport) float64 {
	const memoryWeight = 0.5
	slots := 1 - float64(policy.running[endpoint.Name])/float64(endpoint.Slots)
	return slots + memoryWeight*policy.oracle.freeMemory(endpoint.Name)
}

// choose returns the endpoint that has the program's history cached if it is free or
// worth waiting for, and otherwise the free endpoint with the most free capacity.
func (policy *clairvoyant) choose(request bvgate.Request, waiters map[string]int) (name string, wait bool) {
	freest := math.Inf(-1)
	for _, endpoint := range policy.usable() {
		free := policy.running[endpoint.Name] < endpoint.Slots
		if cached := policy.oracle.cached(endpoint.Name, request.Member, request.Program); cached > 0 {
			if free {
				return endpoint.Name, false
			}
			saved := prefillPenalty * policy.oracle.prefillSeconds(cached)
			if slotSeconds*float64(waiters[endpoint.Name]+1) < saved {
				return endpoint.Name, true
			}
		}
		if room := policy.freeCapacity(endpoint); free && room > freest {
			name, freest = endpoint.Name, room
		}
	}
	return name, false
}
