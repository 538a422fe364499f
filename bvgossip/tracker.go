package bvgossip

import (
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"balsamvalve.example/bvclock"
)

// tracker counts the calls of all hosts at endpoints. A host says how many it has at
// an endpoint whenever that changes, and its digests say it again, so that a datagram
// that is lost or late makes a count wrong until the next digest only. The zero value
// is empty.
type tracker struct {
	uses   map[uint64]map[netip.AddrPort]use  // by the hash of the endpoint's ID
	byHost map[netip.AddrPort]map[uint64]bool // the endpoints in uses
}

// use is what a host last said of its calls at an endpoint.
type use struct {
	running int
	saidAt  bvclock.Time
}

// note takes in how many calls a host has at an endpoint.
func (tracker *tracker) note(now bvclock.Time, host netip.AddrPort, endpoint uint64, running int) {
	if running == 0 {
		tracker.drop(host, endpoint)
		return
	}
	if tracker.uses == nil {
		tracker.uses = make(map[uint64]map[netip.AddrPort]use)
		tracker.byHost = make(map[netip.AddrPort]map[uint64]bool)
	}
	if tracker.uses[endpoint] == nil {
		tracker.uses[endpoint] = make(map[netip.AddrPort]use)
	}
	if tracker.byHost[host] == nil {
		tracker.byHost[host] = make(map[uint64]bool)
	}
	tracker.uses[endpoint][host] = use{running, now}
	tracker.byHost[host][endpoint] = true
}

func (tracker *tracker) drop(host netip.AddrPort, endpoint uint64) {
	delete(tracker.uses[endpoint], host)
	if len(tracker.uses[endpoint]) == 0 {
		delete(tracker.uses, endpoint)
	}
	delete(tracker.byHost[host], endpoint)
	if len(tracker.byHost[host]) == 0 {
		delete(tracker.byHost, host)
	}
}

// noteAll takes in all calls of a host. What it said before and does not repeat has
// ended.
func (tracker *tracker) noteAll(now bvclock.Time, host netip.AddrPort, loads []*Load) {
	for endpoint := range tracker.byHost[host] {
		tracker.drop(host, endpoint)
	}
	for _, load := range loads {
		tracker.note(now, host, load.GetEndpoint(), int(load.GetRunning()))
	}
}

// count adds up the calls at an endpoint of all hosts but one. A host that has said
// nothing since the given time is taken for dead, and its calls with it.
func (tracker *tracker) count(endpoint uint64, but netip.AddrPort, since bvclock.Time) int {
	count := 0
	for host, use := range tracker.uses[endpoint] {
		if host != but && !use.saidAt.Before(since) {
			count += use.running
		}
	}
	return count
}

// candidate is a host that may track endpoints.
type candidate struct {
	address netip.AddrPort
	hash    uint64
}

// trackers tells which host tracks an endpoint: the first in an order of the hosts of
// the endpoint's availability zone that differs with each endpoint. Hosts that know
// the same hosts agree on it without a word.
type trackers map[string][]candidate // by zone, and those of all zones under allZones

func (trackers trackers) add(zone string, address netip.AddrPort) {
	trackers[zone] = append(trackers[zone], candidate{address, xxhash.Sum64String(address.String())})
}

// of returns the tracker of an endpoint, or false where no host of its zone is known.
func (trackers trackers) of(zone string, endpoint uint64) (netip.AddrPort, bool) {
	if len(trackers[zone]) == 0 {
		return netip.AddrPort{}, false
	}
	first := slices.MaxFunc(trackers[zone], func(a, b candidate) int {
		if weight(a, endpoint) < weight(b, endpoint) {
			return -1
		}
		return 1
	})
	return first.address, true
}

// weight is a host's place in an endpoint's order of hosts.
func weight(candidate candidate, endpoint uint64) uint64 {
	mixed := (candidate.hash ^ endpoint) * 0x9e3779b97f4a7c15 // 2^64 over the golden ratio
	mixed ^= mixed >> 32
	return mixed * 0x9e3779b97f4a7c15
}
