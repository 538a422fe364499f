package bvgossip

import (
	"fmt"
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

// host is a Gossip on a socket, with what its handler got.
type host struct {
	*Gossip
	address netip.AddrPort

	mutex sync.Mutex
	heard []*Digest
	lent  int
	holds int // tokens that it can lend
	grant bool
	// withholds: it may have more, but can't say so
	withholds bool
}

// fakeEndpoints are the availability zones of endpoints. This host has no calls there.
type fakeEndpoints map[uint64]string

func (endpoints fakeEndpoints) ZoneOf(endpoint uint64) string { return endpoints[endpoint] }
func (endpoints fakeEndpoints) RunningAt(uint64) int          { return 0 }

func (host *host) HandleDigest(digest *Digest) {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	host.heard = append(host.heard, digest)
}

func (host *host) LendTokens(_ string, ask *Ask) *Lend {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	tokens := int(ask.GetTokens())
	if host.holds < tokens && !ask.GetPartial() {
		return &Lend{Withheld: host.withholds}
	}
	lent := min(tokens, host.holds)
	host.holds -= lent
	return &Lend{Tokens: uint32(lent)}
}

func (host *host) AcceptTokens(_ string, tokens int, _ []string) {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	host.lent += tokens
}

func (host *host) DecideClaim(claim *Claim) *Claimed {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	return &Claimed{Granted: host.grant, Wait: claim.GetCount()}
}

func (host *host) hold(tokens int) {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	host.holds = tokens
}

func (host *host) digests() []*Digest {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	return slices.Clone(host.heard)
}

func (host *host) tokens() int {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	return host.lent
}

func newHost(t testing.TB, incarnation string, clock bvclock.Clock) *host {
	return newHostWith(t, incarnation, clock, fakeEndpoints{})
}

func newHostWith(t testing.TB, incarnation string, clock bvclock.Clock, endpoints Endpoints) *host {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	host := &host{Gossip: New(incarnation, "z", conn, clock, log, endpoints), address: conn.LocalAddr().(*net.UDPAddr).AddrPort()}
	ended := make(chan error, 1)
	go func() { ended <- host.Receive(host) }()
	t.Cleanup(func() {
		_ = conn.Close()
		require.NoError(t, <-ended)
	})
	return host
}

func (host *host) digest() *Digest {
	return &Digest{Host: host.self, Incarnation: host.self, Address: host.address.String(), Zone: host.zone}
}

// meet makes both hosts hear of each other, by one digest each: none is under
// way afterwards.
func meet(t testing.TB, a, b *host) {
	a.SetHosts([]netip.AddrPort{b.address})
	a.SendDigest(a.digest())
	require.Eventually(t, func() bool { return len(b.LivePeers()) == 1 }, testTimeout, time.Millisecond)
	b.SendDigest(b.digest())
	require.Eventually(t, func() bool { return len(a.LivePeers()) == 1 }, testTimeout, time.Millisecond)
}

// Guards against a new host that the others don't know until they read the list.
func TestHostsLearnOfEachOtherByDigests(t *testing.T) {
	a, b := newHost(t, "a", bvclock.Boot()), newHost(t, "b", bvclock.Boot())
	meet(t, a, b)
	require.Equal(t, "b", a.LivePeers()[0].GetHost())
}

// A host dies. Its calls stop counting soon, and it is asked for nothing.
func TestSilentHostNoLongerCounts(t *testing.T) {
	clock := &bvclock.Manual{}
	clock.Advance(bvclock.Minute)
	a, b := newHost(t, "a", clock), newHost(t, "b", clock)
	meet(t, a, b)
	clock.Advance(silentAfter + 1)
	require.Empty(t, a.LivePeers())
	asked, answered := a.RequestTokens(t.Context(), b.address, &Ask{Program: "p", Tokens: 10})
	require.False(t, asked)
	require.False(t, answered)
	_, heard := a.AddressOfIncarnation("b")
	require.False(t, heard)
}

func TestTokensAreLent(t *testing.T) {
	a, b := newHost(t, "a", bvclock.Boot()), newHost(t, "b", bvclock.Boot())
	meet(t, a, b)
	b.hold(100)
	asked, _ := a.RequestTokens(t.Context(), b.address, &Ask{Program: "p", Tokens: 60})
	require.True(t, asked)
	require.Eventually(t, func() bool { return a.tokens() == 60 }, testTimeout, time.Millisecond)
	asked, _ = a.RequestTokens(t.Context(), b.address, &Ask{Program: "p", Tokens: 60, Partial: true})
	require.True(t, asked)
	require.Eventually(t, func() bool { return a.tokens() == 100 }, testTimeout, time.Millisecond)
}

// Guards against tokens that are taken in twice.
func TestAnswerThatComesTwiceCountsOnce(t *testing.T) {
	a := newHost(t, "a", bvclock.Boot())
	a.begin(7)
	answer := &Lend{Number: 7, Program: "p", Tokens: 50}
	a.Gossip.lent(answer, a)
	a.Gossip.lent(answer, a)
	require.Equal(t, 50, a.tokens())
}

// Guards against tokens that are lost with a late answer.
func TestLateAnswerIsTakenIn(t *testing.T) {
	clock := &bvclock.Manual{}
	a := newHost(t, "a", clock)
	a.begin(7)
	clock.Advance(askMemory)
	a.begin(8)
	a.Gossip.lent(&Lend{Number: 7, Program: "p", Tokens: 50}, a)
	require.Equal(t, 50, a.tokens())
}

func TestOwnDigestsAndOtherBytesAreIgnored(t *testing.T) {
	a, b := newHost(t, "a", bvclock.Boot()), newHost(t, "b", bvclock.Boot())
	_, err := b.conn.WriteToUDPAddrPort([]byte("no digest"), a.address)
	require.NoError(t, err)
	require.False(t, a.note(a.digest()))
	meet(t, a, b)
	require.Len(t, a.LivePeers(), 1)
}

// A program's row names an incarnation, which must be found at its address.
func TestIncarnationThatIsHeardHasAnAddress(t *testing.T) {
	a, b := newHost(t, "a", bvclock.Boot()), newHost(t, "b", bvclock.Boot())
	meet(t, a, b)
	address, heard := a.AddressOfIncarnation("b")
	require.True(t, heard)
	require.Equal(t, b.address, address)
}

// Guards against events between two digests that other zones never hear of.
func TestOtherZonesAreToldLessOftenAndNothingIsLost(t *testing.T) {
	clock := &bvclock.Manual{}
	clock.Advance(bvclock.Minute)
	a, b := newHost(t, "a", clock), newHost(t, "b", clock)
	b.zone = "other"
	meet(t, a, b)
	for part := range uint64(4) {
		clock.Advance(farInterval / 4)
		digest := a.digest()
		digest.Placements = []*Placement{{Endpoint: 1, Part: part, Tokens: 10}}
		a.SendDigest(digest)
	}
	require.Eventually(t, func() bool { return len(b.digests()) == 2 }, testTimeout, time.Millisecond)
	require.Len(t, b.digests()[1].GetPlacements(), 4)
	require.Empty(t, a.placements)
	clock.Advance(farInterval - 1)
	a.SendDigest(a.digest())
	near, far := a.due()
	require.Empty(t, near)
	require.Nil(t, far, "too early")
	clock.Advance(1)
	a.SendDigest(a.digest())
	require.Eventually(t, func() bool { return len(b.digests()) == 3 }, testTimeout, time.Millisecond)
}

// Guards against bytes that grow with the number of hosts and are of little use.
func TestManyHostsTellOtherZonesOfTheirEndpointsOnly(t *testing.T) {
	clock := &bvclock.Manual{}
	clock.Advance(bvclock.Minute)
	a, b := newHostWith(t, "a", clock, fakeEndpoints{1: "z", 2: "other"}), newHost(t, "b", clock)
	b.zone = "other"
	meet(t, a, b)
	a.mutex.Lock()
	for i := range fullHosts {
		a.peer(netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 9, 9, byte(i)}), 9)).triedAt = clock.Now()
	}
	a.mutex.Unlock()
	clock.Advance(a.farPause())
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

// Guards against a host that counts as dead between two of its digests.
func TestHostsOfOtherZonesAreGivenLongerWhereThereAreMany(t *testing.T) {
	clock := &bvclock.Manual{}
	clock.Advance(bvclock.Minute)
	a, b := newHost(t, "a", clock), newHost(t, "b", clock)
	b.zone = "other"
	meet(t, a, b)
	a.mutex.Lock()
	for i := range 600 {
		a.peer(netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 9, byte(i / 250), byte(i % 250)}), 9))
	}
	a.mutex.Unlock()
	clock.Advance(a.farPause() + bvclock.Second)
	require.Greater(t, a.farPause()+bvclock.Second, silentAfter)
	require.Len(t, a.LivePeers(), 1)
}

// Guards against replaced hosts that are counted for ever.
func TestReplacedHostsAreForgotten(t *testing.T) {
	clock := &bvclock.Manual{}
	clock.Advance(bvclock.Minute)
	a, b := newHost(t, "a", clock), newHost(t, "b", clock)
	meet(t, a, b)
	a.SetHosts(nil)
	require.Len(t, a.LivePeers(), 1, "b is heard, though not listed")
	require.Less(t, a.SilentFor(b.address, 0), bvclock.Second)
	clock.Advance(bvclock.Minute)
	require.Equal(t, bvclock.Minute, a.SilentFor(b.address, 0))
	a.SetHosts([]netip.AddrPort{b.address})
	require.Equal(t, 1, a.size())
	a.SetHosts(nil)
	require.Zero(t, a.size())
}

// Many hosts must not drown each other in digests.
func TestIntervalGrowsWithTheNumberOfHosts(t *testing.T) {
	a := newHost(t, "a", bvclock.Boot())
	require.Equal(t, leastInterval, a.Interval())
	addresses := make([]netip.AddrPort, 730)
	for i := range addresses {
		addresses[i] = netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:7000", i/200, i%200+1))
	}
	a.SetHosts(addresses)
	require.Equal(t, 730*perHost, a.Interval())
}

// BenchmarkDigest is the cost of one digest with eight calls and as many
// placements, sent to one host and taken in there.
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

// Guards against a restarted grantor whose answer counts as a no.
func TestHostThatWithholdsHasNotAnswered(t *testing.T) {
	a, b := newHost(t, "a", bvclock.Boot()), newHost(t, "b", bvclock.Boot())
	meet(t, a, b)
	b.mutex.Lock()
	b.withholds = true
	b.mutex.Unlock()
	require.Eventually(t, func() bool {
		asked, answered := a.RequestTokens(t.Context(), b.address, &Ask{Program: "p", Tokens: 10})
		return asked && !answered
	}, testTimeout, time.Millisecond)
}

// Guards against hosts that count as silent where digests are rare.
func TestHostsAreNotSilentBetweenTwoDigests(t *testing.T) {
	clock := &bvclock.Manual{}
	gossip := newHost(t, "a", clock).Gossip
	for i := range 730 {
		gossip.hosts[netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i % 250)}), 7380)] = &peer{}
	}
	near, far := &peer{digest: &Digest{Zone: gossip.zone}}, &peer{digest: &Digest{Zone: "other"}}
	clock.Advance(2 * gossip.Interval())
	require.False(t, gossip.isSilent(clock.Now(), near))
	clock.Advance(2 * gossip.Interval())
	require.True(t, gossip.isSilent(clock.Now(), near))
	require.False(t, gossip.isSilent(clock.Now(), far))
}
