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

// permitDelay is the one-way delay from an owner to the deciding host; a permit takes
// it twice.
const permitDelay = 1 * bvclock.Millisecond

// contender is a policy in a scenario.
type contender struct {
	name      string
	newPolicy func(seed uint64) Policy
	delay     bvclock.Duration
	baseline  bool // an approach that needs no product
}

func standardContenders() []contender {
	return []contender{
		{name: nameRoundRobin, baseline: true, newPolicy: func(uint64) Policy { return &roundRobin{} }},
		{name: nameLeastLoad, baseline: true, newPolicy: func(uint64) Policy { return &leastLoad{} }},
		{name: nameAffinity, baseline: true, newPolicy: func(uint64) Policy { return &affinity{} }},
		{name: nameClairvoyant, newPolicy: func(uint64) Policy { return &clairvoyant{} }},
		{name: nameProduct, newPolicy: newPool, delay: permitDelay},
	}
}

// selectContenders returns the standard contenders with the given names.
func selectContenders(names ...string) []contender {
	return slices.DeleteFunc(standardContenders(), func(contender contender) bool {
		return !slices.Contains(names, contender.name)
	})
}

// newPool returns the product's own Pool, configured with the speed of the engines as
// operators would configure it.
func newPool(uint64) Policy { return newTunedPool() }

func newTunedPool() *bvgate.Pool {
	config := defaultPool().config
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
		{name: nameTwoChoices, newPolicy: newTwoChoices},
		{name: nameQuotas, newPolicy: newQuotas},
		{name: nameGate, newPolicy: newPool, delay: permitDelay},
		{name: nameGateSlow, newPolicy: newPool, delay: 2 * permitDelay},
		{name: nameGateKilled, newPolicy: newKilledGate, delay: permitDelay},
	}
}
