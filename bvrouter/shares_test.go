package bvrouter

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvdispatch"
	"balsamvalve.example/bvgossip"
	"balsamvalve.example/bvshare"
)

// Guards against a host without the part whose missing report counts as no demand.
func TestDigestWithoutSharesLeavesThemUnknown(t *testing.T) {
	clock := &bvclock.Manual{}
	router := &Router{dispatcher: bvdispatch.NewDispatcher(clock, 1, "")}
	router.dispatcher.TakeShareReport(1, 400)
	peerHandler{router}.applyShares(&bvgossip.Digest{Incarnation: "a"})
	require.Empty(t, router.dispatcher.LargestShares())
	clock.Advance(bvclock.Second)
	peerHandler{router}.applyShares(&bvgossip.Digest{Incarnation: "a", Shares: []*bvgossip.Share{{Workspace: 7, Asked: 2, Used: 1}}})
	require.Equal(t, bvshare.Standing{Share: 1, Use: 1, Asked: 2, Known: true}, router.dispatcher.LargestShares()[7])
}

// Guards against digests that grow beyond the bound.
func TestSharesOfADigestTakeAtMost320Bytes(t *testing.T) {
	digest := &bvgossip.Digest{}
	for workspace := range 17 {
		digest.Shares = append(digest.Shares, &bvgossip.Share{Workspace: uint32(workspace + 1), Asked: 1, Used: 1})
	}
	require.LessOrEqual(t, proto.Size(digest), 320)
	require.Equal(t, 3, proto.Size(&bvgossip.Digest{Shares: []*bvgossip.Share{{}}}), "without demand")
	t.Log(proto.Size(digest))
}
