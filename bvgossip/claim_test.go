package bvgossip

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
)

func TestClaimIsAnsweredByTheAllocator(t *testing.T) {
	a, b := newHost(t, "a", bvclock.Boot()), newHost(t, "b", bvclock.Boot())
	exchangeDigests(t, a, b)
	b.mutex.Lock()
	b.granting = true
	b.mutex.Unlock()
	claimed := a.SendClaim(b.address, &Claim{Workspace: 1, Count: 7})
	require.True(t, claimed.GetGranted())
	require.EqualValues(t, 7, claimed.GetWait())
}

// Guards against each request waiting for an allocator that has failed.
func TestAllocatorThatDoesNotAnswerIsSkipped(t *testing.T) {
	a, b := newHost(t, "a", bvclock.Boot()), newHost(t, "b", bvclock.Boot())
	exchangeDigests(t, a, b)
	a.updateTrackers()
	all, skipped := a.Allocators(1)
	require.Len(t, all, 2)
	require.False(t, skipped)
	require.NoError(t, b.conn.Close())
	require.Nil(t, a.SendClaim(b.address, &Claim{Workspace: 1}))
	remaining, skipped := a.Allocators(1)
	require.Equal(t, []netip.AddrPort{a.address}, remaining)
	require.Equal(t, all[0] == b.address, skipped)
}

// Guards against allocators that have just started and lack the usage of other hosts.
func TestAllocatorsAreSettledHostsWhereThereAreAny(t *testing.T) {
	var known trackers
	for i := range 20 {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7380)
		known.add("z", newCandidate(address), i == 3 || i == 4)
	}
	for workspace := range uint32(50) {
		require.Len(t, known.ofWorkspace(workspace, 2), 2)
		for _, allocator := range known.ofWorkspace(workspace, 2) {
			require.Contains(t, []byte{3, 4}, allocator.Addr().As4()[3])
		}
	}
}

// Guards against hosts that query different allocators for one workspace.
func TestHostsAgreeOnAllocators(t *testing.T) {
	var here, there trackers
	for i := range 20 {
		for known, at := range map[*trackers]int{&here: i, &there: 19 - i} {
			known.add("z", newCandidate(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(at)}), 7380)), true)
		}
	}
	allocators := make(map[netip.AddrPort]int)
	for workspace := range uint32(400) {
		require.Equal(t, here.ofWorkspace(workspace, 2), there.ofWorkspace(workspace, 2))
		allocators[here.ofWorkspace(workspace, 1)[0]]++
	}
	require.Len(t, allocators, 20)
}
