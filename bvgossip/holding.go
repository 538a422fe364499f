package bvgossip

import (
	"net/netip"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// A conversation's next turn may come through any host, some tens of milliseconds after
// the last one, and through a host that has just started. Digests tell of prompts too
// late for that, and those of other zones little: the turn then goes to an engine that
// has nothing of the conversation and reads all of it again. So each conversation has a
// tracker too, a host of any zone, that is told which engine has it when a turn ends.
// Whoever gets a turn of a conversation that he does not know asks it.

const (
	// allZones stands for the hosts of all zones among the trackers.
	allZones = ""
	// mostHoldings bounds the conversations that a host tracks: some times those that
	// are under way for each host. The one that was not used for longest is forgotten.
	mostHoldings = 8192
)

// holdings are the conversations that this host tracks. The zero value is empty.
type holdings struct {
	byConversation *simplelru.LRU[uint64, *Holding]
}

func (holdings *holdings) note(holding *Holding) {
	if holdings.byConversation == nil {
		holdings.byConversation, _ = simplelru.NewLRU[uint64, *Holding](mostHoldings, nil)
	}
	holdings.byConversation.Add(holding.GetConversation(), holding)
}

func (holdings *holdings) find(conversation uint64) (*Holding, bool) {
	if holdings.byConversation == nil {
		return nil, false
	}
	return holdings.byConversation.Get(conversation)
}

// Holds tells a conversation's tracker which endpoint has it, and how many tokens of it.
func (gossip *Gossip) Holds(conversation, endpoint uint64, tokens int) {
	holding := &Holding{Conversation: conversation, Endpoint: endpoint, Tokens: uint32(tokens)}
	gossip.mutex.Lock()
	tracker, found := gossip.trackers.of(allZones, conversation)
	if found && tracker == gossip.address {
		gossip.holdings.note(holding)
	}
	gossip.mutex.Unlock()
	if found && tracker != gossip.address {
		gossip.sendTo(tracker, &Datagram{Message: &Datagram_Holding{Holding: holding}})
	}
}

// Holder asks a conversation's tracker which endpoint has it, and how many tokens of it.
// It waits a short time.
func (gossip *Gossip) Holder(conversation uint64) (endpoint uint64, tokens int, found bool) {
	holding, tracker := gossip.holdingHere(conversation)
	if tracker.IsValid() {
		probes := map[netip.AddrPort]*Probe{tracker: {Conversation: conversation}}
		gossip.ask(probes, func(answer *Counts) { holding = answer.GetHolding() })
	}
	return holding.GetEndpoint(), int(holding.GetTokens()), holding != nil
}

// holdingHere returns what this host knows as the conversation's tracker, or which other
// host to ask.
func (gossip *Gossip) holdingHere(conversation uint64) (*Holding, netip.AddrPort) {
	now := gossip.clock.Now()
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	tracker, found := gossip.trackers.of(allZones, conversation)
	switch {
	case !found || now.Before(gossip.mutedUntil[tracker]):
		return nil, netip.AddrPort{}
	case tracker == gossip.address:
		holding, _ := gossip.holdings.find(conversation)
		return holding, netip.AddrPort{}
	}
	return nil, tracker
}

func (gossip *Gossip) noteHolding(holding *Holding) {
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	gossip.holdings.note(holding)
}
