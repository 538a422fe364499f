package bvgossip

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"balsamvalve.example/bvclock"
)

// newStreamHosts returns a host that knows some other hosts, each in one of three zones.
func newStreamHosts(t *testing.T, others int) (asker *host, hosts []*host) {
	clock := &bvclock.Manual{}
	clock.Advance(bvclock.Minute)
	asker = newHost(t, "asker", clock)
	for number := range others {
		other := newHostInZone(t, fmt.Sprint("host-", number), fmt.Sprint("z", number%3), clock)
		hosts = append(hosts, other)
		require.True(t, asker.storeDigest(other.digest()))
	}
	asker.updateTrackers()
	return asker, hosts
}

// holdersOf returns the hosts that keep a copy of a start.
func holdersOf(hosts []*host) (holders []*host) {
	for _, host := range hosts {
		host.mutex.Lock()
		if len(host.starts) > 0 {
			holders = append(holders, host)
		}
		host.mutex.Unlock()
	}
	return holders
}

// sendStart sends a start until all copies are kept: a host may answer late on a busy machine.
func sendStart(t *testing.T, asker *host, start *StreamStart) []*StreamCopy {
	t.Helper()
	var replies []*StreamCopy
	require.Eventually(t, func() bool {
		asker.mutex.Lock()
		clear(asker.backoffUntil)
		asker.mutex.Unlock()
		replies = asker.SendStart(3, start)
		return len(replies) == startCopies
	}, testTimeout, time.Millisecond)
	return replies
}

func TestStartIsCopiedToDifferentZones(t *testing.T) {
	asker, hosts := newStreamHosts(t, 9)
	replies := sendStart(t, asker, &StreamStart{Key: []byte("k")})
	require.Equal(t, uint32(7), replies[0].GetOriginFor())
	zones := make(map[string]bool)
	for _, holder := range holdersOf(hosts) {
		zones[holder.zone] = true
	}
	require.Len(t, zones, 3)
}

// Guards against a start with fewer copies because a host was lost a moment before.
func TestHostThatKeepsNoCopyIsReplaced(t *testing.T) {
	asker, hosts := newStreamHosts(t, 5)
	order, _ := asker.streamHolders(3, 60, isNotLeaving)
	lost := slices.IndexFunc(hosts, func(host *host) bool { return host.address == order[0] })
	require.NoError(t, hosts[lost].conn.Close())
	sendStart(t, asker, &StreamStart{Key: []byte("k")})
	require.GreaterOrEqual(t, len(holdersOf(hosts)), startCopies)
	require.NotContains(t, holdersOf(hosts), hosts[lost])
}

func TestAllHostsOfASmallFleetAreAskedForAStart(t *testing.T) {
	asker, hosts := newStreamHosts(t, 12)
	hosts[7].KeepStart(&StreamStart{Key: []byte("k"), Version: "v1"})
	replies, asked := asker.QueryStream(3, &StreamQuery{Key: []byte("k")})
	require.GreaterOrEqual(t, asked, 12)
	require.LessOrEqual(t, len(replies), 12)
	for _, reply := range replies {
		require.Equal(t, reply.Host == "host-7", reply.Start.GetKnown())
	}
}

// Guards against a search that asks each of hundreds of hosts.
func TestFewHostsOfALargeFleetAreAskedForAStart(t *testing.T) {
	asker, hosts := newStreamHosts(t, 60)
	sendStart(t, asker, &StreamStart{Key: []byte("k")})
	order, _ := asker.streamHolders(3, 60, isNotLeaving)
	require.Len(t, order, 60)
	for _, holder := range holdersOf(hosts) {
		require.Contains(t, order[:maxStreamQueries], holder.address)
	}
	_, asked := asker.QueryStream(3, &StreamQuery{Key: []byte("other")})
	require.LessOrEqual(t, asked, maxStreamQueries)
}

// Guards against a start that only a host knows which recently did not reply.
func TestHostThatDidNotReplyIsAskedLast(t *testing.T) {
	asker, hosts := newStreamHosts(t, 3)
	hosts[1].KeepStart(&StreamStart{Key: []byte("k")})
	require.Eventually(t, func() bool {
		asker.mutex.Lock()
		asker.backoffUntil = map[netip.AddrPort]bvclock.Time{hosts[1].address: asker.clock.Now().Add(trackerBackoff)}
		asker.mutex.Unlock()
		replies, asked := asker.QueryStream(3, &StreamQuery{Key: []byte("k")})
		return asked == 3 && slices.ContainsFunc(replies, func(reply StreamReply) bool { return reply.Start.GetKnown() })
	}, testTimeout, time.Millisecond)
}

func TestLeavingHostIsAskedAndGetsNoCopy(t *testing.T) {
	asker, hosts := newStreamHosts(t, 4)
	digest := hosts[2].digest()
	digest.Leaving = true
	require.True(t, asker.storeDigest(digest))
	asker.updateTrackers()
	hosts[2].KeepStart(&StreamStart{Key: []byte("k")})
	order, _ := asker.streamHolders(3, 60, isNotLeaving)
	require.NotContains(t, order, hosts[2].address)
	require.Eventually(t, func() bool {
		replies, _ := asker.QueryStream(3, &StreamQuery{Key: []byte("k")})
		return slices.ContainsFunc(replies, func(reply StreamReply) bool { return reply.Start.GetKnown() })
	}, testTimeout, time.Millisecond)
}

// Guards against a host that asks no other host just after its start.
func TestListedHostIsAskedBeforeItsFirstDigest(t *testing.T) {
	asker, unheard := newHost(t, "asker", bvclock.Boot()), newHost(t, "unheard", bvclock.Boot())
	asker.SetHosts([]netip.AddrPort{unheard.address})
	unheard.KeepStart(&StreamStart{Key: []byte("k")})
	require.Eventually(t, func() bool {
		replies, asked := asker.QueryStream(3, &StreamQuery{Key: []byte("k")})
		return asked == 1 && len(replies) == 1 && replies[0].Start.GetKnown()
	}, testTimeout, time.Millisecond)
}

// Guards against a host that was frozen and takes all others for lost.
func TestSilentHostIsAskedLast(t *testing.T) {
	asker, hosts := newStreamHosts(t, 2)
	asker.clock.(*bvclock.Manual).Advance(silenceTimeout + 1)
	asker.updateTrackers()
	hosts[1].KeepStart(&StreamStart{Key: []byte("k")})
	replying, silent := asker.streamHolders(3, 60, isAny)
	require.Empty(t, replying)
	require.Len(t, silent, 2)
	require.Eventually(t, func() bool {
		replies, asked := asker.QueryStream(3, &StreamQuery{Key: []byte("k")})
		return asked == 2 && slices.ContainsFunc(replies, func(reply StreamReply) bool { return reply.Start.GetKnown() })
	}, testTimeout, time.Millisecond)
}

// Guards against an older build that counts as a host with a copy.
func TestHostThatCanKeepNoCopyIsReplaced(t *testing.T) {
	asker, hosts := newStreamHosts(t, 5)
	order, _ := asker.streamHolders(3, 60, isNotLeaving)
	older := slices.IndexFunc(hosts, func(host *host) bool { return host.address == order[0] })
	hosts[older].mutex.Lock()
	hosts[older].keepsNone = true
	hosts[older].mutex.Unlock()
	sendStart(t, asker, &StreamStart{Key: []byte("k")})
	require.GreaterOrEqual(t, len(holdersOf(hosts)), startCopies)
}

// Guards against an order that differs from that of sorting all hosts.
func TestRankingOrdersAsSortingDoes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type zoned struct {
			zone string
			holder
		}
		var all []zoned
		ranking := ranking{limit: rapid.IntRange(1, 6).Draw(t, "limit")}
		for number := range rapid.IntRange(0, 20).Draw(t, "hosts") {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number)}), 1)
			weight := rapid.Uint64Range(0, 1000).Draw(t, "weight")*100 + uint64(number) // differs for each host
			host := zoned{rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "zone"), holder{address, weight}}
			all = append(all, host)
			ranking.add(host.zone, host.holder)
		}
		slices.SortFunc(all, func(a, b zoned) int { return byWeight(a.holder, b.holder) })
		var firsts, others []netip.AddrPort
		seen := map[string]bool{"": true}
		for number, host := range all {
			switch {
			case !seen[host.zone]:
				seen[host.zone], firsts = true, append(firsts, host.address)
			case number < ranking.limit:
				others = append(others, host.address)
			}
		}
		require.Equal(t, append([]netip.AddrPort{}, append(firsts, others...)...), ranking.addresses())
	})
}
