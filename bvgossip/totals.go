package bvgossip

import (
	"math/rand/v2"
	"net/netip"

	"balsamvalve.example/bvclock"
)

// Where there are many hosts, digests to other availability zones contain only the calls
// at endpoints of the receiver's zone. A host then has all calls at the endpoints of its
// zone, but at other endpoints only those of its own zone's hosts: a sixth of them with
// six zones. Full engines of other zones would look idle, and the service half empty
// while callers have to be refused. So each zone's hosts add up the calls at the zone's
// endpoints, and a few of them, drawn at random, send the totals to each host of the
// other zones.

// totalsSenders is how many hosts of a zone send the zone's totals to a host in one
// interval, on average. They are drawn at random: with three, one interval in twenty has
// no totals.
const totalsSenders = 3

// zoneTotals are the calls of all hosts at a zone's endpoints.
type zoneTotals struct {
	loads    []*Load
	lastSeen bvclock.Time
}

// sumZoneTotals adds up the calls at this zone's endpoints, including those of the digest
// that is about to be sent. It returns nil if all hosts are sent all calls.
func (gossip *Gossip) sumZoneTotals(own *Digest) []*Load {
	if gossip.hostCount() <= maxFullDigestHosts {
		return nil
	}
	var totals []*Load
	for endpoint, running := range sumLoads(append(gossip.LivePeers(), own)) {
		if gossip.endpoints.ZoneOf(endpoint) == gossip.zone {
			totals = append(totals, &Load{Endpoint: endpoint, Running: uint32(running)})
		}
	}
	return totals
}

// sumLoads adds up the calls in digests, by endpoint.
func sumLoads(digests []*Digest) map[uint64]int {
	sums := make(map[uint64]int)
	for _, digest := range digests {
		for _, load := range digest.GetLoads() {
			sums[load.GetEndpoint()] += int(load.GetRunning())
		}
	}
	return sums
}

// totalsFraction returns the fraction of the hosts of another zone to which this host
// sends its zone's totals.
func (gossip *Gossip) totalsFraction() float64 {
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	zoneHosts := 1
	for _, peer := range gossip.hosts {
		if peer.digest != nil && peer.digest.GetZone() == gossip.zone {
			zoneHosts++
		}
	}
	return min(totalsSenders/float64(zoneHosts), 1)
}

// splitAtRandom draws about a fraction of the addresses at random.
func splitAtRandom(addresses []netip.AddrPort, fraction float64) (drawn, rest []netip.AddrPort) {
	for _, address := range addresses {
		if rand.Float64() < fraction {
			drawn = append(drawn, address)
			continue
		}
		rest = append(rest, address)
	}
	return drawn, rest
}

// storeTotals stores the totals of another zone. The caller holds the mutex.
func (gossip *Gossip) storeTotals(now bvclock.Time, digest *Digest) {
	if len(digest.GetTotals()) > 0 && digest.GetZone() != gossip.zone {
		gossip.zones[digest.GetZone()] = zoneTotals{loads: digest.GetTotals(), lastSeen: now}
	}
}

// PeerLoads returns the calls of the other hosts at each endpoint, as far as they were
// reported. Own is this host's last digest, whose calls other zones' totals contain.
func (gossip *Gossip) PeerLoads(own *Digest) map[uint64]int {
	loads, ownLoads := sumLoads(gossip.LivePeers()), sumLoads([]*Digest{own})
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	since := gossip.staleBefore(gossip.clock.Now())
	for _, zone := range gossip.zones {
		if zone.lastSeen.Before(since) {
			continue
		}
		for _, load := range zone.loads {
			endpoint := load.GetEndpoint()
			loads[endpoint] = max(loads[endpoint], int(load.GetRunning())-ownLoads[endpoint])
		}
	}
	return loads
}
