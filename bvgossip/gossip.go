// Package bvgossip tells the hosts of each other's calls, a few times a second
// and by datagrams: which endpoints are busy with whose calls, and which of
// them have which parts of prompts. Each endpoint also has a tracker, a host that is
// told of each call there at once and answers others how many there are. Nothing that
// must hold rests on it: a datagram that is lost makes a decision worse, not wrong.
//
// # Usage
//
//	gossip := bvgossip.New(self, connection, clock, log)
//	gossip.SetHosts(hosts) // as the platform's store lists them
//	go gossip.Receive(handle)
//	gossip.SendDigest(digest) // every gossip.Interval()
//	loads := gossip.PeerLoads(digest)
//	counts := gossip.QueryRunning(endpoints) // of this moment
//
// # Cost
//
// Each host sends a datagram of some hundred bytes to each other host, less
// often to those in other availability zones. The intervals grow with the number of
// hosts. A call costs some fifteen datagrams more for trackers, however many hosts
// there are.
package bvgossip

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"balsamvalve.example/bvclock"
)

//go:generate sh -c "cd .. && buf generate --path bvgossip/digest.proto"

const (
	// leastInterval is the time between two digests where there are few hosts: short
	// beside a call.
	leastInterval = 100 * bvclock.Millisecond
	// farInterval is the time between two digests to hosts in other availability
	// zones: operators pay for bytes between zones, and trackers tell of the calls
	// there that a decision depends on.
	farInterval = 400 * bvclock.Millisecond
	// farPerHost lengthens that by the number of hosts, and fullHosts is up to how
	// many hosts those of other zones are told of calls at all endpoints, and not
	// only at those of their own zone: beyond, that would be most of all bytes.
	farPerHost = 6 * bvclock.Millisecond
	fullHosts  = 120
	// perHost lengthens the interval by the number of hosts, so that a host has not
	// more to read the more there are. Decisions ask trackers for what is newer.
	perHost = 2 * bvclock.Millisecond
	// silentAfter is how long after its last digest a host's calls are no
	// longer counted, and silentPauses the least, in pauses between its digests: one or
	// two of them may be lost.
	silentAfter  = 1500 * bvclock.Millisecond
	silentPauses = 3
	// trialInterval is the time between two digests to a silent host.
	trialInterval = 2 * bvclock.Second
	// datagramBytes is the most that one datagram holds.
	datagramBytes = 32 << 10
)

// Gossip sends and receives digests. Make one with New.
type Gossip struct {
	self  string // incarnation
	zone  string // availability zone of this host
	conn  *net.UDPConn
	clock bvclock.Clock
	log   logrus.FieldLogger

	mutex sync.Mutex
	hosts map[netip.AddrPort]*peer
	asks  map[uint64]*question
	farAt bvclock.Time // last digest to other zones
	zones map[string]zoneTotals

	own        candidate   // this host
	settled    atomic.Bool // this host may allocate usage caps
	tracker    tracker
	trackers   trackers
	holdings   holdings
	probes     map[uint64]*probing
	asked      int64 // trackers, since the start
	unanswered int64
	mutedUntil map[netip.AddrPort]bvclock.Time

	endpoints Endpoints

	// What other zones are not told yet; Send's alone.
	placements []*Placement
	programs   []uint64
}

// Endpoints are the endpoints as this host knows them, by the hashes of their IDs.
type Endpoints interface {
	// ZoneOf returns an endpoint's availability zone, or "" where it is not listed.
	ZoneOf(endpoint uint64) string
	// RunningAt returns how many calls of this host are under way at an endpoint.
	RunningAt(endpoint uint64) int
}

// New returns a Gossip that sends from the given socket, for a host in an
// availability zone. Digests of the process's own incarnation are ignored.
func New(
	self, zone string, conn *net.UDPConn, clock bvclock.Clock, log logrus.FieldLogger, endpoints Endpoints,
) *Gossip {
	return &Gossip{
		self: self, zone: zone, conn: conn, clock: clock, log: log, endpoints: endpoints,
		own:    newCandidate(conn.LocalAddr().(*net.UDPAddr).AddrPort()),
		probes: make(map[uint64]*probing), mutedUntil: make(map[netip.AddrPort]bvclock.Time),
		hosts: make(map[netip.AddrPort]*peer), asks: make(map[uint64]*question), zones: make(map[string]zoneTotals),
	}
}

// Interval is the time to wait between two digests.
func (gossip *Gossip) Interval() bvclock.Duration {
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	return gossip.nearPause()
}

// nearPause is the time between two digests to this host's availability zone. The caller
// holds the mutex.
func (gossip *Gossip) nearPause() bvclock.Duration {
	return max(leastInterval, bvclock.Duration(len(gossip.hosts))*perHost)
}

// SendDigest sends a digest to the hosts of this availability zone, and, when it is
// time, one with all that happened since the last to those of other zones. Hosts
// that are silent get one every few seconds, in case that they are back. It is
// not safe for concurrent use.
func (gossip *Gossip) SendDigest(digest *Digest) {
	gossip.setTrackers()
	near, far := gossip.due()
	gossip.sendAll(digest, near)
	gossip.placements = append(gossip.placements, digest.Placements...)
	gossip.programs = append(gossip.programs, digest.Programs...)
	if far == nil {
		return
	}
	totals := gossip.totals(digest)
	digest.Placements, digest.Programs, digest.Outcomes = gossip.placements, gossip.programs, nil
	share := gossip.totalsShare()
	for zone, addresses := range far {
		short := gossip.digestFor(digest, zone)
		told, rest := split(addresses, share)
		gossip.sendAll(short, rest)
		short.Totals = totals
		gossip.sendAll(short, told)
		short.Totals = nil
	}
	gossip.placements, gossip.programs = nil, nil
}

// digestFor leaves out of a digest what hosts of another availability zone have
// little use for, where there are many hosts.
func (gossip *Gossip) digestFor(digest *Digest, zone string) *Digest {
	if gossip.size() <= fullHosts {
		return digest
	}
	short := &Digest{
		Host: digest.GetHost(), Incarnation: digest.GetIncarnation(), Zone: digest.GetZone(), Address: digest.GetAddress(),
		StateVersion: digest.GetStateVersion(), StoreReachable: digest.GetStoreReachable(), Leaving: digest.GetLeaving(),
		Programs: digest.GetPrograms(), Crashes: digest.GetCrashes(),
	}
	for _, load := range digest.GetLoads() {
		if gossip.endpoints.ZoneOf(load.GetEndpoint()) == zone {
			short.Loads = append(short.Loads, load)
		}
	}
	for _, placement := range digest.GetPlacements() {
		if gossip.endpoints.ZoneOf(placement.GetEndpoint()) == zone {
			short.Placements = append(short.Placements, placement)
		}
	}
	return short
}

func (gossip *Gossip) size() int {
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	return len(gossip.hosts)
}

func (gossip *Gossip) sendAll(digest *Digest, addresses []netip.AddrPort) {
	encoded, err := proto.Marshal(&Datagram{Message: &Datagram_Digest{Digest: digest}})
	if err != nil || len(encoded) > datagramBytes {
		gossip.log.WithError(err).WithField("bytes", len(encoded)).Warn("digest can't be sent")
		return
	}
	for _, address := range addresses {
		if _, err := gossip.conn.WriteToUDPAddrPort(encoded, address); err != nil {
			gossip.log.WithError(err).Debug("digest not sent")
		}
	}
}

// due returns the hosts that are to get a digest now, those of other availability
// zones by zone, and nil until it is their time.
func (gossip *Gossip) due() (near []netip.AddrPort, far map[string][]netip.AddrPort) {
	now := gossip.clock.Now()
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	farDue := now.Sub(gossip.farAt) >= gossip.farPause()
	if farDue {
		gossip.farAt, far = now, make(map[string][]netip.AddrPort)
	}
	for address, peer := range gossip.hosts {
		zone := peer.digest.GetZone()
		switch {
		case gossip.isSilent(now, peer) && now.Sub(peer.triedAt) < trialInterval:
			continue
		case peer.digest == nil || zone == gossip.zone:
			near = append(near, address)
		case farDue:
			far[zone] = append(far[zone], address)
		default:
			continue
		}
		peer.triedAt = now
	}
	return near, far
}

// farPause is the time between two digests to other availability zones.
func (gossip *Gossip) farPause() bvclock.Duration {
	return max(farInterval, bvclock.Duration(len(gossip.hosts))*farPerHost)
}

// Handler takes in what other hosts send.
type Handler interface {
	// HandleDigest takes in a digest.
	HandleDigest(digest *Digest)
	// LendTokens gives up tokens of a program's budget for the host at an address. The
	// answer's number and program are set by the caller.
	LendTokens(host string, ask *Ask) *Lend
	// DecideClaim decides on a request of another host that nears a usage cap.
	DecideClaim(claim *Claim) *Claimed
	// AcceptTokens takes in tokens that another host gave up.
	AcceptTokens(program string, tokens int, holders []string)
}

// Receive hands on what other hosts send until the socket is closed.
func (gossip *Gossip) Receive(handler Handler) error {
	buffer := make([]byte, datagramBytes)
	for {
		count, from, err := gossip.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("gossip: %w", err)
		}
		datagram := &Datagram{}
		if err := proto.Unmarshal(buffer[:count], datagram); err != nil {
			gossip.log.WithError(err).Debug("datagram can't be read")
			continue
		}
		gossip.handle(datagram, from, handler)
	}
}

func (gossip *Gossip) handle(datagram *Datagram, from netip.AddrPort, handler Handler) {
	switch message := datagram.GetMessage().(type) {
	case *Datagram_Digest:
		if gossip.note(message.Digest) {
			handler.HandleDigest(message.Digest)
		}
	case *Datagram_Ask:
		ask := message.Ask
		lend := handler.LendTokens(from.String(), ask)
		lend.Number, lend.Program = ask.GetNumber(), ask.GetProgram()
		gossip.sendTo(from, &Datagram{Message: &Datagram_Lend{Lend: lend}})
	case *Datagram_Lend:
		gossip.lent(message.Lend, handler)
	case *Datagram_Probe:
		gossip.answerProbe(from, message.Probe, handler)
	case *Datagram_Counts:
		gossip.takeCounts(from, message.Counts)
	case *Datagram_Use:
		gossip.noteUse(from, message.Use)
	case *Datagram_Holding:
		gossip.noteHolding(message.Holding)
	}
}

func (gossip *Gossip) sendTo(address netip.AddrPort, datagram *Datagram) {
	encoded, err := proto.Marshal(datagram)
	if err == nil {
		_, err = gossip.conn.WriteToUDPAddrPort(encoded, address)
	}
	if err != nil {
		gossip.log.WithError(err).Debug("datagram not sent")
	}
}

// note keeps a digest; it reports whether it is of another host.
func (gossip *Gossip) note(digest *Digest) bool {
	address, err := netip.ParseAddrPort(digest.GetAddress())
	if err != nil || digest.GetIncarnation() == gossip.self {
		return false
	}
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	peer := gossip.peer(address)
	peer.digest, peer.lastSeen = digest, gossip.clock.Now()
	gossip.noteTotals(peer.lastSeen, digest)
	gossip.tracker.noteAll(peer.lastSeen, address, digest.GetLoads())
	return true
}
