package bvgossip

import (
	"fmt"
	"math"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"balsamvalve.example/bvclock"
)

const testTimeout = 10 * time.Second

// host is a Gossip on a socket, and a Handler that records what it receives.
type host struct {
	*Gossip
	address netip.AddrPort

	mutex    sync.Mutex
	received []*Digest
	crashes  []*Crash
	starts   []*StreamStart
	// keepsNone: it is of a build that does not know starts of streams
	keepsNone bool
	accepted  int
	lendable  int // tokens that this host can lend
	granting  bool
	decided   int // claims
	// undecided: its replies leave open whether it has more tokens
	undecided bool
}

// fakeEndpoints are the availability zones of endpoints. This host has no calls there.
type fakeEndpoints map[uint64]string

func (endpoints fakeEndpoints) ZoneOf(endpoint uint64) string { return endpoints[endpoint] }
func (endpoints fakeEndpoints) RunningAt(uint64) int          { return 0 }

func (host *host) HandleDigest(digest *Digest) {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	host.received = append(host.received, digest)
}

func (host *host) HandleCrashes(crashes *Crashes) {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	host.crashes = append(host.crashes, crashes.GetCrashes()...)
}

func (host *host) LendTokens(_ string, ask *Ask) *Lend {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	tokens := int(ask.GetTokens())
	if host.lendable < tokens && !ask.GetPartial() {
		return &Lend{Withheld: host.undecided}
	}
	lent := min(tokens, host.lendable)
	host.lendable -= lent
	return &Lend{Tokens: uint32(lent)}
}

func (host *host) AcceptTokens(lend *Lend) {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	host.accepted += int(lend.GetTokens())
}

func (host *host) DecideClaim(claim *Claim) *Claimed {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	host.decided++
	return &Claimed{Granted: host.granting, Wait: claim.GetCount()}
}

func (host *host) KeepStart(start *StreamStart) *StreamCopy {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	if host.keepsNone {
		return nil
	}
	host.starts = append(host.starts, start)
	return &StreamCopy{OriginFor: 7}
}

func (host *host) FindStart(query *StreamQuery) *StreamFinding {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	for _, start := range host.starts {
		if string(start.GetKey()) == string(query.GetKey()) {
			return &StreamFinding{Known: true, Start: start}
		}
	}
	return &StreamFinding{}
}

func (host *host) setLendable(tokens int) {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	host.lendable = tokens
}

func (host *host) digests() []*Digest {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	return slices.Clone(host.received)
}

func (host *host) acceptedTokens() int {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	return host.accepted
}

func newHost(t testing.TB, incarnation string, clock bvclock.Clock) *host {
	return newHostWith(t, incarnation, clock, fakeEndpoints{})
}

func newHostWith(t testing.TB, incarnation string, clock bvclock.Clock, endpoints Endpoints) *host {
	return newHostWithLog(t, incarnation, "z", clock, endpoints, silentLog())
}

func newHostInZone(t testing.TB, incarnation, zone string, clock bvclock.Clock) *host {
	return newHostWithLog(t, incarnation, zone, clock, fakeEndpoints{}, silentLog())
}

func silentLog() *logrus.Logger {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	return log
}

func newHostWithLog(t testing.TB, incarnation, zone string, clock bvclock.Clock, endpoints Endpoints, log logrus.FieldLogger) *host {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	host := &host{Gossip: New(incarnation, zone, conn, clock, log, endpoints), address: conn.LocalAddr().(*net.UDPAddr).AddrPort()}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		host.Receive(host)
	}()
	t.Cleanup(func() {
		_ = conn.Close()
		<-ended
	})
	return host
}

func (host *host) digest() *Digest {
	return &Digest{Host: host.self, Incarnation: host.self, Address: host.address.String(), Zone: host.zone}
}

// exchangeDigests makes both hosts peers by one digest each. No datagram is in flight
// afterwards.
func exchangeDigests(t testing.TB, a, b *host) {
	a.SetHosts([]netip.AddrPort{b.address})
	a.SendDigest(a.digest())
	require.Eventually(t, func() bool { return len(b.LivePeers()) == 1 }, testTimeout, time.Millisecond)
	b.SendDigest(b.digest())
	require.Eventually(t, func() bool { return len(a.LivePeers()) == 1 }, testTimeout, time.Millisecond)
}

// Guards against a new host that the others don't know until they read the platform's
// list.
func TestHostsLearnOfEachOtherByDigests(t *testing.T) {
	a, b := newHost(t, "a", bvclock.Boot()), newHost(t, "b", bvclock.Boot())
	exchangeDigests(t, a, b)
	require.Equal(t, "b", a.LivePeers()[0].GetHost())
}

// Guards against failed hosts whose calls still count, or to which requests are sent.
func TestSilentHostNoLongerCounts(t *testing.T) {
	clock := &bvclock.Manual{}
	clock.Advance(bvclock.Minute)
	a, b := newHost(t, "a", clock), newHost(t, "b", clock)
	exchangeDigests(t, a, b)
	clock.Advance(silenceTimeout + 1)
	require.Empty(t, a.LivePeers())
	reply, sent := a.RequestTokens(t.Context(), b.address, &Ask{Program: "p", Tokens: 10})
	require.False(t, sent)
	require.Nil(t, reply)
	_, found := a.AddressOfIncarnation("b")
	require.False(t, found)
}

func TestTokensAreLent(t *testing.T) {
	a, b := newHost(t, "a", bvclock.Boot()), newHost(t, "b", bvclock.Boot())
	exchangeDigests(t, a, b)
	b.setLendable(100)
	_, sent := a.RequestTokens(t.Context(), b.address, &Ask{Program: "p", Tokens: 60})
	require.True(t, sent)
	require.Eventually(t, func() bool { return a.acceptedTokens() == 60 }, testTimeout, time.Millisecond)
	_, sent = a.RequestTokens(t.Context(), b.address, &Ask{Program: "p", Tokens: 60, Partial: true})
	require.True(t, sent)
	require.Eventually(t, func() bool { return a.acceptedTokens() == 100 }, testTimeout, time.Millisecond)
}

// Guards against tokens that are added twice.
func TestDuplicateReplyCountsOnce(t *testing.T) {
	a := newHost(t, "a", bvclock.Boot())
	a.registerRequest(7)
	lend := &Lend{Number: 7, Program: "p", Tokens: 50}
	a.Gossip.handleLend(lend, a)
	a.Gossip.handleLend(lend, a)
	require.Equal(t, 50, a.acceptedTokens())
}

// Guards against tokens that are lost with a late reply.
func TestLateReplyIsAccepted(t *testing.T) {
	clock := &bvclock.Manual{}
	a := newHost(t, "a", clock)
	a.registerRequest(7)
	clock.Advance(lateReplyWindow)
	a.registerRequest(8)
	a.Gossip.handleLend(&Lend{Number: 7, Program: "p", Tokens: 50}, a)
	require.Equal(t, 50, a.acceptedTokens())
}

func TestOwnDigestsAndOtherBytesAreIgnored(t *testing.T) {
	a, b := newHost(t, "a", bvclock.Boot()), newHost(t, "b", bvclock.Boot())
	_, err := b.conn.WriteToUDPAddrPort([]byte("no digest"), a.address)
	require.NoError(t, err)
	require.False(t, a.storeDigest(a.digest()))
	exchangeDigests(t, a, b)
	require.Len(t, a.LivePeers(), 1)
}

// Guards against a program's row whose incarnations can't be mapped to addresses.
func TestIncarnationOfAPeerHasAnAddress(t *testing.T) {
	a, b := newHost(t, "a", bvclock.Boot()), newHost(t, "b", bvclock.Boot())
	exchangeDigests(t, a, b)
	address, found := a.AddressOfIncarnation("b")
	require.True(t, found)
	require.Equal(t, b.address, address)
}

// Guards against events between two digests that are never sent to other zones.
func TestOtherZonesGetDigestsLessOftenWithoutLoss(t *testing.T) {
	clock := &bvclock.Manual{}
	clock.Advance(bvclock.Minute)
	a, b := newHost(t, "a", clock), newHostInZone(t, "b", "other", clock)
	exchangeDigests(t, a, b)
	for part := range uint64(4) {
		clock.Advance(minCrossZoneInterval / 4)
		digest := a.digest()
		digest.Placements = []*Placement{{Endpoint: 1, Part: part, Tokens: 10}}
		a.SendDigest(digest)
	}
	require.Eventually(t, func() bool { return len(b.digests()) == 2 }, testTimeout, time.Millisecond)
	require.Len(t, b.digests()[1].GetPlacements(), 4)
	require.Empty(t, a.pendingPlacements)
	clock.Advance(minCrossZoneInterval - 1)
	a.SendDigest(a.digest())
	sameZone, otherZones := a.dueHosts()
	require.Empty(t, sameZone)
	require.Nil(t, otherZones, "too early")
	clock.Advance(1)
	a.SendDigest(a.digest())
	require.Eventually(t, func() bool { return len(b.digests()) == 3 }, testTimeout, time.Millisecond)
}

// Guards against digests that grow with the number of hosts and are of little use.
func TestManyHostsSendOtherZonesOnlyTheirEndpoints(t *testing.T) {
	clock := &bvclock.Manual{}
	clock.Advance(bvclock.Minute)
	a, b := newHostWith(t, "a", clock, fakeEndpoints{1: "z", 2: "other"}), newHostInZone(t, "b", "other", clock)
	exchangeDigests(t, a, b)
	a.mutex.Lock()
	for i := range maxFullDigestHosts {
		a.getOrAddPeer(netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 9, 9, byte(i)}), 9)).sentAt = clock.Now()
	}
	a.mutex.Unlock()
	clock.Advance(a.crossZoneInterval())
	digest := a.digest()
	for endpoint := range uint64(3) {
		digest.Loads = append(digest.Loads, &Load{Endpoint: endpoint, Running: 1})
		digest.Placements = append(digest.Placements, &Placement{Endpoint: endpoint, Part: 7, Tokens: 10})
	}
	a.SendDigest(digest)
	require.Eventually(t, func() bool { return len(b.digests()) == 2 }, testTimeout, time.Millisecond)
	last := b.digests()[1]
	require.Len(t, last.GetLoads(), 1)
	require.Equal(t, uint64(2), last.GetLoads()[0].GetEndpoint())
	require.Len(t, last.GetPlacements(), 1)
	require.Equal(t, "a", last.GetIncarnation())
}

// Guards against work of workspaces that is unknown in other zones where there are many hosts.
func TestManyHostsSendOtherZonesTheirShares(t *testing.T) {
	host := newHostWithManyPeers(t, &bvclock.Manual{})
	digest := &Digest{Shares: []*Share{{Workspace: 7, Asked: 2, Used: 1}}}
	require.Equal(t, digest.GetShares(), host.trimDigest(digest, "other").GetShares())
}

// Guards against a host that counts as silent between two of its digests.
func TestHostsOfOtherZonesAreGivenLongerWhereThereAreMany(t *testing.T) {
	clock := &bvclock.Manual{}
	clock.Advance(bvclock.Minute)
	a, b := newHost(t, "a", clock), newHostInZone(t, "b", "other", clock)
	exchangeDigests(t, a, b)
	a.mutex.Lock()
	for i := range 600 {
		a.getOrAddPeer(netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 9, byte(i / 250), byte(i % 250)}), 9))
	}
	a.mutex.Unlock()
	clock.Advance(a.crossZoneInterval() + bvclock.Second)
	require.Greater(t, a.crossZoneInterval()+bvclock.Second, silenceTimeout)
	require.Len(t, a.LivePeers(), 1)
}

// Guards against replaced hosts that are never removed.
func TestReplacedHostsAreRemoved(t *testing.T) {
	clock := &bvclock.Manual{}
	clock.Advance(bvclock.Minute)
	a, b := newHost(t, "a", clock), newHost(t, "b", clock)
	exchangeDigests(t, a, b)
	a.SetHosts(nil)
	require.Len(t, a.LivePeers(), 1, "b is not silent, though not listed")
	require.Less(t, a.SilentFor(b.address, 0), bvclock.Second)
	clock.Advance(bvclock.Minute)
	require.Equal(t, bvclock.Minute, a.SilentFor(b.address, 0))
	a.SetHosts([]netip.AddrPort{b.address})
	require.Equal(t, 1, a.hostCount())
	a.SetHosts(nil)
	require.Zero(t, a.hostCount())
}

// Guards against digests that overload the hosts of a large fleet.
func TestIntervalGrowsWithTheNumberOfHosts(t *testing.T) {
	a := newHost(t, "a", bvclock.Boot())
	require.Equal(t, minInterval, a.Interval())
	addresses := make([]netip.AddrPort, 730)
	for i := range addresses {
		addresses[i] = netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:7000", i/200, i%200+1))
	}
	a.SetHosts(addresses)
	require.Equal(t, 730*intervalPerHost, a.Interval())
}

// BenchmarkDigest measures one digest with eight calls and eight placements: encoding it,
// and decoding it at one host.
func BenchmarkDigest(b *testing.B) {
	digest := &Digest{Host: "edge-piran-hall-1", Incarnation: "0123456789abcdef", Zone: "piran-hall", Address: "10.1.0.38:7380"}
	for i := range uint64(8) {
		digest.Loads = append(digest.Loads, &Load{Endpoint: i << 56, Running: 1})
		digest.Placements = append(digest.Placements, &Placement{Endpoint: i << 56, Part: i << 40, Tokens: 840})
	}
	encoded, err := proto.Marshal(&Datagram{Message: &Datagram_Digest{Digest: digest}})
	require.NoError(b, err)
	for b.Loop() {
		if _, err := proto.Marshal(&Datagram{Message: &Datagram_Digest{Digest: digest}}); err != nil {
			b.Fatal(err)
		}
		if err := proto.Unmarshal(encoded, &Datagram{}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(encoded)), "bytes/digest")
}

// Guards against a restarted grantor whose reply counts as a refusal.
func TestUndecidedReplyCountsAsUnanswered(t *testing.T) {
	a, b := newHost(t, "a", bvclock.Boot()), newHost(t, "b", bvclock.Boot())
	exchangeDigests(t, a, b)
	b.mutex.Lock()
	b.undecided = true
	b.mutex.Unlock()
	require.Eventually(t, func() bool {
		reply, sent := a.RequestTokens(t.Context(), b.address, &Ask{Program: "p", Tokens: 10})
		return sent && reply.GetWithheld()
	}, testTimeout, time.Millisecond)
}

// Guards against hosts that count as silent where intervals between digests are long.
func TestHostsAreNotSilentBetweenTwoDigests(t *testing.T) {
	clock := &bvclock.Manual{}
	gossip := newHost(t, "a", clock).Gossip
	for i := range 730 {
		gossip.hosts[netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i % 250)}), 7380)] = &peer{}
	}
	sameZone, otherZone := &peer{digest: &Digest{Zone: gossip.zone}}, &peer{digest: &Digest{Zone: "other"}}
	clock.Advance(2 * gossip.Interval())
	require.False(t, gossip.isSilent(clock.Now(), sameZone))
	clock.Advance(2 * gossip.Interval())
	require.True(t, gossip.isSilent(clock.Now(), sameZone))
	require.False(t, gossip.isSilent(clock.Now(), otherZone))
}

// Guards against a crash that hosts of other zones learn of with the next digest only.
func TestCrashesAreSentToAllHostsAtOnce(t *testing.T) {
	a, b := newHost(t, "a", bvclock.Boot()), newHost(t, "b", bvclock.Boot())
	exchangeDigests(t, a, b)
	a.SendCrashes(&Crashes{Host: "a", Crashes: []*Crash{{Request: 7, Endpoint: 1}}})
	require.Eventually(t, func() bool {
		b.mutex.Lock()
		defer b.mutex.Unlock()
		return len(b.crashes) == 1 && b.crashes[0].GetRequest() == 7
	}, testTimeout, time.Millisecond)
}

// Guards against crashes of a popular part that are lost because they do not fit into one datagram.
func TestManyCrashesArriveAtOtherHosts(t *testing.T) {
	const count = 3 * maxCrashesPerDatagram
	a, b := newHost(t, "a", bvclock.Boot()), newHost(t, "b", bvclock.Boot())
	exchangeDigests(t, a, b)
	message := &Crashes{Host: "a"}
	for i := range count {
		message.Crashes = append(message.Crashes, &Crash{
			Request: 1 << 60, Endpoint: uint64(i), AnyQuery: 1 << 60, Age: math.MaxUint32, Withdrawn: true, OtherQuery: true,
			Exclusive: true, Feature: 3,
		})
	}
	a.SendCrashes(message)
	require.Eventually(t, func() bool {
		b.mutex.Lock()
		defer b.mutex.Unlock()
		return len(b.crashes) == count
	}, testTimeout, time.Millisecond)
}
