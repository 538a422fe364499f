package bvledger_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvledger"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvverdict"
)

func newBooking(id bvledger.CallID) bvledger.Call {
	call := newCall(id, "book", 0)
	call.Unrepeatable = true
	return call
}

func TestKeysOfTwoMembersNeverCollide(t *testing.T) {
	a := bvledger.ProgramKey{Member: "a", Program: "b/c"}
	b := bvledger.ProgramKey{Member: "a/b", Program: "c"}
	require.NotEqual(t, bvledger.HeadKey(a), bvledger.HeadKey(b))
	require.NotEqual(t, bvledger.TurnPrefix(a), bvledger.TurnPrefix(b))
	require.NotEqual(t, bvledger.OnceKey(a, "d"), bvledger.OnceKey(bvledger.ProgramKey{Member: "a", Program: "b"}, "c/d"))
}

// Guards against a paused host that sends a booking after its window.
func TestPausedHostDoesNotSendAfterItsWindow(t *testing.T) {
	host := newHost("a", &faultyStore{})
	host.ledger.Submit(0, newBooking(1))
	host.pump(0)
	late := bvclock.Time(0).Add(bvledger.DefaultOnceWindow + 1)
	require.False(t, host.ledger.MayStart(late, 1))
	host.ledger.Finish(late, 1, bvledger.Result{Err: bvverdict.Refuse(bvverdict.Canceled, "window over")})
	host.pump(late)
	requireRefusal(t, host, 1, bvverdict.NotRun, bvverdict.Canceled)
	host.ledger.Submit(late, newBooking(2))
	host.pump(late)
	require.True(t, host.ledger.MayStart(late, 2))
	require.False(t, host.ledger.MayStart(late, 2), "a second send")
}

// Guards against a second run of a booking whose host failed after the send.
func TestRepeatOfASentBookingIsNotRunAgain(t *testing.T) {
	store := &faultyStore{}
	lost := newHost("a", store)
	lost.ledger.Submit(1, newBooking(1))
	lost.pump(1)
	require.True(t, lost.ledger.MayStart(1, 1))
	other := newHost("b", store)
	other.ledger.Submit(2, newBooking(1))
	other.pump(2)
	require.Empty(t, other.started)
	requireRefusal(t, other, 1, bvverdict.MayHaveRun, bvverdict.AlreadySent)
	require.NotZero(t, other.outcomes[1].refuse.Err.RetryAfter())
}

// Guards against bookings that run, and answers that are lost, in an outage of the
// platform.
func TestOutageRefusesBookingsAndHoldsAnswers(t *testing.T) {
	store := &faultyStore{}
	host := newHost("a", store)
	first := newCall(1, "r1", 1)
	first.Limits.Budget = 1000
	host.ledger.Submit(0, first)
	host.pump(0)
	host.ledger.Finish(0, 1, newResult("one"))
	host.pump(0)

	store.down = true
	second := newCall(2, "r2", 2)
	second.Limits.Budget = 1000
	host.ledger.Submit(1, second)
	host.pump(1)
	require.Len(t, host.started, 2)
	host.ledger.Finish(2, 2, newResult("two"))
	host.pump(2)
	now := bvclock.Time(2).Add(bvledger.DefaultSuspectAfter + 1)
	host.pump(now)
	late := newBooking(3)
	late.Limits.Budget = 1000
	host.ledger.Submit(now, late)
	host.pump(now)
	requireRefusal(t, host, 3, bvverdict.NotRun, bvverdict.PlatformUnavailable)

	now = bvclock.Time(2).Add(bvledger.DefaultCommitTimeout)
	host.pump(now)
	requireRefusal(t, host, 2, bvverdict.Ran, bvverdict.PlatformUnavailable)
	store.down = false
	now = now.Add(bvclock.Minute)
	host.pump(now)
	second.ID = 4
	host.ledger.Submit(now, second)
	host.pump(now)
	requireAnswer(t, host, 4, "two")
}

func TestOutageBoundsFinishedTurnsWithoutCommit(t *testing.T) {
	store := &faultyStore{}
	host := newHost("a", store)
	host.ledger.Submit(1, newCall(1, "r", 1))
	host.pump(1)
	store.down = true
	call := bvledger.CallID(1)
	for ; len(host.started) > 0; call++ {
		host.ledger.Finish(1, host.takeStarted().Call, newResult("x"))
		next := newCall(call+1, "r", 0)
		next.Request = string(rune('a' + call))
		host.ledger.Submit(1, next)
		host.pump(1)
	}
	status, _ := host.ledger.Status(lesson)
	require.Equal(t, bvledger.DefaultMaxUncommitted, status.Uncommitted)
}

func TestProgramThatLoopsIsEndedDurably(t *testing.T) {
	host := newHost("a", &faultyStore{})
	for turn := 1; turn <= 3; turn++ {
		call := newCall(bvledger.CallID(turn), string(rune('a'+turn)), turn)
		call.Limits.Turns = 2
		host.ledger.Submit(1, call)
		host.pump(1)
		if turn < 3 {
			host.ledger.Finish(1, call.ID, newResult("x"))
			host.pump(1)
		}
	}
	requireRefusal(t, host, 3, bvverdict.NotRun, bvverdict.LimitExceeded)
	require.Len(t, host.released, 1)
	host.ledger.ConfirmRelease(1, lesson, "engine-1")
	host.pump(1)
	require.Zero(t, host.ledger.Programs())
	other := newHost("b", host.store)
	other.ledger.Submit(2, newCall(1, "again", 3))
	other.pump(2)
	requireRefusal(t, other, 1, bvverdict.NotRun, bvverdict.ProgramEnded)
}

// Guards against a lowered budget that does not apply to a block drawn before.
func TestLoweredBudgetHoldsInsideAnOldBlock(t *testing.T) {
	host := newHost("a", &faultyStore{})
	call := newCall(1, "r1", 1)
	call.Limits.Budget = 1000
	host.ledger.Submit(1, call)
	host.pump(1)
	host.ledger.Finish(1, 1, newResult("one"))
	host.pump(1)
	next := newCall(2, "r2", 2)
	next.Limits.Budget = 15
	host.ledger.Submit(2, next)
	host.pump(2)
	requireRefusal(t, host, 2, bvverdict.NotRun, bvverdict.BudgetExceeded)
}

// Guards against sub-agents on two hosts that together exceed their parent's budget.
func TestSubAgentsOnTwoHostsShareOneBudget(t *testing.T) {
	store := &faultyStore{}
	parent := newHost("p", store)
	call := newCall(1, "r1", 1)
	call.Limits.Budget = 25
	parent.ledger.Submit(1, call)
	parent.pump(1)
	hosts := []*host{newHost("a", store), newHost("b", store)}
	for _, host := range hosts {
		child := newCall(1, "r1", 1)
		child.Key.Program = "child-" + host.name
		child.Parent = lesson.Program
		host.ledger.Submit(2, child)
		host.tick(2) // both read the account before either writes it
	}
	for _, host := range hosts {
		host.pump(2)
	}
	require.Len(t, hosts[0].started, 1)
	requireRefusal(t, hosts[1], 1, bvverdict.NotRun, bvverdict.BudgetExceeded)

	hosts[0].ledger.End(3, bvledger.ProgramKey{Member: lesson.Member, Program: "child-a"}, 9)
	hosts[0].ledger.Finish(3, 1, bvledger.Result{Err: bvverdict.Refuse(bvverdict.Canceled, "ended")})
	hosts[0].pump(3)
	again := newCall(2, "r1", 1)
	again.Key.Program = "child-b"
	again.Parent = lesson.Program
	hosts[1].ledger.Submit(4, again)
	hosts[1].pump(4)
	require.Len(t, hosts[1].started, 1, "the ended sub-agent has returned its block")
}

func TestCallWithAnotherHistoryIsRefused(t *testing.T) {
	host := newHost("a", &faultyStore{})
	host.ledger.Submit(1, newCall(1, "r1", 1))
	host.pump(1)
	host.ledger.Finish(1, 1, bvledger.Result{Answer: []byte("a"), Message: []byte(`[{"role":"assistant","content":"a"}]`)})
	host.pump(1)
	other := newCall(2, "r2", 2)
	other.FullHistory = true
	other.Messages = []byte(`["r1",{"role":"assistant","content":"b"},"r2"]`)
	host.ledger.Submit(2, other)
	host.pump(2)
	requireRefusal(t, host, 2, bvverdict.NotRun, bvverdict.Conflict)
	same := newCall(3, "r3", 2)
	same.FullHistory = true
	same.Messages = []byte(`["r1", {"content":"a", "refusal":null, "role":"assistant"}, "r3"]`)
	host.ledger.Submit(2, same)
	host.pump(2)
	host.ledger.Finish(2, 3, newResult("three"))
	host.pump(2)
	host.ledger.Submit(3, newCall(4, "r4", 3))
	host.pump(3)
	require.JSONEq(t, `["r1",{"role":"assistant","content":"a"},"r3","three"]`, string(host.started[2].History))
}

// Guards against a program of a failed host that is never ended, or one of a live host
// that is.
func TestOrphanOfADeadHostIsEndedAndReleased(t *testing.T) {
	store := &faultyStore{}
	dead := newHost("dead", store)
	call := newCall(1, "r1", 1)
	call.Limits.Idle = bvclock.Minute
	dead.ledger.Submit(1, call)
	dead.pump(1)
	dead.ledger.Finish(1, 1, newResult("one"))
	dead.pump(1)
	host := newHost("a", store)
	live := true
	scan := func(now bvclock.Time) {
		rows, err := store.Scan(t.Context(), bvledger.HeadTable, "", 100)
		require.NoError(t, err)
		host.ledger.ReclaimScan(now, rows, func(string) bool { return live }, 0)
		host.pump(now)
	}
	scan(1)
	scan(bvclock.Time(1).Add(bvclock.Hour))
	require.Empty(t, host.released)
	live = false
	scan(bvclock.Time(2).Add(bvclock.Hour))
	require.Len(t, host.released, 1)
	require.Equal(t, []string{bvledger.AnyEndpoint, "engine-1"}, host.released[0].Endpoints)
}

// Guards against a handed-over program that loses its block of budget.
func TestHandedOverProgramKeepsItsBlock(t *testing.T) {
	store := &faultyStore{}
	leaving := newHost("a", store)
	call := newCall(1, "r1", 1)
	call.Limits.Budget = 31
	leaving.ledger.Submit(1, call)
	leaving.pump(1)
	leaving.ledger.Leave(1)
	leaving.pump(1)
	require.Equal(t, 1, leaving.ledger.Programs(), "a call is running")
	leaving.ledger.Finish(2, 1, newResult("one"))
	leaving.pump(2)
	require.Zero(t, leaving.ledger.Programs())
	next := newHost("b", store)
	for turn := 2; turn <= 4; turn++ {
		call := newCall(bvledger.CallID(turn), string(rune('a'+turn)), turn)
		call.Limits.Budget = 31
		next.ledger.Submit(3, call)
		next.pump(3)
		if turn < 4 {
			next.ledger.Finish(3, call.ID, newResult("x"))
			next.pump(3)
		}
	}
	require.Len(t, next.started, 3, "7 of 31 were spent by the first host, not its whole block")
}

// Guards against a damaged history that is sent to an engine.
func TestDamagedHistoryIsNeverUsed(t *testing.T) {
	host := newHost("a", &faultyStore{})
	host.ledger.Submit(1, newCall(1, "r1", 1))
	host.pump(1)
	host.ledger.Finish(1, 1, newResult("one"))
	host.pump(1)
	_, err := host.store.Commit(t.Context(), bvplatform.Transaction{Puts: []bvplatform.Put{
		{Key: bvledger.TurnKey(lesson, 1), Value: []byte(`{"request":"r1","messages":"WyJ4Il0="}`)},
	}})
	require.NoError(t, err)
	other := newHost("b", host.store)
	other.ledger.Submit(2, newCall(1, "r2", 2))
	other.pump(2)
	require.Empty(t, other.started)
	requireRefusal(t, other, 1, bvverdict.NotRun, bvverdict.PlatformUnavailable)
}
