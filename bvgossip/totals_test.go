package bvgossip

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
)

// zoned are endpoints whose availability zone is told by their number.
type zoned struct{}

func (zoned) ZoneOf(endpoint uint64) string { return []string{"z", "other"}[endpoint%2] }
func (zoned) RunningAt(uint64) int          { return 0 }

// crowdOf makes a host that knows many others.
func crowdOf(t *testing.T, clock bvclock.Clock) *host {
	host := newHostWith(t, "a", clock, zoned{})
	addresses := make([]netip.AddrPort, fullHosts+1)
	for i := range addresses {
		addresses[i] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 9, 9, byte(i)}), 9)
	}
	host.SetHosts(addresses)
	return host
}

// Guards against an engine of another zone that looks idle.
func TestCallsOfOtherZonesHostsAreKnownByTheirTotals(t *testing.T) {
	clock := &bvclock.Manual{}
	clock.Advance(bvclock.Minute)
	host := crowdOf(t, clock)
	own := host.digest()
	own.Loads = []*Load{{Endpoint: 1, Running: 2}}
	require.True(t, host.note(&Digest{Address: "127.9.9.1:9", Incarnation: "mate", Zone: "z", Loads: []*Load{{Endpoint: 1, Running: 1}}}))
	require.Equal(t, map[uint64]int{1: 1}, host.PeerLoads(own))
	require.True(t, host.note(&Digest{Address: "127.9.9.2:9", Incarnation: "far", Zone: "other", Totals: []*Load{{Endpoint: 1, Running: 9}}}))
	require.Equal(t, map[uint64]int{1: 7}, host.PeerLoads(own), "nine, of which two are this host's")
	clock.Advance(max(silentAfter, silentPauses*host.farPause()) + 1)
	require.Empty(t, host.PeerLoads(own))
}

// Guards against totals that end before the next ones come.
func TestTotalsCountUntilTheNextOnesAreDue(t *testing.T) {
	clock := &bvclock.Manual{}
	clock.Advance(bvclock.Minute)
	host := crowdOf(t, clock)
	addresses := make([]netip.AddrPort, 730)
	for i := range addresses {
		addresses[i] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 9, byte(i / 250), byte(i % 250)}), 9)
	}
	host.SetHosts(addresses)
	require.True(t, host.note(&Digest{Address: "127.9.1.2:9", Incarnation: "far", Zone: "other", Totals: []*Load{{Endpoint: 1, Running: 9}}}))
	clock.Advance(host.farPause() + bvclock.Second)
	require.Equal(t, map[uint64]int{1: 9}, host.PeerLoads(host.digest()))
}

func TestTotalsAreOfTheZonesOwnEndpoints(t *testing.T) {
	clock := &bvclock.Manual{}
	clock.Advance(bvclock.Minute)
	host := crowdOf(t, clock)
	own := host.digest()
	own.Loads = []*Load{{Endpoint: 2, Running: 2}, {Endpoint: 1, Running: 5}}
	require.True(t, host.note(&Digest{Address: "127.9.9.1:9", Incarnation: "mate", Zone: "z", Loads: []*Load{{Endpoint: 2, Running: 3}}}))
	totals := host.totals(own)
	require.Len(t, totals, 1)
	require.Equal(t, uint64(2), totals[0].GetEndpoint())
	require.Equal(t, uint32(5), totals[0].GetRunning())
}

// Guards against totals where each host hears all others anyway.
func TestFewHostsTellNoTotals(t *testing.T) {
	host := newHost(t, "a", bvclock.Boot())
	own := host.digest()
	own.Loads = []*Load{{Endpoint: 2, Running: 2}}
	require.Nil(t, host.totals(own))
}

// Guards against totals that too few or too many hosts tell.
func TestShareOfHostsThatAreToldTotals(t *testing.T) {
	clock := &bvclock.Manual{}
	clock.Advance(bvclock.Minute)
	host := crowdOf(t, clock)
	require.Equal(t, 1.0, host.totalsShare())
	for i := range byte(29) {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 9, 9, i}), 9).String()
		require.True(t, host.note(&Digest{Address: address, Incarnation: address, Zone: "z"}))
	}
	require.InDelta(t, totalsCopies/30.0, host.totalsShare(), 1e-9)
	drawn, rest := split(make([]netip.AddrPort, 1000), host.totalsShare())
	require.InDelta(t, 100, len(drawn), 50)
	require.Equal(t, 1000, len(drawn)+len(rest))
}
