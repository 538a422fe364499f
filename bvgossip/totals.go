package bvgossip

import (
	"math/rand/v2"
	"net/netip"

	"balsamvalve.example/bvclock"
)

// Where there are many hosts, those of other availability zones are told of calls
// at their own zone's endpoints only. A host then knows all calls at the endpoints
// of its zone, and of the other endpoints' calls only those of its zone's hosts: a
// sixth of them with six zones. Engines of other zones looked idle to it while they
// were full, and the service half empty while callers had to be refused. So each
// zone's hosts add up the calls at their endpoints, and each host is told the
// totals by a few hosts of each other zone in turn.

// totalsCopies is how many hosts of a zone tell a host the zone's totals between
// two digests, on average: with three drawn at random, one pause in twenty goes
// without.
const totalsCopies = 3

// zoneTotals are the calls of all hosts at a zone's endpoints.
type zoneTotals struct {
	loads    []*Load
	lastSeen bvclock.Time
}

// totals adds up the calls at this zone's endpoints, with those of the digest that
// is about to be sent. It returns nil where all hosts are told of all calls.
func (gossip *Gossip) totals(own *Digest) []*Load {
	if gossip.size() <= fullHosts {
		return nil
	}
	var totals []*Load
	for endpoint, running := range sum(append(gossip.LivePeers(), own)) {
		if gossip.endpoints.ZoneOf(endpoint) == gossip.zone {
			totals = append(totals, &Load{Endpoint: endpoint, Running: uint32(running)})
		}
	}
	return totals
}

// sum adds up the calls that digests tell of, by endpoint.
func sum(digests []*Digest) map[uint64]int {
	sums := make(map[uint64]int)
	for _, digest := range digests {
		for _, load := range digest.GetLoads() {
			sums[load.GetEndpoint()] += int(load.GetRunning())
		}
	}
	return sums
}

// totalsShare is the share of the hosts of another zone that this host tells its
// zone's totals.
func (gossip *Gossip) totalsShare() float64 {
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	mates := 1
	for _, peer := range gossip.hosts {
		if peer.digest != nil && peer.digest.GetZone() == gossip.zone {
			mates++
		}
	}
	return min(totalsCopies/float64(mates), 1)
}

// split draws a share of the addresses.
func split(addresses []netip.AddrPort, share float64) (drawn, rest []netip.AddrPort) {
	for _, address := range addresses {
		if rand.Float64() < share {
			drawn = append(drawn, address)
			continue
		}
		rest = append(rest, address)
	}
	return drawn, rest
}

// noteTotals keeps the totals of another zone. The caller holds the mutex.
func (gossip *Gossip) noteTotals(now bvclock.Time, digest *Digest) {
	if len(digest.GetTotals()) > 0 && digest.GetZone() != gossip.zone {
		gossip.zones[digest.GetZone()] = zoneTotals{loads: digest.GetTotals(), lastSeen: now}
	}
}

// PeerLoads returns the calls of the other hosts at each endpoint, as far as they
// told. Own is this host's last digest, whose calls other zones' totals contain.
func (gossip *Gossip) PeerLoads(own *Digest) map[uint64]int {
	loads, told := sum(gossip.LivePeers()), sum([]*Digest{own})
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	since := gossip.toldSince(gossip.clock.Now())
	for _, zone := range gossip.zones {
		if zone.lastSeen.Before(since) {
			continue
		}
		for _, load := range zone.loads {
			endpoint := load.GetEndpoint()
			loads[endpoint] = max(loads[endpoint], int(load.GetRunning())-told[endpoint])
		}
	}
	return loads
}
