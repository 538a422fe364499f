package bvexperiment

import (
	"slices"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgate"
)

// Names of the policies in the report.
const (
	nameRoundRobin  = "round-robin"
	nameLeastLoad   = "least-load"
	nameAffinity    = "affinity"
	nameClairvoyant = "clairvoyant"
	nameProduct     = "balsamvalve"
	nameTwoChoices  = "two-choices"
	nameQuotas      = "quotas"
	nameGate        = "gate"
	nameGateSlow    = "gate-2ms"
	nameGateKilled  = "gate-killed"
)

// permitDelay is the way from an owner to the deciding host; a permit costs it
// twice.
const permitDelay = 1 * bvclock.Millisecond

// contender is a policy in a scenario.
type contender struct {
	name     string
	policy   func(seed uint64) Policy
	delay    bvclock.Duration
	baseline bool // something that a user would do without the product
}

func standardContenders() []contender {
	return []contender{
		{name: nameRoundRobin, baseline: true, policy: func(uint64) Policy { return &roundRobin{} }},
		{name: nameLeastLoad, baseline: true, policy: func(uint64) Policy { return &leastLoad{} }},
		{name: nameAffinity, baseline: true, policy: func(uint64) Policy { return &affinity{} }},
		{name: nameClairvoyant, policy: func(uint64) Policy { return &clairvoyant{} }},
		{name: nameProduct, policy: newPool, delay: permitDelay},
	}
}

// only returns some of the standard contenders.
func only(names ...string) []contender {
	return slices.DeleteFunc(standardContenders(), func(contender contender) bool {
		return !slices.Contains(names, contender.name)
	})
}

// newPool returns the product's own decisions, told the speed of the engines as
// operators would.
func newPool(uint64) Policy { return tunedPool() }

func tunedPool() *bvgate.Pool {
	config := usualPool().config
	pool := &bvgate.Pool{}
	pool.SetCost(bvgate.Cost{
		PrefillRate: config.PrefillTokensPerSecond,
		DecodeRate:  config.DecodeTokensPerSecond,
		Slowdown:    config.Slowdown,
	})
	return pool
}

func decisionContenders() []contender {
	return []contender{
		{name: nameTwoChoices, policy: newTwoChoices},
		{name: nameQuotas, policy: newQuotas},
		{name: nameGate, policy: newPool, delay: permitDelay},
		{name: nameGateSlow, policy: newPool, delay: 2 * permitDelay},
		{name: nameGateKilled, policy: newKilledGate, delay: permitDelay},
	}
}
