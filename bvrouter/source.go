package bvrouter

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvhost"
)

// What the platform's store says of endpoints and hosts is the same for all hosts. Read
// by each of them, it costs bytes and calls by the square of the fleet, since there are
// the more entries and changes the more hosts there are. So in a large fleet two hosts of
// each availability zone read, and the others ask them; a host that gets no fresh answer
// there asks the store. What a host hands on comes with its age, which adds up on the way,
// so that it does not matter whether hosts agree on who reads.

const (
	// directHosts and directEndpoints are up to how many of them each host reads the
	// list from the store.
	maxDirectHosts     = 128
	maxDirectEndpoints = 128
	// readersPerZone is how many hosts of an availability zone read for the others.
	readersPerZone = 2
	// readersKey orders a zone's hosts; the first ones read.
	readersKey = 0x7265616465727300
	// strangers is how many hosts drawn at random are asked beside the readers.
	maxRandomSources = 2
	// sourceTimeout bounds a question to another host about changes.
	sourceTimeout = 300 * bvclock.Millisecond
	// wholeTimeout bounds the reading of a whole list from another host.
	fullListTimeout = 4 * bvclock.Second
	// mostCopies is how many whole lists a host gives at once: each fills its link.
	maxListCopies = 2
)

// listedHost is a host of the list of hosts.
type listedHost struct {
	Key     string
	Version int64
	Row     hostRow
}

// sources are the hosts that one may ask in place of the store.
type sources struct {
	hosts    []listedHost
	self     string // address
	zone     string
	isSilent func(address netip.AddrPort) bool // was heard, and no longer is
}

// large reports whether the fleet is so large that only some hosts read from the store.
func (sources sources) isLarge() bool { return len(sources.hosts) > maxDirectHosts }

// readers returns the hosts that read for this host's availability zone.
func (sources sources) readers() []string {
	return sources.topRanked(readersKey, readersPerZone, func(host listedHost) bool { return host.Row.Zone == sources.zone })
}

// reads reports whether this host reads for its availability zone.
func (sources sources) isReader() bool { return slices.Contains(sources.readers(), sources.self) }

// toAsk returns the hosts to ask in place of the store.
func (sources sources) candidates() []string {
	return append(sources.readers(), sources.randomHosts()...)
}

// strangers returns some hosts of the availability zone, drawn at random, or of all zones
// where none of this one is known.
func (sources sources) randomHosts() []string {
	near := sources.topRanked(rand.Uint64(), maxRandomSources, func(host listedHost) bool {
		return host.Row.Zone == sources.zone && host.Row.Address != sources.self
	})
	if len(near) > 0 {
		return near
	}
	return sources.topRanked(rand.Uint64(), maxRandomSources, func(host listedHost) bool { return host.Row.Address != sources.self })
}

// first returns the first hosts in a key's order of those that are wanted.
func (sources sources) topRanked(key uint64, limit int, isWanted func(listedHost) bool) (addresses []string) {
	for below := uint64(math.MaxUint64); len(addresses) < limit; {
		best, highest, found := "", uint64(0), false
		for _, host := range sources.hosts {
			weight := bvhost.Weight(xxhash.Sum64String(host.Row.Address), key)
			if weight >= below || found && weight <= highest || !isWanted(host) || sources.isUnreachable(host.Row.Address) {
				continue
			}
			best, highest, found = host.Row.Address, weight, true
		}
		if !found {
			return addresses
		}
		addresses, below = append(addresses, best), highest
	}
	return addresses
}

func (sources sources) isUnreachable(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err != nil || sources.isSilent(parsed)
}
