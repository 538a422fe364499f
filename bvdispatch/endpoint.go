package bvdispatch

import (
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
)

// reportedLoadLifetime is how long a load that an endpoint reported counts, with a weight
// that falls linearly: calls take some 0.3 s, so after a second the load has changed.
const reportedLoadLifetime = bvclock.Second

// endpoint is an endpoint's row.
type endpoint struct {
	entry          bvplatform.Endpoint
	running        int // calls of this host
	hash           uint64
	reportedOthers int // calls of other hosts, as the endpoint last reported
	reportedAt     bvclock.Time
	peerCalls      int // calls of other hosts, as these reported
	peerCallsAt    bvclock.Time
	speed          *speed  // nil: nothing is known of it
	factor         float64 // last estimate of the speed factor; 0: out of date
	factorAt       bvclock.Time
	knownUntil     bvclock.Time // from then on, nothing that is known of its speed counts
	cache          cache
	health         health
	stats          outlierStats
	unsharedReport OutcomeReport // own calls since the last report to other hosts
	lastCallEnd    bvclock.Time  // of this host's last call
	tool           toolRow
	lastRound      uint64 // last candidate round with this endpoint
}

// peerCallsLifetime is how long the calls that the other hosts reported count: meanwhile
// the load is at least as high as they indicate. Hosts report a few times a second.
const peerCallsLifetime = bvclock.Second

// load returns the estimated number of calls at the endpoint, from all hosts.
func (endpoint *endpoint) load(now bvclock.Time) float64 {
	estimate := float64(endpoint.running) + float64(endpoint.reportedOthers)*endpoint.confidence(now)
	if endpoint.peerCallsAt != 0 && now.Sub(endpoint.peerCallsAt) < peerCallsLifetime {
		return max(estimate, float64(endpoint.running+endpoint.peerCalls))
	}
	return estimate
}

// confidence returns the weight of the load that the endpoint last reported, from 1 down
// to 0.
func (endpoint *endpoint) confidence(now bvclock.Time) float64 {
	age := now.Sub(endpoint.reportedAt)
	if age >= reportedLoadLifetime {
		return 0
	}
	return 1 - float64(age)/float64(reportedLoadLifetime)
}

func (endpoint *endpoint) slots() float64 {
	return float64(max(endpoint.entry.Slots, 1))
}

// isOpen reports whether the endpoint accepts new calls.
func (endpoint *endpoint) isOpen(now bvclock.Time) bool {
	return endpoint.entry.AcceptsCalls(now) && !endpoint.health.isPaused(now)
}
