package bvgossip

import (
	"net/netip"

	"balsamvalve.example/bvclock"
)

// Requests of a workspace that is close to its usage cap are granted by the workspace's
// allocator, a host that all hosts choose alike by rendezvous hashing.

const (
	// claimTimeout bounds the wait for an allocator, which answers in a few milliseconds
	// unless it is slow or has failed.
	claimTimeout = 30 * bvclock.Millisecond
	// maxAllocators is how many allocators are queried for one request.
	maxAllocators = 2
)

// SetSettled marks this host as settled: it has received the other hosts' usage for long
// enough to allocate usage caps.
func (gossip *Gossip) SetSettled() { gossip.settled.Store(true) }

// Allocators returns the addresses of the hosts to query for a request of a workspace, in
// order. Hosts that recently did not answer are skipped; firstSkipped reports whether the
// first one is among them.
func (gossip *Gossip) Allocators(workspace uint32) (addresses []netip.AddrPort, firstSkipped bool) {
	now := gossip.clock.Now()
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	for i, address := range gossip.trackers.ofWorkspace(workspace, maxAllocators) {
		if now.Before(gossip.backoffUntil[address]) {
			firstSkipped = firstSkipped || i == 0
			continue
		}
		addresses = append(addresses, address)
	}
	return addresses, firstSkipped
}

// IsSelf reports whether an address is this host's own.
func (gossip *Gossip) IsSelf(address netip.AddrPort) bool { return address == gossip.own.address }

// SendClaim asks an allocator to grant a request. It returns nil if no answer arrives in
// time.
func (gossip *Gossip) SendClaim(allocator netip.AddrPort, claim *Claim) (claimed *Claimed) {
	probes := map[netip.AddrPort]*Probe{allocator: {Claim: claim}}
	gossip.queryTrackers(probes, claimTimeout, func(reply trackerReply) { claimed = reply.counts.GetClaimed() })
	return claimed
}
