package bvledger_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvledger"
)

// The engine keeps an ended program's cache for good. Host a runs a turn and
// is paused; host b takes the program over, ends it and has engine-1 release
// it; then a goes on, and its call runs on engine-1 after the release. The
// cause: a thought that the new owner knew of engine-1, from the row, and left
// the release to it (found with -rapid.seed=136513030).
func TestLateCallOfAStaleOwnerIsReleased(t *testing.T) {
	store := &faults{}
	stale := newHost("a", store)
	stale.ledger.Submit(1, question(1, "r1", 1))
	stale.pump(1)
	stale.ledger.Finish(2, 1, reply("one"))
	stale.pump(2)
	stale.ledger.Submit(3, question(2, "r2", 2))
	stale.pump(3)

	fresh := newHost("b", store)
	fresh.ledger.End(4, lesson, 1)
	fresh.pump(4)
	require.Len(t, fresh.released, 1)
	require.Equal(t, []string{bvledger.AnyEndpoint, "engine-1"}, fresh.released[0].Endpoints)

	stale.ledger.Finish(5, 2, reply("two"))
	stale.pump(5)
	require.Len(t, stale.released, 1)
	require.Equal(t, []string{"engine-1"}, stale.released[0].Endpoints)
}
