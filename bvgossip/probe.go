package bvgossip

import (
	"math/rand/v2"
	"net/netip"

	"balsamvalve.example/bvclock"
)

// Digests tell of calls some tenths of a second late, which is as long as a call
// takes: in a crowd, hosts then send to engines that others have just filled, calls
// wait there while other engines stand free, and conversations leave the engines that
// have them. So each endpoint has a tracker, a host of its availability zone that is
// told of each call at once, and a host that decides in a crowd asks the trackers of a
// few endpoints first. A call costs a few datagrams for that, however many hosts there
// are. A tracker that is lost, or a datagram, only leaves what the digests said.

const (
	// probePatience bounds the wait for trackers. They answer in 1 to 2 ms.
	probePatience = 5 * bvclock.Millisecond
	// mutedFor is how long a tracker that did not answer is not asked again.
	mutedFor = bvclock.Second
)

// probe is a question to some trackers under way.
type probe struct {
	answers chan answer // has room for all
}

// answer is what one tracker said.
type answer struct {
	from  netip.AddrPort
	loads []*Load
}

// Used tells an endpoint's tracker how many calls this host has there now.
func (gossip *Gossip) Used(endpoint uint64, running int) {
	zone := gossip.endpoints.ZoneOf(endpoint)
	gossip.mutex.Lock()
	tracker, found := gossip.trackers.of(zone, endpoint)
	gossip.mutex.Unlock()
	if found && tracker != gossip.address {
		gossip.sendTo(tracker, &Datagram{Message: &Datagram_Use{Use: &Load{Endpoint: endpoint, Running: uint32(running)}}})
	}
}

// Counts asks the trackers of endpoints how many calls the other hosts have there. It
// waits a short time; endpoints whose trackers did not answer are missing.
func (gossip *Gossip) Counts(endpoints []uint64) map[uint64]int {
	counts := make(map[uint64]int, len(endpoints))
	asked := gossip.trackersOf(endpoints, counts)
	if len(asked) == 0 {
		return counts
	}
	number := rand.Uint64()
	probe := gossip.beginProbe(number, len(asked))
	defer gossip.endProbe(number)
	for tracker, tracked := range asked {
		gossip.sendTo(tracker, &Datagram{Message: &Datagram_Probe{Probe: &Probe{Number: number, Endpoints: tracked}}})
	}
	timeout := bvclock.After(probePatience)
	for len(asked) > 0 {
		select {
		case answer := <-probe.answers:
			delete(asked, answer.from)
			for _, load := range answer.loads {
				counts[load.GetEndpoint()] = int(load.GetRunning())
			}
		case <-timeout:
			gossip.mute(asked)
			return counts
		}
	}
	return counts
}

// trackersOf returns which other hosts are to be asked for which endpoints. It counts
// the calls at those that this host tracks itself.
func (gossip *Gossip) trackersOf(endpoints []uint64, counts map[uint64]int) map[netip.AddrPort][]uint64 {
	zones := make([]string, len(endpoints))
	for i, endpoint := range endpoints {
		zones[i] = gossip.endpoints.ZoneOf(endpoint)
	}
	asked := make(map[netip.AddrPort][]uint64)
	now := gossip.clock.Now()
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	for i, endpoint := range endpoints {
		tracker, found := gossip.trackers.of(zones[i], endpoint)
		switch {
		case !found || now.Before(gossip.mutedUntil[tracker]):
		case tracker == gossip.address:
			counts[endpoint] = gossip.tracker.count(endpoint, gossip.address, gossip.usesSince(now))
		default:
			asked[tracker] = append(asked[tracker], endpoint)
		}
	}
	return asked
}

// usesSince is the time since which a host must have said of its calls; the caller
// holds the mutex.
func (gossip *Gossip) usesSince(now bvclock.Time) bvclock.Time {
	return now.Add(-max(silentAfter, silentPauses*gossip.farPause()))
}

func (gossip *Gossip) beginProbe(number uint64, trackers int) *probe {
	begun := &probe{answers: make(chan answer, trackers)}
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	gossip.probes[number] = begun
	return begun
}

func (gossip *Gossip) endProbe(number uint64) {
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	delete(gossip.probes, number)
}

// mute notes trackers that did not answer. Without it each call would wait for them
// while they are frozen or cut off, until they count as silent.
func (gossip *Gossip) mute(trackers map[netip.AddrPort][]uint64) {
	until := gossip.clock.Now().Add(mutedFor)
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	for tracker := range trackers {
		gossip.mutedUntil[tracker] = until
	}
}

// answerProbe tells a host what is counted here.
func (gossip *Gossip) answerProbe(from netip.AddrPort, asked *Probe) {
	counts := &Counts{Number: asked.GetNumber()}
	gossip.mutex.Lock()
	since := gossip.usesSince(gossip.clock.Now())
	for _, endpoint := range asked.GetEndpoints() {
		running := gossip.tracker.count(endpoint, from, since)
		counts.Loads = append(counts.Loads, &Load{Endpoint: endpoint, Running: uint32(running)})
	}
	gossip.mutex.Unlock()
	for _, load := range counts.GetLoads() {
		load.Running += uint32(gossip.endpoints.Running(load.GetEndpoint()))
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
	probe := gossip.probes[counts.GetNumber()]
	if probe == nil {
		return // it gave up
	}
	select {
	case probe.answers <- answer{from, counts.GetLoads()}:
	default: // an answer that came twice
	}
}

// setTrackers takes over which hosts are heard.
func (gossip *Gossip) setTrackers() {
	now := gossip.clock.Now()
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	gossip.trackers = make(trackers)
	gossip.trackers.add(gossip.zone, gossip.address)
	for address, peer := range gossip.hosts {
		if !gossip.isSilent(now, peer) && !peer.digest.GetLeaving() {
			gossip.trackers.add(peer.digest.GetZone(), address)
		}
	}
	for address, until := range gossip.mutedUntil {
		if !now.Before(until) {
			delete(gossip.mutedUntil, address)
		}
	}
}
