package bvgossip

import (
	"math/rand/v2"
	"net/netip"

	"balsamvalve.example/bvclock"
)

// Digests report calls some tenths of a second late, which is as long as a call takes:
// hosts would send calls to engines that others have just filled, calls would queue there
// while other engines are idle, and conversations would move off the engines that have
// them cached. So each endpoint has a tracker, a host of its availability zone to which
// each call is reported at once, and a host queries the trackers of a few endpoints
// before it places a call. This costs a few datagrams a call, independent of the number
// of hosts. If a tracker fails or a datagram is lost, decisions use the digests alone.

const (
	// probeTimeout bounds the wait for trackers. Without their counts, those of the
	// digests are used.
	probeTimeout = 5 * bvclock.Millisecond
	// trackerBackoff is how long a tracker that did not answer is not queried again.
	trackerBackoff = bvclock.Second
)

// pendingProbe is a query to some trackers that is in flight.
type pendingProbe struct {
	replies chan trackerReply       // has capacity for all
	awaited map[netip.AddrPort]bool // that have not replied
}

// trackerReply is the reply of one tracker.
type trackerReply struct {
	from   netip.AddrPort
	counts *Counts
}

// ReportRunning reports to an endpoint's tracker how many calls this host has there now.
func (gossip *Gossip) ReportRunning(endpoint uint64, running int) {
	zone := gossip.endpoints.ZoneOf(endpoint)
	gossip.mutex.Lock()
	tracker, found := gossip.trackers.ofEndpoint(zone, endpoint)
	gossip.mutex.Unlock()
	if found && tracker != gossip.own.address {
		gossip.sendTo(tracker, &Datagram{Message: &Datagram_Use{Use: &Load{Endpoint: endpoint, Running: uint32(running)}}})
	}
}

// QueryRunning asks the trackers of endpoints how many calls the other hosts have there.
// It waits for at most probeTimeout; endpoints whose trackers did not answer are missing.
func (gossip *Gossip) QueryRunning(endpoints []uint64) map[uint64]int {
	counts := make(map[uint64]int, len(endpoints))
	gossip.queryTrackers(gossip.buildProbes(endpoints, counts), probeTimeout, func(reply trackerReply) {
		for _, load := range reply.counts.GetLoads() {
			counts[load.GetEndpoint()] = int(load.GetRunning())
		}
	})
	return counts
}

// queryTrackers sends probes to trackers and passes their replies to handleReply until all
// have answered or the timeout expires. Trackers that did not answer are backed off.
func (gossip *Gossip) queryTrackers(probes map[netip.AddrPort]*Probe, timeout bvclock.Duration, handleReply func(reply trackerReply)) {
	if len(probes) == 0 {
		return
	}
	number := rand.Uint64()
	pending := gossip.registerProbe(number, probes)
	defer gossip.removeProbe(number)
	for tracker, probe := range probes {
		probe.Number = number
		gossip.sendTo(tracker, &Datagram{Message: &Datagram_Probe{Probe: probe}})
	}
	expired := bvclock.After(timeout)
	for len(probes) > 0 {
		select {
		case reply := <-pending.replies:
			delete(probes, reply.from)
			handleReply(reply)
		case <-expired:
			gossip.backOff(probes)
			return
		}
	}
}

// buildProbes returns the probes to send to other hosts, by address. For endpoints that
// this host tracks itself, it adds the calls to counts.
func (gossip *Gossip) buildProbes(endpoints []uint64, counts map[uint64]int) map[netip.AddrPort]*Probe {
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
		case !found || now.Before(gossip.backoffUntil[tracker]):
		case tracker == gossip.own.address:
			counts[endpoint] = gossip.tracker.count(endpoint, gossip.own.address, gossip.staleBefore(now))
		case probes[tracker] == nil:
			probes[tracker] = &Probe{Endpoints: []uint64{endpoint}}
		default:
			probes[tracker].Endpoints = append(probes[tracker].Endpoints, endpoint)
		}
	}
	return probes
}

// staleBefore returns the time before which reports of calls no longer count: a few
// intervals between the digests of any zone ago. The caller holds the mutex.
func (gossip *Gossip) staleBefore(now bvclock.Time) bvclock.Time {
	return now.Add(-max(silenceTimeout, silenceIntervals*gossip.crossZoneInterval()))
}

func (gossip *Gossip) registerProbe(number uint64, probes map[netip.AddrPort]*Probe) *pendingProbe {
	pending := &pendingProbe{replies: make(chan trackerReply, len(probes)), awaited: make(map[netip.AddrPort]bool, len(probes))}
	for tracker := range probes {
		pending.awaited[tracker] = true
	}
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	gossip.probes[number] = pending
	gossip.queried += int64(len(probes))
	return pending
}

func (gossip *Gossip) removeProbe(number uint64) {
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	delete(gossip.probes, number)
}

// backOff excludes trackers that did not answer from queries for a time. Otherwise each
// call would wait for a frozen or unreachable tracker until it counts as silent.
func (gossip *Gossip) backOff(trackers map[netip.AddrPort]*Probe) {
	until := gossip.clock.Now().Add(trackerBackoff)
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	gossip.unanswered += int64(len(trackers))
	for tracker := range trackers {
		gossip.backoffUntil[tracker] = until
	}
}

// TrackerQueries returns how many queries were sent to trackers since the start, and how
// many of them were not answered in time.
func (gossip *Gossip) TrackerQueries() (queried, unanswered int64) {
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	return gossip.queried, gossip.unanswered
}

// answerProbe returns the answer to a probe of another host.
func (gossip *Gossip) answerProbe(from netip.AddrPort, probe *Probe, handler Handler) *Datagram {
	counts := &Counts{Number: probe.GetNumber()}
	if claim := probe.GetClaim(); claim != nil {
		counts.Claimed = handler.DecideClaim(claim)
	}
	if start := probe.GetStart(); start != nil {
		counts.Copy = handler.KeepStart(start)
	}
	if query := probe.GetStream(); query != nil {
		counts.Stream = handler.FindStart(query)
	}
	gossip.mutex.Lock()
	now := gossip.clock.Now()
	since := gossip.staleBefore(now)
	for _, endpoint := range probe.GetEndpoints() {
		running := gossip.tracker.count(endpoint, from, since)
		counts.Loads = append(counts.Loads, &Load{Endpoint: endpoint, Running: uint32(running)})
	}
	if refused := probe.GetRefused(); refused != nil {
		gossip.refusals.Record(now, probe.GetProgram(), refusalFrom(refused))
	} else if probe.GetProgram() != 0 {
		counts.Holding = gossip.findHolding(now, probe.GetProgram(), probe.GetConversation())
	}
	gossip.mutex.Unlock()
	for _, load := range counts.GetLoads() {
		load.Running += uint32(gossip.endpoints.RunningAt(load.GetEndpoint()))
	}
	return &Datagram{Message: &Datagram_Counts{Counts: counts}}
}

// handleUse records how many calls a host has at an endpoint now.
func (gossip *Gossip) handleUse(from netip.AddrPort, use *Load) {
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	gossip.tracker.set(gossip.clock.Now(), from, use.GetEndpoint(), int(use.GetRunning()))
}

// handleCounts passes a reply to the query that waits for it, once for each host that was
// queried: a datagram may arrive twice.
func (gossip *Gossip) handleCounts(from netip.AddrPort, counts *Counts) {
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	delete(gossip.backoffUntil, from)
	pending := gossip.probes[counts.GetNumber()]
	if pending == nil || !pending.awaited[from] {
		return // the query has timed out, or has this host's reply
	}
	delete(pending.awaited, from)
	pending.replies <- trackerReply{from, counts}
}

// updateTrackers sets the trackers to the hosts that are neither silent nor leaving, and
// removes backoffs that have expired.
func (gossip *Gossip) updateTrackers() {
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
	for address, until := range gossip.backoffUntil {
		if !now.Before(until) {
			delete(gossip.backoffUntil, address)
		}
	}
}
