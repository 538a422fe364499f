package bvgossip

import (
	"math"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvhost"
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
	before := len(tracker.byHost[host])
	for _, load := range loads {
		if tracker.byHost[host][load.GetEndpoint()] {
			before--
		}
		tracker.note(now, host, load.GetEndpoint(), int(load.GetRunning()))
	}
	if before == 0 {
		return // all that it said before is repeated
	}
	for endpoint := range tracker.byHost[host] {
		if tracker.uses[endpoint][host].saidAt != now || !hasEndpoint(loads, endpoint) {
			tracker.drop(host, endpoint)
		}
	}
}

func hasEndpoint(loads []*Load, endpoint uint64) bool {
	return slices.ContainsFunc(loads, func(load *Load) bool { return load.GetEndpoint() == endpoint })
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

// candidate is a host that may track endpoints and programs.
type candidate struct {
	address netip.AddrPort
	hash    uint64
}

func newCandidate(address netip.AddrPort) candidate {
	return candidate{address, xxhash.Sum64String(address.String())}
}

// trackers are the hosts that may track endpoints and programs. Each endpoint and
// program has an order of its own of them; the first tracks it. Hosts that know the
// same hosts agree on it without a word. The zero value has none.
type trackers struct {
	all     []candidate
	settled []candidate // that may allocate usage caps
	byZone  map[string][]candidate
}

// add notes a host of a zone.
func (trackers *trackers) add(zone string, host candidate, settled bool) {
	if settled {
		trackers.settled = append(trackers.settled, host)
	}
	if trackers.byZone == nil {
		trackers.byZone = make(map[string][]candidate)
	}
	trackers.byZone[zone] = append(trackers.byZone[zone], host)
	trackers.all = append(trackers.all, host)
}

// ofEndpoint returns the tracker of an endpoint of a zone, or false where no host of
// that zone is known.
func (trackers *trackers) ofEndpoint(zone string, endpoint uint64) (netip.AddrPort, bool) {
	return first(trackers.byZone[zone], endpoint)
}

// ofProgram returns the tracker of a program, or false where no host is known.
func (trackers *trackers) ofProgram(program uint64) (netip.AddrPort, bool) {
	return first(trackers.all, program)
}

// ofWorkspace returns the first hosts in a workspace's order of those that may allocate
// its usage cap: all, where none is settled.
func (trackers *trackers) ofWorkspace(workspace uint32, most int) []netip.AddrPort {
	hosts := trackers.settled
	if len(hosts) == 0 {
		hosts = trackers.all
	}
	var addresses []netip.AddrPort
	for below := uint64(math.MaxUint64); len(addresses) < most; {
		address, weight, found := firstBelow(hosts, uint64(workspace), below)
		if !found {
			break
		}
		addresses, below = append(addresses, address), weight
	}
	return addresses
}

// first returns the first of some hosts in a key's order of them.
func first(hosts []candidate, key uint64) (address netip.AddrPort, found bool) {
	address, _, found = firstBelow(hosts, key, math.MaxUint64)
	return address, found
}

// firstBelow returns the first of some hosts in a key's order of them whose weight is
// below a bound, and its weight.
func firstBelow(hosts []candidate, key, bound uint64) (address netip.AddrPort, highest uint64, found bool) {
	for _, host := range hosts {
		weight := bvhost.Weight(host.hash, key)
		if weight < bound && (!found || weight > highest) {
			address, highest, found = host.address, weight, true
		}
	}
	return address, highest, found
}
