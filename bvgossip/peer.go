package bvgossip

import (
	"maps"
	"net/netip"

	"balsamvalve.example/bvclock"
)

// peer is another host's row.
type peer struct {
	candidate
	digest   *Digest // last; nil before the first
	lastSeen bvclock.Time
	triedAt  bvclock.Time
}

// SetHosts takes over the hosts that the platform's store lists. One that is
// neither listed nor heard any more is forgotten: hosts are replaced all the time,
// and each would get a digest every few seconds for ever.
func (gossip *Gossip) SetHosts(addresses []netip.AddrPort) {
	now := gossip.clock.Now()
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	listed := make(map[netip.AddrPort]bool, len(addresses))
	for _, address := range addresses {
		listed[address] = true
		gossip.peer(address)
	}
	maps.DeleteFunc(gossip.hosts, func(address netip.AddrPort, peer *peer) bool {
		return !listed[address] && gossip.isSilent(now, peer)
	})
}

// SilentFor returns for how long nothing was heard of a host, at most since the
// given time.
func (gossip *Gossip) SilentFor(address netip.AddrPort, since bvclock.Time) bvclock.Duration {
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	if found := gossip.hosts[address]; found != nil {
		since = max(since, found.lastSeen)
	}
	return gossip.clock.Now().Sub(since)
}

// IsUnreachable reports whether a host was heard and no longer is.
func (gossip *Gossip) IsUnreachable(address netip.AddrPort) bool {
	now := gossip.clock.Now()
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	found := gossip.hosts[address]
	return found != nil && found.digest != nil && gossip.isSilent(now, found)
}

func (gossip *Gossip) peer(address netip.AddrPort) *peer {
	found := gossip.hosts[address]
	if found == nil {
		found = &peer{candidate: newCandidate(address)}
		gossip.hosts[address] = found
	}
	return found
}

// isSilent reports whether a host has missed its digests. The caller holds the
// mutex.
func (gossip *Gossip) isSilent(now bvclock.Time, peer *peer) bool {
	if peer.digest == nil {
		return true
	}
	pause := gossip.nearPause()
	if peer.digest.GetZone() != gossip.zone {
		pause = gossip.farPause()
	}
	return now.Sub(peer.lastSeen) > max(silentAfter, silentPauses*pause)
}

// PeerStats returns how many other hosts are listed or heard, how many of them are heard,
// and within which time their digests come.
func (gossip *Gossip) PeerStats() (known, heard int, lag bvclock.Duration) {
	now := gossip.clock.Now()
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	for _, peer := range gossip.hosts {
		if !gossip.isSilent(now, peer) {
			heard++
		}
	}
	return len(gossip.hosts), heard, gossip.farPause()
}

// NearestReachable returns those of some hosts that are heard, the ones in this host's
// availability zone first.
func (gossip *Gossip) NearestReachable(hosts []string) []string {
	now := gossip.clock.Now()
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	var near, far []string
	for _, host := range hosts {
		address, err := netip.ParseAddrPort(host)
		if err != nil {
			continue // a host that can't be asked
		}
		peer := gossip.hosts[address]
		switch {
		case peer == nil || gossip.isSilent(now, peer):
		case peer.digest.GetZone() == gossip.zone:
			near = append(near, host)
		default:
			far = append(far, host)
		}
	}
	return append(near, far...)
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
