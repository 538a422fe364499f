package bvledger_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvcommit"
	"balsamvalve.example/bvledger"
	"balsamvalve.example/bvverdict"
)

// Guards against a cache that remains after a late call of a stale owner.
func TestLateCallOfAStaleOwnerIsReleased(t *testing.T) {
	store := &faultyStore{}
	stale := newHost("a", store)
	stale.ledger.Submit(1, newCall(1, "r1", 1))
	stale.pump(1)
	stale.ledger.Finish(2, 1, newResult("one"))
	stale.pump(2)
	stale.ledger.Submit(3, newCall(2, "r2", 2))
	stale.pump(3)

	fresh := newHost("b", store)
	fresh.ledger.End(4, lesson, 1)
	fresh.pump(4)
	require.Len(t, fresh.released, 1)
	require.Equal(t, []string{bvledger.AnyEndpoint, "engine-1"}, fresh.released[0].Endpoints)

	stale.ledger.Finish(5, 2, newResult("two"))
	stale.pump(5)
	require.Len(t, stale.released, 1)
	require.Equal(t, []string{"engine-1"}, stale.released[0].Endpoints)
}

// Guards against a cache that remains after a call which finishes after its program
// has ended.
func TestCallThatOutlivesItsProgramIsReleased(t *testing.T) {
	host := newHost("a", &faultyStore{})
	host.ledger.Submit(1, newCall(1, "r1", 1))
	host.pump(1)
	host.ledger.End(2, lesson, 2)
	host.pump(2)
	now := bvclock.Time(2).Add(bvledger.DefaultAbortGrace)
	host.pump(now)
	requireRefusal(t, host, 1, bvverdict.MayHaveRun, bvverdict.ProgramEnded)
	require.NotNil(t, host.outcomes[2].answer)
	require.Empty(t, host.released)

	late := newResult("late")
	late.Endpoint = "engine-2"
	host.ledger.Finish(now, 1, late)
	host.pump(now)
	require.Len(t, host.released, 1)
	require.Equal(t, []string{"engine-2"}, host.released[0].Endpoints)
}

// Guards against an evicted program that never ends after its limits have changed.
func TestEvictedProgramEndsAfterItsLimitsChanged(t *testing.T) {
	host := newHost("a", &faultyStore{})
	call := newCall(1, "r1", 1)
	call.Limits = bvledger.Limits{Budget: 100, Idle: bvclock.Hour}
	host.ledger.Submit(1, call)
	host.pump(1)
	host.ledger.Finish(2, 1, newResult("one"))
	host.pump(2)
	now := bvclock.Time(2).Add(bvledger.DefaultEvictAfter)
	host.pump(now)
	host.ledger.SetLimits(now, lesson, bvledger.Limits{Budget: 50, Idle: bvclock.Hour})
	host.pump(now)
	host.pump(bvclock.Time(2).Add(bvclock.Hour))
	require.Len(t, host.released, 1)
}

// Guards against a failed read that cancels an end whose entry is in flight.
func TestPendingEndSurvivesAFailedRead(t *testing.T) {
	store := &faultyStore{}
	host := newHost("a", store)
	host.committer.SetInterval(bvclock.Second)
	host.ledger.Submit(1, newCall(1, "r1", 1))
	host.pump(1)
	host.ledger.Finish(2000, 1, newResult("one"))
	host.pump(2000)
	host.ledger.Submit(2000, newCall(2, "r2", 2))
	host.pump(2000)
	host.ledger.Finish(4000, 2, newResult("two"))
	host.pump(4000)
	host.ledger.End(4000, lesson, 3)
	host.tick(4000)
	store.down = true
	host.ledger.Fetch(4000, 4, lesson, "r1")
	host.pump(4000)
	requireRefusal(t, host, 4, bvverdict.Ran, bvverdict.PlatformUnavailable)
	store.down = false
	host.pump(6000)
	require.NotNil(t, host.outcomes[3].answer)
}

// Guards against a program that never ends after a fetch has loaded it again.
func TestProgramLoadedByAFetchEndsWhenIdle(t *testing.T) {
	host := newHost("a", &faultyStore{})
	call := newCall(1, "r1", 1)
	call.Limits.Idle = bvclock.Hour
	host.ledger.Submit(1, call)
	host.pump(1)
	host.ledger.Finish(2, 1, newResult("one"))
	host.pump(2)
	again := newHost("a", host.store) // as after an entry that could not be written
	again.committer = bvcommit.New("a", "2")
	again.ledger.Fetch(3, 1, lesson, "r1")
	again.pump(3)
	requireAnswer(t, again, 1, "one")
	again.pump(bvclock.Time(3).Add(bvclock.Hour))
	require.Len(t, again.released, 1)
}
