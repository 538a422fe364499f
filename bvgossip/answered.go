package bvgossip

import (
	"errors"
	"net/netip"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxAnsweredRequests bounds the requests whose answers are kept. A datagram that arrives twice
// does so within milliseconds.
const maxAnsweredRequests = 1024

// errNoNumber is the error of a request to which no answer can be joined.
var errNoNumber = errors.New("the request has no number")

// requestKey identifies a request of another host.
type requestKey struct {
	from   netip.AddrPort
	number uint64
}

// answeredRequests are the last requests that changed something at this host, with their answers:
// a datagram may arrive twice, and must not spend tokens or usage again. The zero value has none.
// Only the goroutine that receives datagrams uses it.
type answeredRequests struct {
	answers *simplelru.LRU[requestKey, *Datagram]
}

// answerOf returns the answer to a request, which decide makes when it arrives for the first time.
func (requests *answeredRequests) answerOf(key requestKey, decide func() *Datagram) *Datagram {
	if requests.answers == nil {
		requests.answers, _ = simplelru.NewLRU[requestKey, *Datagram](maxAnsweredRequests, nil) // fails only for a size of 0
	}
	if answer, found := requests.answers.Get(key); found {
		return answer
	}
	answer := decide()
	requests.answers.Add(key, answer)
	return answer
}

// handleAsk lends tokens to another host.
func (gossip *Gossip) handleAsk(from netip.AddrPort, ask *Ask, handler Handler) {
	if ask.GetNumber() == 0 {
		gossip.reject(from, errNoNumber)
		return
	}
	gossip.sendTo(from, gossip.answered.answerOf(requestKey{from, ask.GetNumber()}, func() *Datagram {
		lend := handler.LendTokens(from.String(), ask)
		lend.Number, lend.Program = ask.GetNumber(), ask.GetProgram()
		return &Datagram{Message: &Datagram_Lend{Lend: lend}}
	}))
}

// handleProbe answers a probe of another host.
func (gossip *Gossip) handleProbe(from netip.AddrPort, probe *Probe, handler Handler) {
	decide := func() *Datagram { return gossip.answerProbe(from, probe, handler) }
	switch {
	case probe.GetClaim() == nil: // it changes nothing, or the same twice
		gossip.sendTo(from, decide())
	case probe.GetNumber() == 0:
		gossip.reject(from, errNoNumber)
	default:
		gossip.sendTo(from, gossip.answered.answerOf(requestKey{from, probe.GetNumber()}, decide))
	}
}
