package bvexperiment

import (
	"math/rand/v2"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgate"
)

// twoChoices lets each host decide independently: it draws two endpoints, adds the one
// that has the program's history, and chooses the one with the least load, which is
// the last report plus the calls that this host has sent since. A cached history
// outweighs a few calls.
type twoChoices struct {
	baseline
	random *rand.Rand
	hosts  [hosts]recentSends
	sent   map[bvgate.RequestID]sentCall
}

// recentSends holds the times at which a host sent its own unfinished calls, by
// endpoint.
type recentSends map[string][]bvclock.Time

type sentCall struct {
	host     int
	endpoint string
}

// tokensPerCall is the number of cached history tokens that outweighs one more call in
// the batch.
const tokensPerCall = 1000

func newTwoChoices(seed uint64) Policy {
	policy := &twoChoices{random: rand.New(rand.NewPCG(seed, 13)), sent: make(map[bvgate.RequestID]sentCall)}
	for host := range policy.hosts {
		policy.hosts[host] = make(recentSends)
	}
	return policy
}

// Submit implements Policy.
func (policy *twoChoices) Submit(now bvclock.Time, request bvgate.Request) {
	usable := policy.usable()
	if len(usable) == 0 {
		policy.refuseWithoutEndpoint(request.ID)
		return
	}
	host := hostOf(request.Program)
	best := usable[policy.random.IntN(len(usable))]
	second := usable[policy.random.IntN(len(usable))]
	if policy.load(host, second, request) < policy.load(host, best, request) {
		best = second
	}
	for _, endpoint := range usable {
		if endpoint.Name == request.HistoryEndpoint && policy.load(host, endpoint, request) <= policy.load(host, best, request) {
			best = endpoint
		}
	}
	sends := policy.hosts[host]
	sends[best.Name] = append(sends[best.Name], now)
	policy.sent[request.ID] = sentCall{host, best.Name}
	policy.send(request.ID, best.Name)
}

// load returns a host's estimate of an endpoint's load for a request.
func (policy *twoChoices) load(host int, endpoint bvgate.EndpointReport, request bvgate.Request) float64 {
	load := float64(endpoint.Running)
	for _, at := range policy.hosts[host][endpoint.Name] {
		if at.After(endpoint.ReportedAt) {
			load++
		}
	}
	if endpoint.Name == request.HistoryEndpoint {
		load -= float64(request.HistoryTokens) / tokensPerCall
	}
	return load
}

// Finish implements Policy.
func (policy *twoChoices) Finish(_ bvclock.Time, finish bvgate.Finish) {
	sent, ok := policy.sent[finish.ID]
	if !ok {
		return
	}
	delete(policy.sent, finish.ID)
	sends := policy.hosts[sent.host]
	if len(sends[sent.endpoint]) > 0 {
		sends[sent.endpoint] = sends[sent.endpoint][1:]
	}
}
