package bvexperiment

import (
	"cmp"
	"math"
	"slices"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgate"
)

// clairvoyant knows how much service each program still needs and what each
// endpoint has cached. It keeps one queue and serves the program with the
// least remaining service first, at the free endpoint that would be done first
// with its next call. Nothing that serves users can do this; it shows how far
// a policy could get.
type clairvoyant struct {
	baseline
	oracle  oracle
	queue   []foreseen
	running map[string]int
	sentTo  map[bvgate.RequestID]string
}

type foreseen struct {
	bvgate.Request
	remaining float64
}

func (policy *clairvoyant) foresee(oracle oracle) { policy.oracle = oracle }

// Ask implements Policy.
func (policy *clairvoyant) Ask(_ bvclock.Time, request bvgate.Request) {
	asked := foreseen{Request: request, remaining: policy.oracle.remaining(request.Program)}
	at, _ := slices.BinarySearchFunc(policy.queue, asked, func(queued, asked foreseen) int {
		return cmp.Or(cmp.Compare(queued.remaining, asked.remaining), cmp.Compare(queued.ID, asked.ID))
	})
	policy.queue = slices.Insert(policy.queue, at, asked)
}

// Finish implements Policy.
func (policy *clairvoyant) Finish(_ bvclock.Time, finish bvgate.Finish) {
	if endpoint, ok := policy.sentTo[finish.ID]; ok {
		policy.running[endpoint]--
		delete(policy.sentTo, finish.ID)
	}
}

// Remove implements Policy.
func (policy *clairvoyant) Remove(now bvclock.Time, endpoint string) {
	policy.baseline.Remove(now, endpoint)
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

// Tick implements Policy.
func (policy *clairvoyant) Tick(now bvclock.Time) []bvgate.Effect {
	for len(policy.queue) > 0 {
		endpoint := policy.choose(policy.queue[0].Request)
		if endpoint == "" {
			break
		}
		policy.grant(policy.queue[0].ID, endpoint)
		policy.queue = policy.queue[1:]
	}
	return policy.baseline.Tick(now)
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

// choose returns the free endpoint that would be done first.
func (policy *clairvoyant) choose(request bvgate.Request) string {
	best, bestSeconds := "", math.Inf(1)
	for _, endpoint := range policy.usable() {
		running := policy.running[endpoint.Name]
		if running >= endpoint.Slots {
			continue
		}
		if seconds := policy.oracle.seconds(endpoint.Name, request.ID, running); seconds < bestSeconds {
			best, bestSeconds = endpoint.Name, seconds
		}
	}
	return best
}
