package bvgossip

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"balsamvalve.example/bvclock"
)

// runningEverywhere are endpoints of one availability zone, each with the same number of
// calls of this host.
type runningEverywhere int

func (runningEverywhere) ZoneOf(uint64) string           { return "z" }
func (endpoints runningEverywhere) RunningAt(uint64) int { return int(endpoints) }

// keyTrackedBy returns a key whose tracker is host in the view of asker.
func keyTrackedBy(t testing.TB, host, asker *host, of func(*trackers, uint64) (netip.AddrPort, bool)) uint64 {
	asker.updateTrackers()
	asker.mutex.Lock()
	defer asker.mutex.Unlock()
	for key := uint64(1); key < 1000; key++ {
		if tracker, found := of(&asker.trackers, key); found && tracker == host.address {
			return key
		}
	}
	require.Fail(t, "the host tracks no key")
	return 0
}

func endpointTrackedBy(t testing.TB, host, asker *host) uint64 {
	return keyTrackedBy(t, host, asker, func(trackers *trackers, key uint64) (netip.AddrPort, bool) {
		return trackers.ofEndpoint("z", key)
	})
}

// Guards against calls that are counted only after the next digest.
func TestTrackerCountsCallsAtOnce(t *testing.T) {
	a := newHostWith(t, "a", bvclock.Boot(), runningEverywhere(0))
	b := newHostWith(t, "b", bvclock.Boot(), runningEverywhere(0))
	c := newHostWith(t, "c", bvclock.Boot(), runningEverywhere(4))
	exchangeDigests(t, a, c)
	b.SetHosts([]netip.AddrPort{c.address})
	b.SendDigest(b.digest())
	require.Eventually(t, func() bool { return len(c.LivePeers()) == 2 }, testTimeout, time.Millisecond)
	endpoint := endpointTrackedBy(t, c, a)
	b.mutex.Lock()
	b.trackers = a.trackers // b has no digest of c yet
	b.mutex.Unlock()
	a.ReportRunning(endpoint, 2)
	b.ReportRunning(endpoint, 3)
	requireCount(t, a, endpoint, 7)
	b.ReportRunning(endpoint, 1)
	requireCount(t, a, endpoint, 5)
	b.ReportRunning(endpoint, 0)
	requireCount(t, a, endpoint, 4)
	queried, unanswered := a.TrackerQueries()
	require.GreaterOrEqual(t, queried-unanswered, int64(3))
}

// requireCount queries until a host gets the count. A tracker that answers late, on a
// busy machine, is queried again at once.
func requireCount(t testing.TB, asker *host, endpoint uint64, want int) {
	require.Eventually(t, func() bool {
		asker.mutex.Lock()
		clear(asker.backoffUntil)
		asker.mutex.Unlock()
		return asker.QueryRunning([]uint64{endpoint})[endpoint] == want
	}, testTimeout, time.Millisecond)
}

// Guards against each call waiting for a tracker that is frozen.
func TestTrackerThatDoesNotAnswerIsBackedOff(t *testing.T) {
	clock := &bvclock.Manual{}
	clock.Advance(bvclock.Minute)
	a, b := newHostWith(t, "a", clock, runningEverywhere(0)), newHost(t, "b", clock)
	exchangeDigests(t, a, b)
	endpoint := endpointTrackedBy(t, b, a)
	a.mutex.Lock()
	a.backoffUntil[b.address] = clock.Now().Add(trackerBackoff)
	a.mutex.Unlock()
	require.Empty(t, a.buildProbes([]uint64{endpoint}, map[uint64]int{}))
	clock.Advance(trackerBackoff)
	require.Len(t, a.buildProbes([]uint64{endpoint}, map[uint64]int{}), 1)
}

// Guards against a call that stays counted after a datagram is lost.
func TestDigestCorrectsCountsAfterALostDatagram(t *testing.T) {
	a, b := newHost(t, "a", bvclock.Boot()), newHost(t, "b", bvclock.Boot())
	exchangeDigests(t, a, b)
	a.mutex.Lock()
	a.tracker.set(a.clock.Now(), b.address, 7, 3)
	a.mutex.Unlock()
	digest := b.digest()
	digest.Loads = []*Load{{Endpoint: 8, Running: 1}}
	require.True(t, a.storeDigest(digest))
	a.mutex.Lock()
	defer a.mutex.Unlock()
	require.Zero(t, a.tracker.count(7, a.address, 0))
	require.Equal(t, 1, a.tracker.count(8, a.address, 0))
}

// Guards against hosts that query different trackers, or all the same one.
func TestHostsAgreeOnTrackers(t *testing.T) {
	var here, there trackers
	for i := range 20 {
		here.add("z", newCandidate(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7380)), true)
		there.add("z", newCandidate(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(19 - i)}), 7380)), true)
	}
	tracked := make(map[netip.AddrPort]int)
	for endpoint := range uint64(400) {
		a, found := here.ofEndpoint("z", endpoint)
		require.True(t, found)
		b, _ := there.ofEndpoint("z", endpoint)
		require.Equal(t, a, b)
		tracked[a]++
	}
	require.Len(t, tracked, 20)
	_, found := here.ofEndpoint("other", 1)
	require.False(t, found)
}

// Compares the counts after any series of reports with a table of the hosts' last ones.
func TestCountsMatchTheLastReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type report struct {
			running int
			at      bvclock.Time
		}
		var tracked tracker
		reports := make(map[netip.AddrPort]map[uint64]report)
		hosts := make([]netip.AddrPort, 4)
		for i := range hosts {
			hosts[i] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7380)
			reports[hosts[i]] = make(map[uint64]report)
		}
		now := bvclock.Time(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += bvclock.Time(rapid.IntRange(0, 500).Draw(t, "pause"))
			host := rapid.SampledFrom(hosts).Draw(t, "host")
			if rapid.Bool().Draw(t, "digest") {
				reports[host] = make(map[uint64]report)
				var loads []*Load
				for endpoint := range uint64(3) {
					if running := rapid.IntRange(0, 2).Draw(t, "running"); running > 0 {
						loads = append(loads, &Load{Endpoint: endpoint, Running: uint32(running)})
						reports[host][endpoint] = report{running, now}
					}
				}
				tracked.setAll(now, host, loads)
			} else {
				endpoint := uint64(rapid.IntRange(0, 2).Draw(t, "endpoint"))
				running := rapid.IntRange(0, 5).Draw(t, "running")
				tracked.set(now, host, endpoint, running)
				reports[host][endpoint] = report{running, now}
			}
			except := rapid.SampledFrom(hosts).Draw(t, "but")
			since := now - bvclock.Time(rapid.IntRange(0, 2000).Draw(t, "since"))
			for endpoint := range uint64(3) {
				want := 0
				for host, byEndpoint := range reports {
					if last := byEndpoint[endpoint]; host != except && !last.at.Before(since) {
						want += last.running
					}
				}
				require.Equal(t, want, tracked.count(endpoint, except, since))
			}
		}
	})
}

// BenchmarkProbe measures a tracker's cost of a probe for one endpoint, by the number of
// hosts that have calls there: decoding it, counting, and encoding the reply.
func BenchmarkProbe(b *testing.B) {
	for _, hosts := range []int{6, 60} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			var tracked tracker
			for i := range hosts {
				tracked.set(1, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7380), 7, 1)
			}
			asker := netip.MustParseAddrPort("10.0.0.1:7380")
			encoded, err := proto.Marshal(&Datagram{Message: &Datagram_Probe{Probe: &Probe{Number: 1 << 60, Endpoints: []uint64{7 << 56}}}})
			require.NoError(b, err)
			var reply []byte
			for b.Loop() {
				if err := proto.Unmarshal(encoded, &Datagram{}); err != nil {
					b.Fatal(err)
				}
				load := &Load{Endpoint: 7 << 56, Running: uint32(tracked.count(7, asker, 0))}
				reply, err = proto.Marshal(&Datagram{Message: &Datagram_Counts{Counts: &Counts{Number: 1 << 60, Loads: []*Load{load}}}})
				if err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(encoded)+len(reply)), "bytes/probe")
		})
	}
}

// BenchmarkTrackers measures finding an endpoint's tracker among the hosts of its zone.
func BenchmarkTrackers(b *testing.B) {
	for _, hosts := range []int{49, 730} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			var known trackers
			for i := range hosts {
				known.add("z", newCandidate(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i % 250)}), 7380)), true)
			}
			for i := uint64(0); b.Loop(); i++ {
				known.ofEndpoint("z", i)
			}
		})
	}
}

// Guards against calls that a tracker still counts after they have ended.
func TestCallsThatAreNoLongerReportedAreRemoved(t *testing.T) {
	host := netip.MustParseAddrPort("10.0.0.1:7380")
	var tracked tracker
	tracked.setAll(1, host, []*Load{{Endpoint: 1, Running: 2}, {Endpoint: 2, Running: 1}})
	tracked.setAll(2, host, []*Load{{Endpoint: 2, Running: 3}})
	require.Zero(t, tracked.count(1, netip.AddrPort{}, 0))
	require.Equal(t, 3, tracked.count(2, netip.AddrPort{}, 0))
	tracked.set(3, host, 4, 1)
	tracked.setAll(3, host, []*Load{{Endpoint: 2, Running: 3}, {Endpoint: 3, Running: 1}})
	require.Zero(t, tracked.count(4, netip.AddrPort{}, 0))
	require.Equal(t, 1, tracked.count(3, netip.AddrPort{}, 0))
	tracked.setAll(4, host, nil)
	require.Empty(t, tracked.uses)
	require.Empty(t, tracked.byHost)
}
