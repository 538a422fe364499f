package bvgossip

import (
	"cmp"
	"net/netip"
	"slices"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvhost"
)

// A caller may resume a stream at any host, some milliseconds after its first event, when the host
// that started it may be lost. So a start is copied to a few hosts, if possible of different
// availability zones, before the first event is passed on, and a host at which a stream is resumed
// asks them. A start that is not found means that the stream does not go on.

const (
	// startCopies is the number of hosts that get a copy.
	startCopies = 3
	// startTimeout bounds the wait for their replies. Those that don't reply are replaced, until
	// startRounds rounds were made.
	startTimeout = 10 * bvclock.Millisecond
	startRounds  = 2
	// maxStreamQueries is the number of hosts that are asked for a start: with few hosts all of
	// them, since those that got the copies may have been lost or started since.
	maxStreamQueries = 16
	// streamQueryTimeout bounds the wait for their replies. Hosts that recently did not reply are
	// asked last, in a second round.
	streamQueryTimeout = 15 * bvclock.Millisecond
)

// StreamReply is the reply of a host to a StreamQuery.
type StreamReply struct {
	Host  string
	Start *StreamFinding
}

// SendStart sends a start to a few hosts that keep a copy, and returns the replies of those that do.
// The key is a number derived from the start's key.
func (gossip *Gossip) SendStart(key uint64, start *StreamStart) (replies []*StreamCopy) {
	holders, _ := gossip.streamHolders(key, startRounds*startCopies, isNotLeaving)
	for round := 0; round < startRounds && len(replies) < startCopies && len(holders) > 0; round++ {
		count := min(startCopies-len(replies), len(holders))
		probes := make(map[netip.AddrPort]*Probe, count)
		for _, holder := range holders[:count] {
			probes[holder] = &Probe{Start: start}
		}
		holders = holders[count:]
		gossip.queryTrackers(probes, startTimeout, func(reply trackerReply) {
			if copied := reply.counts.GetCopy(); copied != nil { // older builds keep no copy
				replies = append(replies, copied)
			}
		})
	}
	return replies
}

// QueryStream asks the hosts that may know a stream's start, and returns the replies and how many
// hosts were asked. It asks hosts that are silent or recently did not reply only if no other one
// knows it.
func (gossip *Gossip) QueryStream(key uint64, query *StreamQuery) (replies []StreamReply, asked int) {
	replying, silent := gossip.streamHolders(key, maxStreamQueries, isAny)
	replying = replying[:min(len(replying), maxStreamQueries)]
	silent = silent[:min(len(silent), maxStreamQueries-len(replying))]
	known := false
	for _, hosts := range [][]netip.AddrPort{replying, silent} {
		if known {
			break
		}
		probes := make(map[netip.AddrPort]*Probe, len(hosts))
		for _, host := range hosts {
			probes[host] = &Probe{Stream: query}
		}
		asked += len(probes)
		gossip.queryTrackers(probes, streamQueryTimeout, func(reply trackerReply) {
			found := reply.counts.GetStream()
			known = known || found.GetKnown() || found.GetAmbiguous()
			replies = append(replies, StreamReply{gossip.nameOf(reply.from), found})
		})
	}
	return replies, asked
}

func isNotLeaving(peer *peer) bool { return !peer.digest.GetLeaving() }

func isAny(*peer) bool { return true }

// streamHolders returns the other hosts in the order in which they keep copies of a start: the first
// ones, which are at least limit if there are as many. A host that has just started gets no digests
// yet, so listed hosts count from the start on. Hosts that are silent or recently did not reply are
// separate.
func (gossip *Gossip) streamHolders(key uint64, limit int, isEligible func(*peer) bool) (replying, silent []netip.AddrPort) {
	now := gossip.clock.Now()
	live, lost := ranking{limit: limit}, ranking{limit: limit}
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	for address, peer := range gossip.hosts {
		if address == gossip.own.address || !isEligible(peer) {
			continue
		}
		found := holder{address: address, weight: bvhost.Weight(peer.candidate.hash, key)}
		if now.Before(gossip.backoffUntil[address]) || peer.digest != nil && gossip.isSilent(now, peer) {
			lost.add(peer.digest.GetZone(), found)
			continue
		}
		live.add(peer.digest.GetZone(), found)
	}
	return live.addresses(), lost.addresses()
}

// holder is a host that may keep a copy of a start.
type holder struct {
	address netip.AddrPort
	weight  uint64
}

func byWeight(a, b holder) int { return cmp.Compare(b.weight, a.weight) }

// ranking orders hosts by their weight, the first one of each zone before the others. It keeps those
// first ones, and the first ones of all.
type ranking struct {
	limit   int
	highest []holder
	zones   []string
	firsts  []holder // by zone
}

// add adds a host. The zone is empty if it is not known yet.
func (ranking *ranking) add(zone string, added holder) {
	if len(ranking.highest) < ranking.limit || added.weight > ranking.highest[ranking.limit-1].weight {
		at, _ := slices.BinarySearchFunc(ranking.highest, added, byWeight)
		ranking.highest = slices.Insert(ranking.highest, at, added)
		ranking.highest = ranking.highest[:min(len(ranking.highest), ranking.limit)]
	}
	if zone == "" {
		return
	}
	known := slices.Index(ranking.zones, zone)
	switch {
	case known < 0:
		ranking.zones, ranking.firsts = append(ranking.zones, zone), append(ranking.firsts, added)
	case added.weight > ranking.firsts[known].weight:
		ranking.firsts[known] = added
	}
}

func (ranking *ranking) addresses() []netip.AddrPort {
	slices.SortFunc(ranking.firsts, byWeight)
	ranked := ranking.firsts
	for _, host := range ranking.highest {
		if !slices.Contains(ranking.firsts, host) {
			ranked = append(ranked, host)
		}
	}
	addresses := make([]netip.AddrPort, len(ranked))
	for i, host := range ranked {
		addresses[i] = host.address
	}
	return addresses
}

// nameOf returns the name of a host, or its address if it is not known.
func (gossip *Gossip) nameOf(address netip.AddrPort) string {
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	if found := gossip.hosts[address]; found != nil && found.digest.GetHost() != "" {
		return found.digest.GetHost()
	}
	return address.String()
}
