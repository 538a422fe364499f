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

// busy are endpoints of one availability zone, with as many calls of this host at each.
type busy int

func (busy) ZoneOf(uint64) string      { return "z" }
func (busy busy) RunningAt(uint64) int { return int(busy) }

// trackedBy returns a key that an asker takes a host for the tracker of.
func trackedBy(t testing.TB, host, asker *host, of func(*trackers, uint64) (netip.AddrPort, bool)) uint64 {
	asker.setTrackers()
	asker.mutex.Lock()
	defer asker.mutex.Unlock()
	for key := uint64(1); key < 1000; key++ {
		if tracker, found := of(&asker.trackers, key); found && tracker == host.address {
			return key
		}
	}
	require.Fail(t, "the host tracks nothing")
	return 0
}

func endpointTrackedBy(t testing.TB, host, asker *host) uint64 {
	return trackedBy(t, host, asker, func(trackers *trackers, key uint64) (netip.AddrPort, bool) {
		return trackers.ofEndpoint("z", key)
	})
}

// Guards against calls that are known only with the next digest.
func TestTrackerTellsOfCallsAtOnce(t *testing.T) {
	a := newHostWith(t, "a", bvclock.Boot(), busy(0))
	b := newHostWith(t, "b", bvclock.Boot(), busy(0))
	c := newHostWith(t, "c", bvclock.Boot(), busy(4))
	meet(t, a, c)
	b.SetHosts([]netip.AddrPort{c.address})
	b.SendDigest(b.digest())
	require.Eventually(t, func() bool { return len(c.LivePeers()) == 2 }, testTimeout, time.Millisecond)
	endpoint := endpointTrackedBy(t, c, a)
	b.mutex.Lock()
	b.trackers = a.trackers // c has not answered b yet
	b.mutex.Unlock()
	a.ReportRunning(endpoint, 2)
	b.ReportRunning(endpoint, 3)
	requireCount(t, a, endpoint, 7)
	b.ReportRunning(endpoint, 1)
	requireCount(t, a, endpoint, 5)
	b.ReportRunning(endpoint, 0)
	requireCount(t, a, endpoint, 4)
	asked, unanswered := a.TrackerQueries()
	require.GreaterOrEqual(t, asked-unanswered, int64(3))
}

// requireCount asks until a host is told the count. Trackers that answer late, on a
// machine that is busy, are asked again at once.
func requireCount(t testing.TB, asker *host, endpoint uint64, want int) {
	require.Eventually(t, func() bool {
		asker.mutex.Lock()
		clear(asker.mutedUntil)
		asker.mutex.Unlock()
		return asker.QueryRunning([]uint64{endpoint})[endpoint] == want
	}, testTimeout, time.Millisecond)
}

// The tracker is frozen. A call must not wait for it again and again.
func TestTrackerThatDoesNotAnswerIsNotAskedForAWhile(t *testing.T) {
	clock := &bvclock.Manual{}
	clock.Advance(bvclock.Minute)
	a, b := newHostWith(t, "a", clock, busy(0)), newHost(t, "b", clock)
	meet(t, a, b)
	endpoint := endpointTrackedBy(t, b, a)
	a.mutex.Lock()
	a.mutedUntil[b.address] = clock.Now().Add(mutedFor)
	a.mutex.Unlock()
	require.Empty(t, a.probesFor([]uint64{endpoint}, map[uint64]int{}))
	clock.Advance(mutedFor)
	require.Len(t, a.probesFor([]uint64{endpoint}, map[uint64]int{}), 1)
}

// Guards against a lost datagram that leaves a call counted.
func TestDigestMendsWhatALostDatagramLeft(t *testing.T) {
	a, b := newHost(t, "a", bvclock.Boot()), newHost(t, "b", bvclock.Boot())
	meet(t, a, b)
	a.mutex.Lock()
	a.tracker.note(a.clock.Now(), b.address, 7, 3)
	a.mutex.Unlock()
	digest := b.digest()
	digest.Loads = []*Load{{Endpoint: 8, Running: 1}}
	require.True(t, a.note(digest))
	a.mutex.Lock()
	defer a.mutex.Unlock()
	require.Zero(t, a.tracker.count(7, a.address, 0))
	require.Equal(t, 1, a.tracker.count(8, a.address, 0))
}

// Guards against hosts that ask different trackers, or all the same one.
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

// Compares any series of what hosts say with a table of their last words.
func TestCountsAreThoseOfTheLastWords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type word struct {
			running int
			at      bvclock.Time
		}
		var tracked tracker
		said := make(map[netip.AddrPort]map[uint64]word)
		hosts := make([]netip.AddrPort, 4)
		for i := range hosts {
			hosts[i] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7380)
			said[hosts[i]] = make(map[uint64]word)
		}
		now := bvclock.Time(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += bvclock.Time(rapid.IntRange(0, 500).Draw(t, "pause"))
			host := rapid.SampledFrom(hosts).Draw(t, "host")
			if rapid.Bool().Draw(t, "digest") {
				said[host] = make(map[uint64]word)
				var loads []*Load
				for endpoint := range uint64(3) {
					if running := rapid.IntRange(0, 2).Draw(t, "running"); running > 0 {
						loads = append(loads, &Load{Endpoint: endpoint, Running: uint32(running)})
						said[host][endpoint] = word{running, now}
					}
				}
				tracked.noteAll(now, host, loads)
			} else {
				endpoint := uint64(rapid.IntRange(0, 2).Draw(t, "endpoint"))
				running := rapid.IntRange(0, 5).Draw(t, "running")
				tracked.note(now, host, endpoint, running)
				said[host][endpoint] = word{running, now}
			}
			but := rapid.SampledFrom(hosts).Draw(t, "but")
			since := now - bvclock.Time(rapid.IntRange(0, 2000).Draw(t, "since"))
			for endpoint := range uint64(3) {
				want := 0
				for host, words := range said {
					if word := words[endpoint]; host != but && !word.at.Before(since) {
						want += word.running
					}
				}
				require.Equal(t, want, tracked.count(endpoint, but, since))
			}
		}
	})
}

// BenchmarkProbe is what a question about one endpoint costs its tracker, by the number of
// hosts that have calls there: reading it, counting, and writing the answer.
func BenchmarkProbe(b *testing.B) {
	for _, hosts := range []int{6, 60} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			var tracked tracker
			for i := range hosts {
				tracked.note(1, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7380), 7, 1)
			}
			asker := netip.MustParseAddrPort("10.0.0.1:7380")
			asked, err := proto.Marshal(&Datagram{Message: &Datagram_Probe{Probe: &Probe{Number: 1 << 60, Endpoints: []uint64{7 << 56}}}})
			require.NoError(b, err)
			var answer []byte
			for b.Loop() {
				if err := proto.Unmarshal(asked, &Datagram{}); err != nil {
					b.Fatal(err)
				}
				load := &Load{Endpoint: 7 << 56, Running: uint32(tracked.count(7, asker, 0))}
				answer, err = proto.Marshal(&Datagram{Message: &Datagram_Counts{Counts: &Counts{Number: 1 << 60, Loads: []*Load{load}}}})
				if err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(asked)+len(answer)), "bytes/probe")
		})
	}
}

// BenchmarkTrackers is the cost of finding an endpoint's tracker among the hosts of its
// zone.
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

// Guards against calls that go on counting at a tracker after their host has ended them.
func TestCallsThatAreNotRepeatedHaveEnded(t *testing.T) {
	host := netip.MustParseAddrPort("10.0.0.1:7380")
	var tracked tracker
	tracked.noteAll(1, host, []*Load{{Endpoint: 1, Running: 2}, {Endpoint: 2, Running: 1}})
	tracked.noteAll(2, host, []*Load{{Endpoint: 2, Running: 3}})
	require.Zero(t, tracked.count(1, netip.AddrPort{}, 0))
	require.Equal(t, 3, tracked.count(2, netip.AddrPort{}, 0))
	tracked.note(3, host, 4, 1)
	tracked.noteAll(3, host, []*Load{{Endpoint: 2, Running: 3}, {Endpoint: 3, Running: 1}})
	require.Zero(t, tracked.count(4, netip.AddrPort{}, 0))
	require.Equal(t, 1, tracked.count(3, netip.AddrPort{}, 0))
	tracked.noteAll(4, host, nil)
	require.Empty(t, tracked.uses)
	require.Empty(t, tracked.byHost)
}
