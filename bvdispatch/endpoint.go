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
	entry   bvplatform.Endpoint
	running int // calls of this host
	others  int // calls of other hosts, as last told
	toldAt  bvclock.Time
	cache   cache
	health  health
}

// load is the estimated number of calls at the endpoint, from all hosts.
func (endpoint *endpoint) load(now bvclock.Time) float64 {
	age := now.Sub(endpoint.toldAt)
	if age >= toldFor {
		return float64(endpoint.running)
	}
	return float64(endpoint.running) + float64(endpoint.others)*(1-float64(age)/float64(toldFor))
}

func (endpoint *endpoint) slots() float64 {
	return float64(max(endpoint.entry.Slots, 1))
}

// open reports whether the endpoint may get new calls.
func (endpoint *endpoint) open(now bvclock.Time) bool {
	return endpoint.entry.State == bvplatform.HostLive && !endpoint.health.away(now)
}
