package bvgossip

import (
	"context"
	"math/rand/v2"
	"net/netip"

	"balsamvalve.example/bvclock"
)

const (
	// askTimeout bounds the wait for another host's answer: about as long as the store
	// takes, which is asked instead.
	askTimeout = 15 * bvclock.Millisecond
	// askMemory is how long a late answer is still taken in: the lender has
	// given the tokens up, so that they would be lost.
	askMemory = 5 * bvclock.Second
)

// question is an Ask under way.
type question struct {
	answered chan *Lend // holds one
	askedAt  bvclock.Time
}

// RequestTokens asks a host for tokens of a program's budget and waits for its answer a
// short time. What it gives goes to the Handler's AcceptTokens, also when it is late. A
// host that is silent is not asked, and one that withholds some has not answered
// the question whether there is more. RequestTokens sets the question's number.
func (gossip *Gossip) RequestTokens(ctx context.Context, host netip.AddrPort, ask *Ask) (asked, answered bool) {
	if gossip.silent(host) {
		return false, false
	}
	ask.Number = rand.Uint64()
	question := gossip.begin(ask.Number)
	gossip.sendTo(host, &Datagram{Message: &Datagram_Ask{Ask: ask}})
	select {
	case lend := <-question.answered:
		return true, !lend.GetWithheld()
	case <-bvclock.After(askTimeout):
	case <-ctx.Done():
	}
	return true, false
}

// AddressOfIncarnation returns the address of a host's incarnation, if it is heard.
func (gossip *Gossip) AddressOfIncarnation(incarnation string) (netip.AddrPort, bool) {
	return gossip.find(func(digest *Digest) bool { return digest.GetIncarnation() == incarnation })
}

// AddressOfHost returns the address of a host by its name, if it is heard.
func (gossip *Gossip) AddressOfHost(host string) (netip.AddrPort, bool) {
	return gossip.find(func(digest *Digest) bool { return digest.GetHost() == host })
}

func (gossip *Gossip) find(is func(digest *Digest) bool) (netip.AddrPort, bool) {
	now := gossip.clock.Now()
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	for address, peer := range gossip.hosts {
		if !gossip.isSilent(now, peer) && is(peer.digest) {
			return address, true
		}
	}
	return netip.AddrPort{}, false
}

func (gossip *Gossip) silent(host netip.AddrPort) bool {
	now := gossip.clock.Now()
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	found := gossip.hosts[host]
	return found == nil || gossip.isSilent(now, found)
}

func (gossip *Gossip) begin(number uint64) *question {
	now := gossip.clock.Now()
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	for other, asked := range gossip.asks {
		if now.Sub(asked.askedAt) > askMemory {
			delete(gossip.asks, other)
		}
	}
	begun := &question{answered: make(chan *Lend, 1), askedAt: now}
	gossip.asks[number] = begun
	return begun
}

// lent takes in an answer, once: a datagram may come twice.
func (gossip *Gossip) lent(lend *Lend, handler Handler) {
	gossip.mutex.Lock()
	asked := gossip.asks[lend.GetNumber()]
	delete(gossip.asks, lend.GetNumber())
	gossip.mutex.Unlock()
	if asked == nil {
		return
	}
	handler.AcceptTokens(lend.GetProgram(), int(lend.GetTokens()), lend.GetHolders())
	asked.answered <- lend
}
