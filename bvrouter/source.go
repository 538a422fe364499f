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

// The lists of endpoints and hosts in the platform's store are the same for all hosts. If
// each host read them, bytes and calls would grow with the square of the fleet, since a
// larger fleet has more entries and more changes. So in a large fleet two hosts of each
// availability zone read the lists, and the others query those readers; a host that gets
// no recent answer from them queries the store. A list is sent with its age, which
// accumulates from host to host, so hosts need not agree on who the readers are.

const (
	// maxDirectHosts and maxDirectEndpoints are the sizes of the lists up to which each
	// host reads them from the store.
	maxDirectHosts     = 128
	maxDirectEndpoints = 128
	// readersPerZone is the number of hosts of an availability zone that read for the
	// others.
	readersPerZone = 2
	// readersKey is the rendezvous key that ranks a zone's hosts; the top ones read.
	readersKey = 0x7265616465727300
	// maxRandomSources is the number of random hosts that are queried besides the readers.
	maxRandomSources = 2
	// sourceTimeout bounds a request to another host for its list of hosts.
	sourceTimeout = 300 * bvclock.Millisecond
	// fullListTimeout bounds the read of a full list from another host.
	fullListTimeout = 4 * bvclock.Second
	// maxListCopies is the number of full lists that a host sends at once: each of them
	// saturates its link.
	maxListCopies = 2
)

// listedHost is an entry of the list of hosts.
type listedHost struct {
	Key     string
	Version int64
	Row     hostRow
}

// fleet is the list of hosts, which may be queried instead of the store.
type fleet struct {
	hosts    []listedHost
	self     string // address
	zone     string
	isSilent func(address netip.AddrPort) bool // has sent digests, but no longer does
}

// isLarge reports whether the fleet is so large that only some hosts read from the store.
func (fleet fleet) isLarge() bool { return len(fleet.hosts) > maxDirectHosts }

// readers returns the hosts that read for this host's availability zone.
func (fleet fleet) readers() []string {
	return fleet.topRanked(readersKey, readersPerZone, func(host listedHost) bool { return host.Row.Zone == fleet.zone })
}

// isReader reports whether this host reads for its availability zone.
func (fleet fleet) isReader() bool { return slices.Contains(fleet.readers(), fleet.self) }

// candidates returns the hosts to query instead of the store, in order.
func (fleet fleet) candidates() []string {
	return append(fleet.readers(), fleet.randomHosts()...)
}

// randomHosts returns some random hosts of the availability zone, or of all zones if none
// of this zone is known.
func (fleet fleet) randomHosts() []string {
	near := fleet.topRanked(rand.Uint64(), maxRandomSources, func(host listedHost) bool {
		return host.Row.Zone == fleet.zone && host.Row.Address != fleet.self
	})
	if len(near) > 0 {
		return near
	}
	return fleet.topRanked(rand.Uint64(), maxRandomSources, func(host listedHost) bool { return host.Row.Address != fleet.self })
}

// topRanked returns up to limit wanted and reachable hosts, in the rendezvous order of a key.
func (fleet fleet) topRanked(key uint64, limit int, isWanted func(listedHost) bool) (addresses []string) {
	for below := uint64(math.MaxUint64); len(addresses) < limit; {
		best, highest, found := "", uint64(0), false
		for _, host := range fleet.hosts {
			weight := bvhost.Weight(xxhash.Sum64String(host.Row.Address), key)
			if weight >= below || found && weight <= highest || !isWanted(host) || fleet.isUnreachable(host.Row.Address) {
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

func (fleet fleet) isUnreachable(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err != nil || fleet.isSilent(parsed)
}
