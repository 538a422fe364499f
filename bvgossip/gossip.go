// Package bvgossip exchanges the state of calls between hosts, a few times a second and by
// datagrams: which endpoints run whose calls, and which parts of prompts they have. Each
// endpoint also has a tracker, a host to which each call there is reported at once and
// which answers queries for their number. No invariant depends on gossip: a datagram that
// is lost makes a decision worse, not wrong.
//
// # Usage
//
//	gossip := bvgossip.New(self, zone, connection, clock, log, endpoints)
//	gossip.SetHosts(hosts) // as the platform's store lists them
//	go gossip.Receive(handler)
//	gossip.SendDigest(digest) // every gossip.Interval()
//	loads := gossip.PeerLoads(digest)
//	counts := gossip.QueryRunning(endpoints) // up to date
//
// # Cost
//
// Each host sends a datagram of a few hundred bytes to each other host, less often to
// those in other availability zones. The intervals grow with the number of hosts. A call
// costs about fifteen datagrams more for trackers, independent of the number of hosts.
package bvgossip

import (
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"balsamvalve.example/bvadmission"
	"balsamvalve.example/bvclock"
)

//go:generate sh -c "cd .. && buf generate --path bvgossip/digest.proto"

const (
	// receivePause is the pause after an error of receiving.
	receivePause = 100 * bvclock.Millisecond
	// minInterval is the time between two digests where there are few hosts. It is short
	// compared to a call.
	minInterval = 100 * bvclock.Millisecond
	// minCrossZoneInterval is the least time between two digests to hosts in other
	// availability zones. It is longer because operators pay for bytes between zones, and
	// trackers report the calls there that a decision depends on.
	minCrossZoneInterval = 400 * bvclock.Millisecond
	// crossZoneIntervalPerHost lengthens that with the number of hosts. Up to
	// maxFullDigestHosts hosts, digests to other zones contain the calls at all endpoints;
	// with more hosts only those at endpoints of the receiver's zone, because the others
	// would make up most of the traffic.
	crossZoneIntervalPerHost = 6 * bvclock.Millisecond
	maxFullDigestHosts       = 120
	// intervalPerHost lengthens the interval with the number of hosts, so that a host does
	// not receive more digests per second the more hosts there are. Decisions query
	// trackers for newer counts.
	intervalPerHost = 2 * bvclock.Millisecond
	// silenceTimeout is how long after its last digest a host counts as silent and its
	// calls are no longer counted. It is at least silenceIntervals intervals between its
	// digests, because one or two of them may be lost.
	silenceTimeout   = 1500 * bvclock.Millisecond
	silenceIntervals = 3
	// silentHostInterval is the time between two digests to a silent host.
	silentHostInterval = 2 * bvclock.Second
	// maxDatagramBytes is the maximum size of a datagram.
	maxDatagramBytes = 32 << 10
	// maxCrashesPerDatagram crashes of up to 50 bytes fit into a datagram.
	maxCrashesPerDatagram = 500
)

var (
	errDatagramTooLong = errors.New("gossip: datagram longer than 32 KB")
	errInvalidPart     = errors.New("gossip: no part of a digest")
)

// Gossip sends and receives digests. Make one with New.
type Gossip struct {
	self  string // incarnation
	zone  string // availability zone of this host
	conn  *net.UDPConn
	clock bvclock.Clock
	log   logrus.FieldLogger

	sequence   uint32 // of the last digest in parts; only SendDigest uses it
	answered   answeredRequests
	omitted    atomic.Int64
	rejections rejections

	mutex           sync.Mutex
	hosts           map[netip.AddrPort]*peer
	requests        map[uint64]*pendingRequest
	crossZoneSentAt bvclock.Time // when the last digest was sent to other zones
	zones           map[string]zoneTotals

	own          candidate   // this host
	settled      atomic.Bool // this host may allocate usage caps
	tracker      tracker
	trackers     trackers
	holdings     holdings
	refusals     bvadmission.Refusals
	probes       map[uint64]*pendingProbe
	queried      int64 // queries to trackers since the start
	unanswered   int64
	backoffUntil map[netip.AddrPort]bvclock.Time

	endpoints Endpoints

	// Placements and programs that were not sent to other zones yet. Only SendDigest uses
	// them.
	pendingPlacements []*Placement
	pendingPrograms   []uint64
}

// Endpoints are the endpoints that this host knows, by the hashes of their IDs.
type Endpoints interface {
	// ZoneOf returns an endpoint's availability zone, or "" if it is not listed.
	ZoneOf(endpoint uint64) string
	// RunningAt returns how many calls of this host are in flight at an endpoint.
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
		probes: make(map[uint64]*pendingProbe), backoffUntil: make(map[netip.AddrPort]bvclock.Time),
		hosts: make(map[netip.AddrPort]*peer), requests: make(map[uint64]*pendingRequest), zones: make(map[string]zoneTotals),
	}
}

// Interval returns the time to wait between two digests.
func (gossip *Gossip) Interval() bvclock.Duration {
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	return gossip.interval()
}

// interval returns the time between two digests to this host's availability zone. The
// caller holds the mutex.
func (gossip *Gossip) interval() bvclock.Duration {
	return max(minInterval, bvclock.Duration(len(gossip.hosts))*intervalPerHost)
}

// SendDigest sends a digest to the hosts of this availability zone. When one is due to
// other zones, it sends them one with all placements and programs since the last. Silent
// hosts are sent one every few seconds, in case they are reachable again. It is not safe
// for concurrent use.
func (gossip *Gossip) SendDigest(digest *Digest) {
	gossip.updateTrackers()
	sameZone, otherZones := gossip.dueHosts()
	gossip.sendDigestTo(digest, sameZone)
	gossip.pendingPlacements = append(gossip.pendingPlacements, digest.Placements...)
	gossip.pendingPrograms = append(gossip.pendingPrograms, digest.Programs...)
	if otherZones == nil {
		return
	}
	totals := gossip.sumZoneTotals(digest)
	digest.Placements, digest.Programs, digest.Outcomes = gossip.pendingPlacements, gossip.pendingPrograms, nil
	fraction := gossip.totalsFraction()
	for zone, addresses := range otherZones {
		short := gossip.trimDigest(digest, zone)
		withTotals, withoutTotals := splitAtRandom(addresses, fraction)
		gossip.sendDigestTo(short, withoutTotals)
		short.Totals = totals
		gossip.sendDigestTo(short, withTotals)
		short.Totals = nil
	}
	gossip.pendingPlacements, gossip.pendingPrograms = nil, nil
}

// trimDigest returns a digest for another availability zone. Where there are many hosts,
// it leaves out the calls and placements at endpoints of other zones than that one. The usage
// of capped workspaces is never left out: a cap holds over all hosts.
func (gossip *Gossip) trimDigest(digest *Digest, zone string) *Digest {
	if gossip.hostCount() <= maxFullDigestHosts {
		return digest
	}
	short := &Digest{
		Host: digest.GetHost(), Incarnation: digest.GetIncarnation(), Zone: digest.GetZone(), Address: digest.GetAddress(),
		StateVersion: digest.GetStateVersion(), StoreReachable: digest.GetStoreReachable(), Leaving: digest.GetLeaving(),
		Programs: digest.GetPrograms(), Crashes: digest.GetCrashes(), Shares: digest.GetShares(),
		UsedWorkspaces: digest.GetUsedWorkspaces(), UsedCounts: digest.GetUsedCounts(), UsedRecent: digest.GetUsedRecent(),
		Settled: digest.GetSettled(),
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

// SendCrashes sends crashes to all hosts that are not silent, without waiting for the next
// digest.
func (gossip *Gossip) SendCrashes(crashes *Crashes) {
	addresses := gossip.liveAddresses()
	for some := range slices.Chunk(crashes.GetCrashes(), maxCrashesPerDatagram) {
		message := &Datagram{Message: &Datagram_Crashes{Crashes: &Crashes{Host: crashes.GetHost(), Crashes: some}}}
		for _, address := range addresses {
			gossip.sendTo(address, message)
		}
	}
}

func (gossip *Gossip) liveAddresses() []netip.AddrPort {
	now := gossip.clock.Now()
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	var addresses []netip.AddrPort
	for address, peer := range gossip.hosts {
		if !gossip.isSilent(now, peer) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

func (gossip *Gossip) hostCount() int {
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	return len(gossip.hosts)
}

func (gossip *Gossip) sendDigestTo(digest *Digest, addresses []netip.AddrPort) {
	if len(addresses) == 0 {
		return
	}
	encoded, err := proto.Marshal(&Datagram{Message: &Datagram_Digest{Digest: digest}})
	if err != nil {
		gossip.log.WithError(err).Warn("digest can't be sent")
		return
	}
	if len(encoded) > maxDatagramBytes {
		gossip.sendDigestInParts(digest, addresses)
		return
	}
	for _, address := range addresses {
		if _, err := gossip.conn.WriteToUDPAddrPort(encoded, address); err != nil {
			gossip.log.WithError(err).Debug("digest not sent")
		}
	}
}

func (gossip *Gossip) sendDigestInParts(digest *Digest, addresses []netip.AddrPort) {
	gossip.sequence++
	parts, omitted := splitDigest(digest, gossip.sequence, maxDatagramBytes)
	gossip.omitted.Add(int64(omitted))
	for i, part := range parts {
		if i > 0 {
			bvclock.Sleep(partInterval)
		}
		for _, address := range addresses {
			gossip.sendTo(address, &Datagram{Message: &Datagram_Digest{Digest: part}})
		}
	}
}

// Omitted returns the number of entries that were left out of digests since the start, because these
// would have had too many parts.
func (gossip *Gossip) Omitted() int64 { return gossip.omitted.Load() }

// Rejected returns the number of datagrams since the start that could not be read.
func (gossip *Gossip) Rejected() int64 { return gossip.rejections.count.Load() }

// dueHosts returns the hosts to which a digest is to be sent now. Those of other
// availability zones are grouped by zone; the map is nil until a digest to them is due.
func (gossip *Gossip) dueHosts() (sameZone []netip.AddrPort, otherZones map[string][]netip.AddrPort) {
	now := gossip.clock.Now()
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	crossZoneDue := now.Sub(gossip.crossZoneSentAt) >= gossip.crossZoneInterval()
	if crossZoneDue {
		gossip.crossZoneSentAt, otherZones = now, make(map[string][]netip.AddrPort)
	}
	for address, peer := range gossip.hosts {
		zone := peer.digest.GetZone()
		switch {
		case gossip.isSilent(now, peer) && now.Sub(peer.sentAt) < silentHostInterval:
			continue
		case peer.digest == nil || zone == gossip.zone:
			sameZone = append(sameZone, address)
		case crossZoneDue:
			otherZones[zone] = append(otherZones[zone], address)
		default:
			continue
		}
		peer.sentAt = now
	}
	return sameZone, otherZones
}

// crossZoneInterval returns the time between two digests to other availability zones. The
// caller holds the mutex.
func (gossip *Gossip) crossZoneInterval() bvclock.Duration {
	return max(minCrossZoneInterval, bvclock.Duration(len(gossip.hosts))*crossZoneIntervalPerHost)
}

// Handler handles the messages of other hosts.
type Handler interface {
	// HandleDigest handles a digest.
	HandleDigest(digest *Digest)
	// LendTokens deducts tokens of a program's budget here and lends them to the host at an
	// address. The caller sets the reply's number and program.
	LendTokens(host string, ask *Ask) *Lend
	// DecideClaim decides on a request of another host whose workspace is close to its
	// usage cap.
	DecideClaim(claim *Claim) *Claimed
	// KeepStart keeps a copy of another host's record of a stream's start. It returns nil if that
	// is invalid.
	KeepStart(start *StreamStart) *StreamCopy
	// FindStart returns what this host knows of a stream's start.
	FindStart(query *StreamQuery) *StreamFinding
	// HandleCrashes handles crashes that another host has just detected.
	HandleCrashes(crashes *Crashes)
	// AcceptTokens adds the tokens that another host lent.
	AcceptTokens(lend *Lend)
}

// Receive passes the messages of other hosts to the handler until the socket is closed.
func (gossip *Gossip) Receive(handler Handler) {
	buffer := make([]byte, maxDatagramBytes+1) // one that is longer is known as such
	for {
		count, from, err := gossip.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // a lack of memory, or an error of the network
			gossip.log.WithError(err).Warn("no datagram can be received now")
			bvclock.Sleep(receivePause)
			continue
		}
		if count > maxDatagramBytes {
			gossip.reject(from, errDatagramTooLong)
			continue
		}
		datagram := &Datagram{}
		if err := proto.Unmarshal(buffer[:count], datagram); err != nil {
			gossip.reject(from, err)
			continue
		}
		gossip.handleDatagram(datagram, from, handler)
	}
}

func (gossip *Gossip) handleDatagram(datagram *Datagram, from netip.AddrPort, handler Handler) {
	switch message := datagram.GetMessage().(type) {
	case *Datagram_Digest:
		if gossip.storeDigest(message.Digest) {
			handler.HandleDigest(message.Digest)
		}
	case *Datagram_Ask:
		gossip.handleAsk(from, message.Ask, handler)
	case *Datagram_Lend:
		gossip.handleLend(message.Lend, handler)
	case *Datagram_Probe:
		gossip.handleProbe(from, message.Probe, handler)
	case *Datagram_Counts:
		gossip.handleCounts(from, message.Counts)
	case *Datagram_Use:
		gossip.handleUse(from, message.Use)
	case *Datagram_Holding:
		gossip.handleHolding(message.Holding)
	case *Datagram_Crashes:
		handler.HandleCrashes(message.Crashes)
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

// storeDigest stores a digest of another host, or a part of one. It returns false if the digest is this
// host's own or is invalid.
func (gossip *Gossip) storeDigest(digest *Digest) bool {
	if digest.GetIncarnation() == gossip.self {
		return false
	}
	address, err := netip.ParseAddrPort(digest.GetAddress())
	if err == nil && !isValidPart(digest) {
		err = errInvalidPart
	}
	if err != nil {
		gossip.reject(address, err)
		return false
	}
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	peer := gossip.getOrAddPeer(address)
	peer.lastSeen = gossip.clock.Now()
	if peer.store(digest, gossip.silenceLimit(digest.GetZone())) {
		gossip.storeTotals(peer.lastSeen, peer.digest)
		gossip.tracker.setAll(peer.lastSeen, address, peer.digest.GetLoads())
	}
	return true
}
