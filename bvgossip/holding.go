package bvgossip

import (
	"net/netip"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// A program's next turn may come through any host, some tens of milliseconds after the
// last one, and through a host that has just started. Digests tell of prompts too late
// for that, and those of other zones little: the turn then goes to an engine that has
// nothing of the conversation and reads all of it again. So each program has a tracker
// too, a host of any zone, that is told which engine has a conversation when a turn of
// it ends. Whoever gets a turn asks it, and learns by the same answer whether the program
// is under way or new, which its prompt does not tell.

// mostHoldings bounds the conversations that a host tracks: some times those that are
// under way for each host. The one that was not used for longest is forgotten.
const mostHoldings = 8192

// holdings are the conversations that this host tracks. The zero value is empty.
type holdings struct {
	conversations *simplelru.LRU[uint64, *Holding]
	programs      *simplelru.LRU[uint64, *Holding] // the last told of any of its conversations
}

func (holdings *holdings) note(holding *Holding) {
	if holdings.conversations == nil {
		holdings.conversations, _ = simplelru.NewLRU[uint64, *Holding](mostHoldings, nil)
		holdings.programs, _ = simplelru.NewLRU[uint64, *Holding](mostHoldings, nil)
	}
	holdings.conversations.Add(holding.GetConversation(), holding)
	holdings.programs.Add(holding.GetProgram(), holding)
}

// find returns where a conversation is. One that is not known may be a sub-agent's, whose
// prompt begins with what was said before in the program.
func (holdings *holdings) find(program, conversation uint64) *Holding {
	if holdings.conversations == nil {
		return nil
	}
	if holding, found := holdings.conversations.Get(conversation); found {
		return holding
	}
	holding, _ := holdings.programs.Get(program)
	return holding
}

// ReportHolding tells a program's tracker which endpoint has a conversation, and how many tokens
// of it.
func (gossip *Gossip) ReportHolding(program, conversation, endpoint uint64, tokens int) {
	holding := &Holding{Program: program, Conversation: conversation, Endpoint: endpoint, Tokens: uint32(tokens)}
	gossip.mutex.Lock()
	tracker, found := gossip.trackers.ofProgram(program)
	if found && tracker == gossip.own.address {
		gossip.holdings.note(holding)
	}
	gossip.mutex.Unlock()
	if found && tracker != gossip.own.address {
		gossip.sendTo(tracker, &Datagram{Message: &Datagram_Holding{Holding: holding}})
	}
}

// QueryHolding asks a program's tracker which endpoint has a conversation, and how many tokens
// of it. It waits a short time.
func (gossip *Gossip) QueryHolding(program, conversation uint64) (endpoint uint64, tokens int, found bool) {
	holding, tracker := gossip.holdingHere(program, conversation)
	if tracker.IsValid() {
		probes := map[netip.AddrPort]*Probe{tracker: {Program: program, Conversation: conversation}}
		gossip.ask(probes, probeTimeout, func(answer *Counts) { holding = answer.GetHolding() })
	}
	return holding.GetEndpoint(), int(holding.GetTokens()), holding != nil
}

// holdingHere returns what this host knows as the program's tracker, or which other host
// to ask.
func (gossip *Gossip) holdingHere(program, conversation uint64) (*Holding, netip.AddrPort) {
	now := gossip.clock.Now()
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	tracker, found := gossip.trackers.ofProgram(program)
	switch {
	case !found || now.Before(gossip.mutedUntil[tracker]):
		return nil, netip.AddrPort{}
	case tracker == gossip.own.address:
		return gossip.holdings.find(program, conversation), netip.AddrPort{}
	}
	return nil, tracker
}

func (gossip *Gossip) noteHolding(holding *Holding) {
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	gossip.holdings.note(holding)
}
