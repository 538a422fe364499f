package bvgossip

import (
	"net/netip"

	"balsamvalve.example/bvclock"
)

// Requests of a workspace that nears its usage cap are granted by the workspace's
// allocator, a host on which all agree by rendezvous hashing.

const (
	// claimTimeout bounds the wait for an allocator, which answers in a few milliseconds
	// unless it is slow or lost.
	claimTimeout = 30 * bvclock.Millisecond
	// maxAllocators is how many hosts are asked for one request.
	maxAllocators = 2
)

// SetSettled notes that this host has heard for long enough what the others run to
// allocate usage caps.
func (gossip *Gossip) SetSettled() { gossip.settled.Store(true) }

// Allocators returns the addresses of the hosts to ask for a request of a workspace, in
// order. Hosts that did not answer lately are left out; it tells whether the first is.
func (gossip *Gossip) Allocators(workspace uint32) (answering []netip.AddrPort, firstLeftOut bool) {
	now := gossip.clock.Now()
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	for i, address := range gossip.trackers.ofWorkspace(workspace, maxAllocators) {
		if now.Before(gossip.mutedUntil[address]) {
			firstLeftOut = firstLeftOut || i == 0
			continue
		}
		answering = append(answering, address)
	}
	return answering, firstLeftOut
}

// IsSelf reports whether an address is this host's own.
func (gossip *Gossip) IsSelf(address netip.AddrPort) bool { return address == gossip.own.address }

// SendClaim asks an allocator for a request. It returns nil where no answer came in time.
func (gossip *Gossip) SendClaim(allocator netip.AddrPort, claim *Claim) (claimed *Claimed) {
	probes := map[netip.AddrPort]*Probe{allocator: {Claim: claim}}
	gossip.ask(probes, claimTimeout, func(answer *Counts) { claimed = answer.GetClaimed() })
	return claimed
}
