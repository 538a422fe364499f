package bvgossip

import (
	"math"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvhost"
)

// tracker counts the calls of all hosts at endpoints. A host reports how many it has at
// an endpoint whenever that changes, and its digests repeat it, so that a lost or late
// datagram makes a count wrong only until the next digest. The zero value is empty.
type tracker struct {
	uses   map[uint64]map[netip.AddrPort]use  // by the hash of the endpoint's ID
	byHost map[netip.AddrPort]map[uint64]bool // the endpoints in uses
}

// use is a host's last report of its calls at an endpoint.
type use struct {
	running    int
	reportedAt bvclock.Time
}

// set records how many calls a host has at an endpoint.
func (tracker *tracker) set(now bvclock.Time, host netip.AddrPort, endpoint uint64, running int) {
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

// setAll records all calls of a host and removes those at endpoints that it no longer
// reports.
func (tracker *tracker) setAll(now bvclock.Time, host netip.AddrPort, loads []*Load) {
	unreported := len(tracker.byHost[host])
	for _, load := range loads {
		if tracker.byHost[host][load.GetEndpoint()] {
			unreported--
		}
		tracker.set(now, host, load.GetEndpoint(), int(load.GetRunning()))
	}
	if unreported == 0 {
		return // all endpoints of earlier reports are in loads
	}
	for endpoint := range tracker.byHost[host] {
		if tracker.uses[endpoint][host].reportedAt != now || !hasEndpoint(loads, endpoint) {
			tracker.drop(host, endpoint)
		}
	}
}

func hasEndpoint(loads []*Load, endpoint uint64) bool {
	return slices.ContainsFunc(loads, func(load *Load) bool { return load.GetEndpoint() == endpoint })
}

// count adds up the calls at an endpoint of all hosts but one. Reports from before the
// given time don't count, as their host may have failed.
func (tracker *tracker) count(endpoint uint64, except netip.AddrPort, since bvclock.Time) int {
	count := 0
	for host, use := range tracker.uses[endpoint] {
		if host != except && !use.reportedAt.Before(since) {
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

// trackers are the hosts that may track endpoints and programs. Each endpoint and program
// ranks them by rendezvous hashing; the first one tracks it. Hosts with the same list of
// hosts agree on it without communication. The zero value has none.
type trackers struct {
	all     []candidate
	settled []candidate // those that may allocate usage caps
	byZone  map[string][]candidate
}

// add adds a host of a zone.
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

// ofEndpoint returns the tracker of an endpoint of a zone, or false if no host of that
// zone is known.
func (trackers *trackers) ofEndpoint(zone string, endpoint uint64) (netip.AddrPort, bool) {
	return highestWeight(trackers.byZone[zone], endpoint)
}

// ofProgram returns the tracker of a program, or false if no host is known.
func (trackers *trackers) ofProgram(program uint64) (netip.AddrPort, bool) {
	return highestWeight(trackers.all, program)
}

// ofWorkspace returns up to limit hosts that may allocate a workspace's usage cap, in the
// workspace's order: settled hosts, or all hosts if none is settled.
func (trackers *trackers) ofWorkspace(workspace uint32, limit int) []netip.AddrPort {
	hosts := trackers.settled
	if len(hosts) == 0 {
		hosts = trackers.all
	}
	var addresses []netip.AddrPort
	for bound := uint64(math.MaxUint64); len(addresses) < limit; {
		address, weight, found := highestWeightBelow(hosts, uint64(workspace), bound)
		if !found {
			break
		}
		addresses, bound = append(addresses, address), weight
	}
	return addresses
}

// highestWeight returns the host with the highest weight for a key.
func highestWeight(hosts []candidate, key uint64) (address netip.AddrPort, found bool) {
	address, _, found = highestWeightBelow(hosts, key, math.MaxUint64)
	return address, found
}

// highestWeightBelow returns the host with the highest weight for a key below a bound,
// and that weight.
func highestWeightBelow(hosts []candidate, key, bound uint64) (address netip.AddrPort, highest uint64, found bool) {
	for _, host := range hosts {
		weight := bvhost.Weight(host.hash, key)
		if weight < bound && (!found || weight > highest) {
			address, highest, found = host.address, weight, true
		}
	}
	return address, highest, found
}
