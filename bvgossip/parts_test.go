package bvgossip

import (
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"balsamvalve.example/bvclock"
)

// largeDigest returns a host's digest with a number of entries in each list that may be long.
func (host *host) largeDigest(entries int) *Digest {
	digest := host.digest()
	for i := range entries {
		digest.Loads = append(digest.Loads, &Load{Endpoint: uint64(i + 1), Running: uint32(i%7 + 1)})
		digest.Totals = append(digest.Totals, &Load{Endpoint: uint64(i + 1), Running: uint32(i%5 + 1)})
		digest.Placements = append(digest.Placements, &Placement{Endpoint: uint64(i + 1), Part: 1 << 60, Tokens: 9000})
		digest.Outcomes = append(digest.Outcomes, &Outcome{Endpoint: uint64(i + 1), Ended: 3, Failed: 1, Paced: 2, Pace: 100})
		digest.Programs = append(digest.Programs, uint64(i))
		digest.UsedWorkspaces = append(digest.UsedWorkspaces, uint32(i+1))
		digest.UsedCounts = append(digest.UsedCounts, uint32(i+1)<<24)
		digest.UsedRecent = append(digest.UsedRecent, 1)
	}
	return digest
}

// Guards against a host that counts as silent because its digest does not fit into a datagram.
func TestDigestLargerThanADatagramArrivesWhole(t *testing.T) {
	const entries = 2000
	a, b := newHost(t, "a", bvclock.Boot()), newHost(t, "b", bvclock.Boot())
	a.SetHosts([]netip.AddrPort{b.address})
	a.SendDigest(a.largeDigest(entries))
	var received *Digest
	require.Eventually(t, func() bool {
		received = &Digest{}
		for _, part := range b.digests() {
			proto.Merge(received, part)
		}
		return len(received.GetPlacements()) == entries // the last list
	}, testTimeout, time.Millisecond)
	require.Len(t, b.PeerLoads(b.digest()), entries)
	require.Len(t, received.GetOutcomes(), entries)
	require.Len(t, received.GetPrograms(), entries)
	require.Len(t, received.GetUsedWorkspaces(), entries)
	require.Zero(t, a.Omitted())
	require.Zero(t, b.Rejected())
}

// Guards against parts above the limit and entries that are lost or sent twice.
func TestPartsContainEachEntryOnce(t *testing.T) {
	sender := newHost(t, "a", bvclock.Boot())
	rapid.Check(t, func(t *rapid.T) {
		entries, limit := rapid.IntRange(1, 1500).Draw(t, "entries"), rapid.IntRange(600, maxDatagramBytes).Draw(t, "limit")
		digest := sender.largeDigest(entries)
		digest.Shares = []*Share{{Workspace: 7, Asked: 1}}
		parts, omitted := splitDigest(digest, 5, limit)
		joined := &Digest{}
		for i, part := range parts {
			encoded, err := proto.Marshal(&Datagram{Message: &Datagram_Digest{Digest: part}})
			require.NoError(t, err)
			require.LessOrEqual(t, len(encoded), limit)
			require.True(t, isValidPart(part))
			require.Equal(t, [3]uint32{5, uint32(i), uint32(len(parts))}, [3]uint32{part.GetSequence(), part.GetPart(), part.GetParts()})
			proto.Merge(joined, part)
		}
		require.LessOrEqual(t, len(parts), maxDigestParts)
		require.Len(t, joined.GetShares(), 1)
		endpoints := make(map[uint64]bool)
		for _, load := range joined.GetLoads() {
			require.False(t, endpoints[load.GetEndpoint()])
			endpoints[load.GetEndpoint()] = true
		}
		sent := len(joined.GetLoads()) + len(joined.GetTotals()) + len(joined.GetUsedCounts()) + len(joined.GetOutcomes()) +
			len(joined.GetPrograms()) + len(joined.GetPlacements())
		require.Equal(t, 6*entries, sent+omitted)
	})
}

// Guards against a field that only digests in one datagram have.
func TestPartsContainAllFields(t *testing.T) {
	digest, joined := fullDigest(), &Digest{}
	parts, _ := splitDigest(digest, 1, listOverhead+60)
	require.Greater(t, len(parts), 1)
	for _, part := range parts {
		proto.Merge(joined, part)
	}
	fields := joined.ProtoReflect().Descriptor().Fields()
	for number := range fields.Len() {
		require.True(t, joined.ProtoReflect().Has(fields.Get(number)), "%s", fields.Get(number).Name())
	}
}

// Guards against endpoints that look idle while a part of a digest is missing.
func TestCallsCountOnceAllPartsHaveArrived(t *testing.T) {
	clock := &bvclock.Manual{}
	clock.Advance(bvclock.Minute)
	receiver := newHost(t, "b", clock)
	part := func(sequence, number, endpoint uint32) *Digest {
		return &Digest{
			Incarnation: "a", Address: "127.9.9.1:9", Zone: "z", Sequence: sequence, Part: number, Parts: 2,
			StateVersion: int64(sequence), Loads: []*Load{{Endpoint: uint64(endpoint), Running: 1}},
		}
	}
	loads := func() map[uint64]int { return receiver.PeerLoads(receiver.digest()) }
	require.True(t, receiver.storeDigest(part(1, 0, 1)))
	require.True(t, receiver.storeDigest(part(1, 1, 2)))
	require.Equal(t, map[uint64]int{1: 1, 2: 1}, loads())
	require.True(t, receiver.storeDigest(part(2, 0, 1)))
	require.Equal(t, map[uint64]int{1: 1, 2: 1}, loads(), "the second part is missing")
	require.Equal(t, int64(2), receiver.LivePeers()[0].GetStateVersion())
	require.True(t, receiver.storeDigest(part(3, 1, 4)))
	require.True(t, receiver.storeDigest(part(2, 1, 2)), "late")
	require.Equal(t, map[uint64]int{1: 1, 2: 1}, loads())
	require.True(t, receiver.storeDigest(part(3, 0, 3)))
	require.Equal(t, map[uint64]int{3: 1, 4: 1}, loads())
	clock.Advance(silenceTimeout + 1)
	require.True(t, receiver.storeDigest(part(4, 1, 5)))
	require.Equal(t, map[uint64]int{5: 1}, loads(), "no whole digest for a time")
	require.True(t, receiver.storeDigest(&Digest{Incarnation: "a", Address: "127.9.9.1:9", Zone: "z"}))
	require.Empty(t, loads())
}

// Guards against datagrams that can't be read and go unnoticed, or fill the log.
func TestDatagramsThatCannotBeReadAreCounted(t *testing.T) {
	clock := &bvclock.Manual{}
	clock.Advance(bvclock.Minute)
	log, lines := logtest.NewNullLogger()
	log.SetLevel(logrus.WarnLevel)
	a, b := newHost(t, "a", clock), newHostWithLog(t, "b", "z", clock, fakeEndpoints{}, log)
	tooLong := a.digest()
	for i := range 4000 {
		tooLong.Loads = append(tooLong.Loads, &Load{Endpoint: uint64(i), Running: 1})
	}
	invalid := []*Digest{
		tooLong,
		{Incarnation: "c", Address: "no address"},
		{Incarnation: "c", Address: "127.9.9.1:9", Parts: maxDigestParts + 1},
		{Incarnation: "c", Address: "127.9.9.1:9", Part: 2, Parts: 2},
	}
	const rounds = 25
	for round := range rounds {
		for _, digest := range invalid {
			digest.Host = strconv.Itoa(round)
			a.sendTo(b.address, &Datagram{Message: &Datagram_Digest{Digest: digest}})
		}
		require.Eventually(t, func() bool { return b.Rejected() == int64((round+1)*len(invalid)) }, testTimeout, time.Millisecond)
	}
	require.Empty(t, b.LivePeers())
	require.Len(t, lines.AllEntries(), 1)
	clock.Advance(rejectionLogInterval)
	a.sendTo(b.address, &Datagram{Message: &Datagram_Digest{Digest: invalid[1]}})
	require.Eventually(t, func() bool { return len(lines.AllEntries()) == 2 }, testTimeout, time.Millisecond)
}
