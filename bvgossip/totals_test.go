package bvgossip

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
)

// endpointsByParity are endpoints whose availability zone follows from the parity of
// their number.
type endpointsByParity struct{}

func (endpointsByParity) ZoneOf(endpoint uint64) string { return []string{"z", "other"}[endpoint%2] }
func (endpointsByParity) RunningAt(uint64) int          { return 0 }

// newHostWithManyPeers returns a host with more peers than maxFullDigestHosts.
func newHostWithManyPeers(t *testing.T, clock bvclock.Clock) *host {
	host := newHostWith(t, "a", clock, endpointsByParity{})
	addresses := make([]netip.AddrPort, maxFullDigestHosts+1)
	for i := range addresses {
		addresses[i] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 9, 9, byte(i)}), 9)
	}
	host.SetHosts(addresses)
	return host
}

// Guards against an engine of another zone that looks idle.
func TestCallsOfOtherZonesHostsAreKnownFromTotals(t *testing.T) {
	clock := &bvclock.Manual{}
	clock.Advance(bvclock.Minute)
	host := newHostWithManyPeers(t, clock)
	own := host.digest()
	own.Loads = []*Load{{Endpoint: 1, Running: 2}}
	require.True(t, host.storeDigest(&Digest{Address: "127.9.9.1:9", Incarnation: "mate", Zone: "z", Loads: []*Load{{Endpoint: 1, Running: 1}}}))
	require.Equal(t, map[uint64]int{1: 1}, host.PeerLoads(own))
	require.True(t, host.storeDigest(&Digest{Address: "127.9.9.2:9", Incarnation: "far", Zone: "other", Totals: []*Load{{Endpoint: 1, Running: 9}}}))
	require.Equal(t, map[uint64]int{1: 7}, host.PeerLoads(own), "nine, of which two are this host's")
	clock.Advance(max(silenceTimeout, silenceIntervals*host.crossZoneInterval()) + 1)
	require.Empty(t, host.PeerLoads(own))
}

// Guards against totals that expire before the next ones arrive.
func TestTotalsCountUntilTheNextOnesAreDue(t *testing.T) {
	clock := &bvclock.Manual{}
	clock.Advance(bvclock.Minute)
	host := newHostWithManyPeers(t, clock)
	addresses := make([]netip.AddrPort, 730)
	for i := range addresses {
		addresses[i] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 9, byte(i / 250), byte(i % 250)}), 9)
	}
	host.SetHosts(addresses)
	require.True(t, host.storeDigest(&Digest{Address: "127.9.1.2:9", Incarnation: "far", Zone: "other", Totals: []*Load{{Endpoint: 1, Running: 9}}}))
	clock.Advance(host.crossZoneInterval() + bvclock.Second)
	require.Equal(t, map[uint64]int{1: 9}, host.PeerLoads(host.digest()))
}

func TestTotalsAreOfTheZonesOwnEndpoints(t *testing.T) {
	clock := &bvclock.Manual{}
	clock.Advance(bvclock.Minute)
	host := newHostWithManyPeers(t, clock)
	own := host.digest()
	own.Loads = []*Load{{Endpoint: 2, Running: 2}, {Endpoint: 1, Running: 5}}
	require.True(t, host.storeDigest(&Digest{Address: "127.9.9.1:9", Incarnation: "mate", Zone: "z", Loads: []*Load{{Endpoint: 2, Running: 3}}}))
	totals := host.sumZoneTotals(own)
	require.Len(t, totals, 1)
	require.Equal(t, uint64(2), totals[0].GetEndpoint())
	require.Equal(t, uint32(5), totals[0].GetRunning())
}

// Guards against totals where digests contain all calls anyway.
func TestFewHostsSendNoTotals(t *testing.T) {
	host := newHost(t, "a", bvclock.Boot())
	own := host.digest()
	own.Loads = []*Load{{Endpoint: 2, Running: 2}}
	require.Nil(t, host.sumZoneTotals(own))
}

// Guards against totals that too few or too many hosts send.
func TestFractionOfHostsThatAreSentTotals(t *testing.T) {
	clock := &bvclock.Manual{}
	clock.Advance(bvclock.Minute)
	host := newHostWithManyPeers(t, clock)
	require.Equal(t, 1.0, host.totalsFraction())
	for i := range byte(29) {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 9, 9, i}), 9).String()
		require.True(t, host.storeDigest(&Digest{Address: address, Incarnation: address, Zone: "z"}))
	}
	require.InDelta(t, totalsSenders/30.0, host.totalsFraction(), 1e-9)
	drawn, rest := splitAtRandom(make([]netip.AddrPort, 1000), host.totalsFraction())
	require.InDelta(t, 100, len(drawn), 50)
	require.Equal(t, 1000, len(drawn)+len(rest))
}

// fullDigest returns a digest in which all fields are set.
func fullDigest() *Digest {
	return &Digest{
		Host: "h", Incarnation: "i", Zone: "z", Address: "a", StateVersion: 1, StoreReachable: true, Leaving: true,
		Loads: []*Load{{}}, Placements: []*Placement{{}}, Programs: []uint64{1}, Crashes: []*Crash{{}}, Outcomes: []*Outcome{{}},
		Totals: []*Load{{}}, UsedWorkspaces: []uint32{1}, UsedCounts: []uint32{1}, UsedRecent: []uint32{1}, Settled: true, Shares: []*Share{{}},
		Sequence: 1, Part: 1, Parts: 2,
	}
}

// zoneOne lists all endpoints in zone one.
type zoneOne struct{ fakeEndpoints }

func (zoneOne) ZoneOf(uint64) string { return "one" }

// Guards against a field of digests that hosts of other zones never get where there are many hosts.
func TestManyHostsSendOtherZonesAllFieldsButOutcomes(t *testing.T) {
	host := newHostWithManyPeers(t, &bvclock.Manual{})
	host.endpoints = zoneOne{}
	digest := fullDigest()
	trimmed := host.trimDigest(digest, "one").ProtoReflect()
	fields := trimmed.Descriptor().Fields()
	for number := range fields.Len() {
		field := fields.Get(number)
		require.True(t, digest.ProtoReflect().Has(field), "the test sets %s", field.Name())
		ownZoneOnly := field.Name() == "outcomes" || field.Name() == "totals" // totals are added for some hosts
		setLater := field.Name() == "sequence" || field.Name() == "part" || field.Name() == "parts"
		require.Equal(t, !ownZoneOnly && !setLater, trimmed.Has(field), "%s", field.Name())
	}
}
