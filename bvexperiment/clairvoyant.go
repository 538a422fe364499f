package bvexperiment

import (
	"cmp"
	"slices"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgate"
)

// clairvoyant knows how much service each program still needs and what each
// endpoint has cached. It keeps one queue and serves the program with the
// least remaining service first, at the free endpoint with the most of its
// history cached. Nothing that serves users can do this; it shows how far
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

// choose returns the free endpoint with the most of the program's history
// cached, the one with the fewest calls among equals. Choosing the one that
// would be done first with the call alone was a little worse: it prefills
// history again, at the cost of the other calls.
func (policy *clairvoyant) choose(request bvgate.Request) string {
	best, bestCached, bestRunning := "", 0, 0
	for _, endpoint := range policy.usable() {
		running := policy.running[endpoint.Name]
		if running >= endpoint.Slots {
			continue
		}
		cached := policy.oracle.cached(endpoint.Name, request.Member, request.Program)
		if best == "" || cached > bestCached || cached == bestCached && running < bestRunning {
			best, bestCached, bestRunning = endpoint.Name, cached, running
		}
	}
	return best
}
