package bvgossip

import (
	"math/rand/v2"
	"net/netip"

	"balsamvalve.example/bvclock"
)

// Digests tell of calls some tenths of a second late, which is as long as a call
// takes: hosts then send to engines that others have just filled, calls wait there
// while other engines stand free, and conversations leave the engines that have them.
// So each endpoint has a tracker, a host of its availability zone that is told of each
// call at once, and a host that decides asks the trackers of a few endpoints first. A
// call costs a few datagrams for that, however many hosts there are. A tracker that is
// lost, or a datagram, only leaves what the digests said.

const (
	// probeTimeout bounds the wait for trackers; digests tell enough without them.
	probeTimeout = 5 * bvclock.Millisecond
	// mutedFor is how long a tracker that did not answer is not asked again.
	mutedFor = bvclock.Second
)

// probing is a question to some trackers that is under way.
type probing struct {
	answers chan answer // has room for all
}

// answer is what one tracker said.
type answer struct {
	from   netip.AddrPort
	counts *Counts
}

// ReportRunning tells an endpoint's tracker how many calls this host has there now.
func (gossip *Gossip) ReportRunning(endpoint uint64, running int) {
	zone := gossip.endpoints.ZoneOf(endpoint)
	gossip.mutex.Lock()
	tracker, found := gossip.trackers.ofEndpoint(zone, endpoint)
	gossip.mutex.Unlock()
	if found && tracker != gossip.own.address {
		gossip.sendTo(tracker, &Datagram{Message: &Datagram_Use{Use: &Load{Endpoint: endpoint, Running: uint32(running)}}})
	}
}

// QueryRunning asks the trackers of endpoints how many calls the other hosts have there. It
// waits a short time; endpoints whose trackers did not answer are missing.
func (gossip *Gossip) QueryRunning(endpoints []uint64) map[uint64]int {
	counts := make(map[uint64]int, len(endpoints))
	gossip.ask(gossip.probesFor(endpoints, counts), probeTimeout, func(answer *Counts) {
		for _, load := range answer.GetLoads() {
			counts[load.GetEndpoint()] = int(load.GetRunning())
		}
	})
	return counts
}

// ask sends probes to trackers and takes in their answers, for a short time.
func (gossip *Gossip) ask(probes map[netip.AddrPort]*Probe, limit bvclock.Duration, take func(answer *Counts)) {
	if len(probes) == 0 {
		return
	}
	number := rand.Uint64()
	begun := gossip.beginProbe(number, len(probes))
	defer gossip.endProbe(number)
	for tracker, probe := range probes {
		probe.Number = number
		gossip.sendTo(tracker, &Datagram{Message: &Datagram_Probe{Probe: probe}})
	}
	timeout := bvclock.After(limit)
	for len(probes) > 0 {
		select {
		case answer := <-begun.answers:
			delete(probes, answer.from)
			take(answer.counts)
		case <-timeout:
			gossip.mute(probes)
			return
		}
	}
}

// probesFor returns which other hosts are to be asked for which endpoints. It counts
// the calls at those that this host tracks itself.
func (gossip *Gossip) probesFor(endpoints []uint64, counts map[uint64]int) map[netip.AddrPort]*Probe {
	zones := make([]string, len(endpoints))
	for i, endpoint := range endpoints {
		zones[i] = gossip.endpoints.ZoneOf(endpoint)
	}
	probes := make(map[netip.AddrPort]*Probe)
	now := gossip.clock.Now()
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	for i, endpoint := range endpoints {
		tracker, found := gossip.trackers.ofEndpoint(zones[i], endpoint)
		switch {
		case !found || now.Before(gossip.mutedUntil[tracker]):
		case tracker == gossip.own.address:
			counts[endpoint] = gossip.tracker.count(endpoint, gossip.own.address, gossip.toldSince(now))
		case probes[tracker] == nil:
			probes[tracker] = &Probe{Endpoints: []uint64{endpoint}}
		default:
			probes[tracker].Endpoints = append(probes[tracker].Endpoints, endpoint)
		}
	}
	return probes
}

// toldSince is the time since which hosts of any zone must have told of calls for these
// to count: some pauses between their digests. The caller holds the mutex.
func (gossip *Gossip) toldSince(now bvclock.Time) bvclock.Time {
	return now.Add(-max(silentAfter, silentPauses*gossip.farPause()))
}

func (gossip *Gossip) beginProbe(number uint64, trackers int) *probing {
	begun := &probing{answers: make(chan answer, trackers)}
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	gossip.probes[number] = begun
	gossip.asked += int64(trackers)
	return begun
}

func (gossip *Gossip) endProbe(number uint64) {
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	delete(gossip.probes, number)
}

// mute notes trackers that did not answer. Without it each call would wait for them
// while they are frozen or cut off, until they count as silent.
func (gossip *Gossip) mute(trackers map[netip.AddrPort]*Probe) {
	until := gossip.clock.Now().Add(mutedFor)
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	gossip.unanswered += int64(len(trackers))
	for tracker := range trackers {
		gossip.mutedUntil[tracker] = until
	}
}

// TrackerQueries returns how many trackers were asked since the start, and how many of them did
// not answer in time.
func (gossip *Gossip) TrackerQueries() (asked, unanswered int64) {
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	return gossip.asked, gossip.unanswered
}

// answerProbe tells a host what is counted here.
func (gossip *Gossip) answerProbe(from netip.AddrPort, asked *Probe, handler Handler) {
	counts := &Counts{Number: asked.GetNumber()}
	if claim := asked.GetClaim(); claim != nil {
		counts.Claimed = handler.DecideClaim(claim)
	}
	gossip.mutex.Lock()
	since := gossip.toldSince(gossip.clock.Now())
	for _, endpoint := range asked.GetEndpoints() {
		running := gossip.tracker.count(endpoint, from, since)
		counts.Loads = append(counts.Loads, &Load{Endpoint: endpoint, Running: uint32(running)})
	}
	if asked.GetProgram() != 0 {
		counts.Holding = gossip.holdings.find(asked.GetProgram(), asked.GetConversation())
	}
	gossip.mutex.Unlock()
	for _, load := range counts.GetLoads() {
		load.Running += uint32(gossip.endpoints.RunningAt(load.GetEndpoint()))
	}
	gossip.sendTo(from, &Datagram{Message: &Datagram_Counts{Counts: counts}})
}

// noteUse takes in how many calls a host has at an endpoint now.
func (gossip *Gossip) noteUse(from netip.AddrPort, use *Load) {
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	gossip.tracker.note(gossip.clock.Now(), from, use.GetEndpoint(), int(use.GetRunning()))
}

// takeCounts hands an answer to whoever waits for it.
func (gossip *Gossip) takeCounts(from netip.AddrPort, counts *Counts) {
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	delete(gossip.mutedUntil, from)
	begun := gossip.probes[counts.GetNumber()]
	if begun == nil {
		return // it gave up
	}
	select {
	case begun.answers <- answer{from, counts}:
	default: // an answer that came twice
	}
}

// setTrackers takes over which hosts are heard.
func (gossip *Gossip) setTrackers() {
	now := gossip.clock.Now()
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	gossip.trackers = trackers{}
	gossip.trackers.add(gossip.zone, gossip.own, gossip.settled.Load())
	for _, peer := range gossip.hosts {
		if !gossip.isSilent(now, peer) && !peer.digest.GetLeaving() {
			gossip.trackers.add(peer.digest.GetZone(), peer.candidate, peer.digest.GetSettled())
		}
	}
	for address, until := range gossip.mutedUntil {
		if !now.Before(until) {
			delete(gossip.mutedUntil, address)
		}
	}
}
