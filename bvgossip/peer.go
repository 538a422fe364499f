package bvgossip

import (
	"maps"
	"net/netip"

	"google.golang.org/protobuf/proto"

	"balsamvalve.example/bvclock"
)

// peer is the state of another host.
type peer struct {
	candidate
	digest   *Digest // last one received; nil before the first
	lastSeen bvclock.Time
	sentAt   bvclock.Time // time of the last digest to this host
	assembly assembly
}

// store stores a digest, or a part of one, that arrived at lastSeen. It reports whether the calls in it are
// complete. Until all parts have arrived, the calls of the last whole digest count; if there was none
// for a time, those of the parts that arrived.
func (peer *peer) store(digest *Digest, limit bvclock.Duration) (isWhole bool) {
	if digest.GetParts() == 0 {
		peer.digest, peer.assembly = digest, assembly{completedAt: peer.lastSeen}
		return true
	}
	latest, whole := proto.CloneOf(digest), peer.assembly.add(digest)
	switch {
	case whole != nil:
		peer.assembly.completedAt = peer.lastSeen
		latest.Loads, latest.Totals = joinLoads(whole)
	case peer.lastSeen.Sub(peer.assembly.completedAt) > limit:
		latest.Loads, _ = joinLoads(peer.assembly.parts)
		latest.Totals = nil
	default:
		latest.Loads, latest.Totals = peer.digest.GetLoads(), nil
	}
	peer.digest = latest
	return whole != nil
}

// SetHosts sets the hosts that the platform's store lists. Hosts that are neither listed
// nor send digests are removed: hosts are replaced all the time, and each would be sent a
// digest every few seconds indefinitely.
func (gossip *Gossip) SetHosts(addresses []netip.AddrPort) {
	now := gossip.clock.Now()
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	listed := make(map[netip.AddrPort]bool, len(addresses))
	for _, address := range addresses {
		listed[address] = true
		gossip.getOrAddPeer(address)
	}
	maps.DeleteFunc(gossip.hosts, func(address netip.AddrPort, peer *peer) bool {
		return !listed[address] && gossip.isSilent(now, peer)
	})
}

// SilentFor returns the time since the last digest of a host, or since the given time if
// that is later.
func (gossip *Gossip) SilentFor(address netip.AddrPort, since bvclock.Time) bvclock.Duration {
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	if found := gossip.hosts[address]; found != nil {
		since = max(since, found.lastSeen)
	}
	return gossip.clock.Now().Sub(since)
}

// IsUnreachable reports whether a host has sent digests and is silent now.
func (gossip *Gossip) IsUnreachable(address netip.AddrPort) bool {
	now := gossip.clock.Now()
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	found := gossip.hosts[address]
	return found != nil && found.digest != nil && gossip.isSilent(now, found)
}

func (gossip *Gossip) getOrAddPeer(address netip.AddrPort) *peer {
	found := gossip.hosts[address]
	if found == nil {
		found = &peer{candidate: newCandidate(address)}
		gossip.hosts[address] = found
	}
	return found
}

// isSilent reports whether no digest of a host has arrived for too long. The caller holds
// the mutex.
func (gossip *Gossip) isSilent(now bvclock.Time, peer *peer) bool {
	return peer.digest == nil || now.Sub(peer.lastSeen) > gossip.silenceLimit(peer.digest.GetZone())
}

// silenceLimit returns the time without digests after which a host of a zone counts as silent. The
// caller holds the mutex.
func (gossip *Gossip) silenceLimit(zone string) bvclock.Duration {
	interval := gossip.interval()
	if zone != gossip.zone {
		interval = gossip.crossZoneInterval()
	}
	return max(silenceTimeout, silenceIntervals*interval)
}

// PeerStats returns how many other hosts are known, how many of them are not silent, and
// the longest interval between two of their digests.
func (gossip *Gossip) PeerStats() (known, reachable int, lag bvclock.Duration) {
	now := gossip.clock.Now()
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	for _, peer := range gossip.hosts {
		if !gossip.isSilent(now, peer) {
			reachable++
		}
	}
	return len(gossip.hosts), reachable, gossip.crossZoneInterval()
}

// NearestReachable returns those of the given hosts that are not silent, the ones in this
// host's availability zone first.
func (gossip *Gossip) NearestReachable(hosts []string) []string {
	now := gossip.clock.Now()
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	var sameZone, otherZones []string
	for _, host := range hosts {
		address, err := netip.ParseAddrPort(host)
		if err != nil {
			continue // not an address that can be queried
		}
		peer := gossip.hosts[address]
		switch {
		case peer == nil || gossip.isSilent(now, peer):
		case peer.digest.GetZone() == gossip.zone:
			sameZone = append(sameZone, host)
		default:
			otherZones = append(otherZones, host)
		}
	}
	return append(sameZone, otherZones...)
}

// LivePeers returns the last digests of all hosts that are not silent.
func (gossip *Gossip) LivePeers() []*Digest {
	now := gossip.clock.Now()
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	digests := make([]*Digest, 0, len(gossip.hosts))
	for _, peer := range gossip.hosts {
		if !gossip.isSilent(now, peer) {
			digests = append(digests, peer.digest)
		}
	}
	return digests
}
