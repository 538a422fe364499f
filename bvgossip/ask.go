package bvgossip

import (
	"context"
	"math/rand/v2"
	"net/netip"

	"balsamvalve.example/bvclock"
)

const (
	// requestTimeout bounds the wait for another host's reply. It is about as long as a
	// call to the store takes, which is the alternative.
	requestTimeout = 15 * bvclock.Millisecond
	// lateReplyWindow is how long a late reply is still accepted. The lender has already
	// deducted its tokens, so they would be lost otherwise.
	lateReplyWindow = 5 * bvclock.Second
)

// pendingRequest is an Ask in flight.
type pendingRequest struct {
	replies chan *Lend // has capacity 1
	sentAt  bvclock.Time
}

// RequestTokens requests tokens of a program's budget from a host and waits for the reply
// for a short time. The tokens go to the Handler's AcceptTokens, also when the reply is
// late. No request is sent to a silent host. The reply is nil if it did not arrive in time.
// RequestTokens sets the Ask's number.
func (gossip *Gossip) RequestTokens(ctx context.Context, host netip.AddrPort, ask *Ask) (reply *Lend, sent bool) {
	if gossip.isHostSilent(host) {
		return nil, false
	}
	ask.Number = rand.Uint64()
	pending := gossip.registerRequest(ask.Number)
	gossip.sendTo(host, &Datagram{Message: &Datagram_Ask{Ask: ask}})
	select {
	case lend := <-pending.replies:
		return lend, true
	case <-bvclock.After(requestTimeout):
	case <-ctx.Done():
	}
	return nil, true
}

// AddressOfIncarnation returns the address of a host's incarnation, unless it is silent.
func (gossip *Gossip) AddressOfIncarnation(incarnation string) (netip.AddrPort, bool) {
	return gossip.findHost(func(digest *Digest) bool { return digest.GetIncarnation() == incarnation })
}

// AddressOfHost returns the address of a host by its name, unless it is silent.
func (gossip *Gossip) AddressOfHost(host string) (netip.AddrPort, bool) {
	return gossip.findHost(func(digest *Digest) bool { return digest.GetHost() == host })
}

func (gossip *Gossip) findHost(matches func(digest *Digest) bool) (netip.AddrPort, bool) {
	now := gossip.clock.Now()
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	for address, peer := range gossip.hosts {
		if !gossip.isSilent(now, peer) && matches(peer.digest) {
			return address, true
		}
	}
	return netip.AddrPort{}, false
}

func (gossip *Gossip) isHostSilent(host netip.AddrPort) bool {
	now := gossip.clock.Now()
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	found := gossip.hosts[host]
	return found == nil || gossip.isSilent(now, found)
}

func (gossip *Gossip) registerRequest(number uint64) *pendingRequest {
	now := gossip.clock.Now()
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	for other, pending := range gossip.requests {
		if now.Sub(pending.sentAt) > lateReplyWindow {
			delete(gossip.requests, other)
		}
	}
	pending := &pendingRequest{replies: make(chan *Lend, 1), sentAt: now}
	gossip.requests[number] = pending
	return pending
}

// handleLend passes a reply to the handler once, as a datagram may arrive twice.
func (gossip *Gossip) handleLend(lend *Lend, handler Handler) {
	gossip.mutex.Lock()
	pending := gossip.requests[lend.GetNumber()]
	delete(gossip.requests, lend.GetNumber())
	gossip.mutex.Unlock()
	if pending == nil {
		return
	}
	handler.AcceptTokens(lend)
	pending.replies <- lend
}
