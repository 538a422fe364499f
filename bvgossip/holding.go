package bvgossip

import (
	"net/netip"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"balsamvalve.example/bvadmission"
	"balsamvalve.example/bvclock"
)

// A program's next turn may arrive at any host some tens of milliseconds after the last
// one, also at a host that has just started. Digests report prompts too late for that,
// and those of other zones report few: the turn would go to an engine that has nothing
// of the conversation cached and prefills all of it again. So each program has a tracker
// too, a host of any zone, to which the engine that has a conversation is reported when
// a turn of it ends. The host that receives a turn queries the tracker; the same reply
// shows whether the program is running or new, which its prompt does not show.

// maxHoldings bounds the conversations that a host tracks, to several times the
// conversations in progress per host. The least recently used one is evicted.
const maxHoldings = 8192

// holdings are the conversations that this host tracks. The zero value is empty.
type holdings struct {
	conversations *simplelru.LRU[uint64, *Holding]
	programs      *simplelru.LRU[uint64, *Holding] // last reported of any of its conversations
}

func (holdings *holdings) add(holding *Holding) {
	if holdings.conversations == nil {
		holdings.conversations, _ = simplelru.NewLRU[uint64, *Holding](maxHoldings, nil)
		holdings.programs, _ = simplelru.NewLRU[uint64, *Holding](maxHoldings, nil)
	}
	holdings.conversations.Add(holding.GetConversation(), holding)
	holdings.programs.Add(holding.GetProgram(), holding)
}

// find returns which endpoint has a conversation. An unknown conversation may be a
// sub-agent's, whose prompt begins with earlier messages of the program, so it falls
// back to the program's last holding.
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

// ReportHolding reports to a program's tracker which endpoint has a conversation, and how
// many tokens of it.
func (gossip *Gossip) ReportHolding(program, conversation, endpoint uint64, tokens int) {
	holding := &Holding{Program: program, Conversation: conversation, Endpoint: endpoint, Tokens: uint32(tokens)}
	gossip.mutex.Lock()
	tracker, found := gossip.trackers.ofProgram(program)
	if found && tracker == gossip.own.address {
		gossip.holdings.add(holding)
	}
	gossip.mutex.Unlock()
	if found && tracker != gossip.own.address {
		gossip.sendTo(tracker, &Datagram{Message: &Datagram_Holding{Holding: holding}})
	}
}

// QueryHolding asks a program's tracker which endpoint has a conversation, and how many
// tokens of it, and for earlier rejections of the program. It waits for at most probeTimeout.
// If the tracker is not known or does not answer, answered is false.
func (gossip *Gossip) QueryHolding(program, conversation uint64) (endpoint uint64, tokens int, found, answered bool, refusal bvadmission.Refusal) {
	holding, tracker, answered := gossip.localHolding(program, conversation)
	if tracker.IsValid() {
		probes := map[netip.AddrPort]*Probe{tracker: {Program: program, Conversation: conversation}}
		gossip.queryTrackers(probes, probeTimeout, func(reply trackerReply) { holding, answered = reply.counts.GetHolding(), true })
	}
	return holding.GetEndpoint(), int(holding.GetTokens()), holding.GetEndpoint() != 0, answered, refusalFrom(holding.GetRefused())
}

// localHolding returns the holding that this host has as the program's tracker, or the
// address of the tracker if it is another host. IsTracker reports which of the two.
func (gossip *Gossip) localHolding(program, conversation uint64) (holding *Holding, tracker netip.AddrPort, isTracker bool) {
	now := gossip.clock.Now()
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	tracker, found := gossip.trackers.ofProgram(program)
	switch {
	case !found || now.Before(gossip.backoffUntil[tracker]):
		return nil, netip.AddrPort{}, false
	case tracker == gossip.own.address:
		return gossip.findHolding(now, program, conversation), netip.AddrPort{}, true
	}
	return nil, tracker, false
}

// findHolding returns what this host has as a program's tracker, or nil. The caller holds the
// mutex.
func (gossip *Gossip) findHolding(now bvclock.Time, program, conversation uint64) *Holding {
	if holding := gossip.holdings.find(program, conversation); holding != nil {
		return holding
	}
	refusal, found := gossip.refusals.Find(now, program)
	if !found {
		return nil
	}
	return &Holding{Program: program, Conversation: conversation, Refused: newRefused(refusal)}
}

func (gossip *Gossip) handleHolding(holding *Holding) {
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	gossip.holdings.add(holding)
}
