package bvledger_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvledger"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvverdict"
)

var lesson = bvledger.ProgramKey{Member: "piran", Program: "lesson"}

func newCall(id bvledger.CallID, request string, turn int) bvledger.Call {
	return bvledger.Call{
		ID: id, Key: lesson, Request: request, Turn: turn, Digest: request,
		Messages: []byte(`["` + request + `"]`), Cost: 10,
	}
}

func newResult(text string) bvledger.Result {
	return bvledger.Result{Answer: []byte(text), Message: []byte(`["` + text + `"]`), Spent: 7, Endpoint: "engine-1"}
}

func requireAnswer(t *testing.T, host *host, call bvledger.CallID, answer string) {
	t.Helper()
	require.NotNil(t, host.outcomes[call].answer, "%+v", host.outcomes[call].refuse)
	require.Equal(t, answer, string(host.outcomes[call].answer.Answer))
}

func requireRefusal(t *testing.T, host *host, call bvledger.CallID, verdict bvverdict.Verdict, code bvverdict.Code) {
	t.Helper()
	refuse := host.outcomes[call].refuse
	require.NotNil(t, refuse)
	require.Equal(t, code, refuse.Err.Code(), refuse.Err.Error())
	require.Equal(t, verdict, refuse.Err.Verdict(), refuse.Err.Error())
}

func TestCallRunsAfterClaimAndAnswersAfterCommit(t *testing.T) {
	host := newHost("a", &faultyStore{})
	host.ledger.Submit(1, newCall(1, "r1", 1))
	host.pump(1)
	require.Len(t, host.started, 1)
	start := host.takeStarted()
	require.Equal(t, "[]", string(start.History))
	require.EqualValues(t, 1, start.Epoch)
	require.True(t, host.ledger.MayStart(1, 1))
	host.ledger.Finish(2, 1, newResult("hello"))
	require.Empty(t, host.outcomes)
	host.pump(2)
	requireAnswer(t, host, 1, "hello")

	host.ledger.Submit(3, newCall(2, "r2", 2))
	host.pump(3)
	require.Equal(t, `["r1","hello"]`, string(host.takeStarted().History))
	writes, _ := host.store.Counts()
	require.EqualValues(t, 2, writes, "one claim, one turn; the second call needs no write to start")
}

func TestRepeatGetsTheKeptAnswer(t *testing.T) {
	host := newHost("a", &faultyStore{})
	host.ledger.Submit(1, newCall(1, "r1", 1))
	host.pump(1)
	host.ledger.Finish(2, 1, newResult("hello"))
	host.pump(2)
	host.ledger.Submit(3, newCall(2, "r1", 1))
	host.pump(3)
	requireAnswer(t, host, 2, "hello")
	require.True(t, host.outcomes[2].answer.Repeated)
	require.Len(t, host.started, 1)
}

// Guards against a repeat that runs again at another host.
func TestRepeatAtAnotherHostGetsTheKeptAnswer(t *testing.T) {
	store := &faultyStore{}
	first := newHost("a", store)
	first.ledger.Submit(1, newCall(1, "r1", 1))
	first.pump(1)
	first.ledger.Finish(2, 1, newResult("hello"))
	first.pump(2)
	second := newHost("b", store)
	second.ledger.Submit(3, newCall(1, "r1", 1))
	second.pump(3)
	requireAnswer(t, second, 1, "hello")
	require.Empty(t, second.started)
	require.Zero(t, second.ledger.Programs())
}

func TestRequestIDWithAnotherBodyIsRefused(t *testing.T) {
	host := newHost("a", &faultyStore{})
	host.ledger.Submit(1, newCall(1, "r1", 1))
	other := newCall(2, "r1", 1)
	other.Digest = "other"
	host.ledger.Submit(1, other)
	host.pump(1)
	requireRefusal(t, host, 2, bvverdict.NotRun, bvverdict.Conflict)
}

func TestLaterTurnWaitsForTheOneBefore(t *testing.T) {
	host := newHost("a", &faultyStore{})
	host.ledger.Submit(1, newCall(2, "r2", 2))
	host.pump(1)
	require.Empty(t, host.started)
	host.ledger.Submit(2, newCall(1, "r1", 1))
	host.pump(2)
	require.EqualValues(t, 1, host.takeStarted().Call)
	host.ledger.Finish(3, 1, newResult("one"))
	host.pump(3)
	require.EqualValues(t, 2, host.takeStarted().Call)
}

func TestLaterTurnIsRefusedAfterItsWait(t *testing.T) {
	host := newHost("a", &faultyStore{})
	host.ledger.Submit(0, newCall(2, "r2", 2))
	host.pump(0)
	now := bvclock.Time(0).Add(bvledger.DefaultOrderTimeout)
	next, ok := host.ledger.Next()
	require.True(t, ok)
	require.Equal(t, now, next)
	host.pump(now)
	requireRefusal(t, host, 2, bvverdict.NotRun, bvverdict.TurnOutOfOrder)
}

// Guards against a stale owner that changes the history.
func TestStaleOwnerKeepsNothing(t *testing.T) {
	store := &faultyStore{}
	stale := newHost("a", store)
	stale.ledger.Submit(1, newCall(1, "r1", 1))
	stale.pump(1)
	fresh := newHost("b", store)
	fresh.ledger.Submit(2, newCall(1, "r1", 1))
	fresh.pump(2)
	require.EqualValues(t, 2, fresh.takeStarted().Epoch)
	fresh.ledger.Finish(3, 1, newResult("fresh"))
	fresh.pump(3)
	requireAnswer(t, fresh, 1, "fresh")
	stale.ledger.Finish(4, 1, newResult("stale"))
	stale.pump(4)
	requireRefusal(t, stale, 1, bvverdict.Ran, bvverdict.NotOwner)
	stale.ledger.Submit(5, newCall(2, "r1", 1))
	stale.pump(5)
	requireAnswer(t, stale, 2, "fresh")
}

// Guards against the verdict "not run" for a fetch of a request that runs at another
// host.
func TestFetchIsNeverRefusedAsNotRun(t *testing.T) {
	host := newHost("a", &faultyStore{})
	host.ledger.Submit(0, newCall(1, "r2", 2))
	host.ledger.Fetch(0, 2, lesson, "r2")
	host.pump(0)
	host.pump(bvclock.Time(0).Add(bvledger.DefaultOrderTimeout))
	requireRefusal(t, host, 1, bvverdict.NotRun, bvverdict.TurnOutOfOrder)
	requireRefusal(t, host, 2, bvverdict.MayHaveRun, bvverdict.TurnOutOfOrder)
}

// Guards against sub-agents that conflict on their parent's account indefinitely.
func TestSubAgentsResolveAConflictOnTheirParentsAccount(t *testing.T) {
	store := &faultyStore{}
	parent := newHost("a", store)
	call := newCall(1, "r1", 1)
	call.Limits.Budget = 1000
	parent.ledger.Submit(1, call)
	parent.pump(1)
	children := newHost("b", store)
	for i, name := range []string{"c1", "c2", "c3"} {
		call := newCall(bvledger.CallID(i+1), "r1", 1)
		call.Key.Program = name
		call.Parent = lesson.Program
		children.ledger.Submit(2, call)
	}
	children.tick(2) // the children's host has read the account
	parent.ledger.Finish(3, 1, newResult("one"))
	call = newCall(2, "r2", 2)
	call.Limits.Budget = 900 // changes the account row
	parent.ledger.Submit(3, call)
	parent.pump(3)
	children.pump(4)
	require.Len(t, children.started, 3)
}

// Guards against a stale owner that has nothing to write and so never detects its
// successor.
func TestStaleOwnerWithoutWritesIsDetectedByALaterTurn(t *testing.T) {
	store := &faultyStore{}
	stale := newHost("a", store)
	stale.ledger.Submit(1, newCall(1, "r1", 1))
	stale.pump(1)
	stale.ledger.Finish(1, 1, newResult("one"))
	stale.pump(1)
	fresh := newHost("b", store)
	fresh.ledger.Submit(2, newCall(1, "r2", 2))
	fresh.pump(2)
	fresh.ledger.Finish(2, 1, newResult("two"))
	fresh.pump(2)

	stale.ledger.Submit(3, newCall(2, "r3", 3))
	stale.pump(3)
	require.Len(t, stale.started, 2)
	require.Equal(t, `["r1","one","r2","two"]`, string(stale.started[1].History))
}

// Guards against a booking that is missing from the history of the next owner.
func TestUnrepeatableAnswerOfAFormerOwnerJoinsTheHistory(t *testing.T) {
	store := &faultyStore{}
	former := newHost("a", store)
	booking := newCall(1, "book", 1)
	booking.Unrepeatable = true
	former.ledger.Submit(1, booking)
	former.pump(1)
	require.True(t, former.ledger.MayStart(1, 1))
	fresh := newHost("b", store)
	fresh.ledger.Submit(2, booking)
	fresh.pump(2)
	requireRefusal(t, fresh, 1, bvverdict.MayHaveRun, bvverdict.AlreadySent)
	fresh.ledger.Submit(2, newCall(2, "other", 1))
	fresh.pump(2)
	fresh.takeStarted()
	fresh.ledger.Finish(2, 2, bvledger.Result{Err: bvverdict.Refuse(bvverdict.Overloaded, "full")})
	fresh.pump(2)

	former.ledger.Finish(3, 1, newResult("booked"))
	former.pump(3)
	requireAnswer(t, former, 1, "booked")
	fresh.ledger.Submit(4, newCall(3, "r2", 2))
	fresh.pump(4)
	require.Len(t, fresh.started, 1)
	require.Equal(t, `["book","booked"]`, string(fresh.started[0].History))
}

// Guards against a sub-agent that spends without a draw from its parent's account.
func TestSubAgentDrawsFromItsParentAlsoAfterAnEarlyFetch(t *testing.T) {
	host := newHost("a", &faultyStore{})
	parent := newCall(1, "r1", 1)
	parent.Limits.Budget = 100
	host.ledger.Submit(1, parent)
	host.pump(1)
	child := newCall(3, "r1", 1)
	child.Key.Program = "child"
	child.Parent = lesson.Program
	child.Cost = 100
	host.ledger.Fetch(2, 2, child.Key, "r1")
	host.ledger.Submit(2, child)
	host.pump(2)
	requireRefusal(t, host, 3, bvverdict.NotRun, bvverdict.BudgetExceeded)
}

// Guards against an answered booking that is removed from the head's pending list before
// its turn is durable.
func TestAnsweredRecordStaysPendingUntilItsTurnIsDurable(t *testing.T) {
	setSeed(t, "573640033")
	setRuns(t, "1")
	rapid.Check(t, func(t *rapid.T) { checkPromises(t, newMachine()) })
}

// Guards against a late result of an earlier read that is taken for the program's state.
func TestLateRowsAreNotTakenForTheState(t *testing.T) {
	host := newHost("a", &faultyStore{})
	host.ledger.Submit(1, newCall(1, "r1", 1))
	host.pump(1)
	host.ledger.Finish(1, 1, newResult("one"))
	host.pump(1)
	again := newHost("b", host.store)
	again.ledger.End(2, lesson, 1)
	again.ledger.HandleRows(2, lesson, []bvplatform.Row{{Key: bvledger.AccountKey(lesson)}}, nil)
	again.pump(2)
	require.NotNil(t, again.outcomes[1].answer)
}

// Guards against a stale owner that adds a booking without its messages.
func TestStaleOwnerDoesNotAddAKeptBookingWithoutItsMessages(t *testing.T) {
	store := &faultyStore{}
	booking := newCall(1, "book", 1)
	booking.Unrepeatable = true
	first := newHost("c", store)
	first.ledger.Submit(1, booking)
	first.pump(1)
	stale := newHost("a", store)
	stale.ledger.Submit(2, newCall(1, "r1", 1))
	stale.pump(2)
	stale.ledger.Finish(2, 1, bvledger.Result{Err: bvverdict.Refuse(bvverdict.Overloaded, "full")})
	stale.pump(2)
	first.ledger.Finish(3, 1, bvledger.Result{Err: bvverdict.Refuse(bvverdict.Overloaded, "full")})
	first.pump(3)
	fresh := newHost("b", store)
	fresh.ledger.Submit(4, booking)
	fresh.pump(4)
	fresh.ledger.Finish(4, 1, newResult("booked"))
	fresh.pump(4)
	requireAnswer(t, fresh, 1, "booked")

	stale.ledger.Submit(5, newCall(2, "r2", 2))
	stale.pump(5)
	require.Len(t, stale.started, 2)
	require.Equal(t, `["book","booked"]`, string(stale.started[1].History))
}
