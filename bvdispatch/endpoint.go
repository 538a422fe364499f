package bvdispatch

import (
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
)

// toldFor is how long an endpoint's word on its load is believed, fading
// evenly: calls take some 0.3 s, so after a second its load is another one.
const toldFor = bvclock.Second

// endpoint is an endpoint's row.
type endpoint struct {
	entry    bvplatform.Endpoint
	running  int // calls of this host
	hash     uint64
	others   int // calls of other hosts, as the endpoint last told
	toldAt   bvclock.Time
	peers    int // calls of other hosts, as they told themselves
	peersAt  bvclock.Time
	cache    cache
	health   health
	seen     outlierStats
	unshared OutcomeReport // own calls, since other hosts were told
	endedAt  bvclock.Time  // of this host's last call
	drawnIn  uint64        // the last drawing with this endpoint
}

// peersFor is how long the other hosts' word on their calls is taken before the
// endpoint's own. They tell it a few times a second.
const peersFor = bvclock.Second

// load is the estimated number of calls at the endpoint, from all hosts.
func (endpoint *endpoint) load(now bvclock.Time) float64 {
	told := float64(endpoint.running) + float64(endpoint.others)*endpoint.faith(now)
	if endpoint.peersAt != 0 && now.Sub(endpoint.peersAt) < peersFor {
		return max(told, float64(endpoint.running+endpoint.peers))
	}
	return told
}

// faith is how much the endpoint's last word still counts, from 1 to 0.
func (endpoint *endpoint) faith(now bvclock.Time) float64 {
	age := now.Sub(endpoint.toldAt)
	if age >= toldFor {
		return 0
	}
	return 1 - float64(age)/float64(toldFor)
}

func (endpoint *endpoint) slots() float64 {
	return float64(max(endpoint.entry.Slots, 1))
}

// open reports whether the endpoint may get new calls.
func (endpoint *endpoint) open(now bvclock.Time) bool {
	return endpoint.entry.State == bvplatform.HostLive && !endpoint.health.away(now)
}
