package bvledger

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvverdict"
)

// Guards against a budget that does not count the history that an engine reads.
func TestLongHistoryCountsAgainstTheBudget(t *testing.T) {
	ledger := New("host-1/a")
	call := Call{
		ID: 1, Key: ProgramKey{Member: "bolts", Program: "p"}, Request: "r1",
		Messages: []byte(`["` + strings.Repeat("x", 500) + `"]`), Cost: 600, Limits: Limits{Budget: 1000},
	}
	completeCall(t, ledger, call, 300)
	next := Call{
		ID: 2, Key: call.Key, Request: "r2", Messages: []byte(`["y"]`),
		Cost: 50, HistoryCost: 1, Limits: Limits{Budget: 820},
	}
	ledger.Submit(2, next)
	refusal := refusalOf(t, ledger, 2)
	require.Equal(t, bvverdict.BudgetExceeded, refusal.Code())
	require.Equal(t, bvverdict.NotRun, refusal.Verdict())
}

// completeCall runs one call of a new program, from its claim to its commit.
func completeCall(t *testing.T, ledger *Ledger, call Call, spent int64) {
	t.Helper()
	ledger.Submit(1, call)
	for range 10 {
		for _, effect := range ledger.Tick(1) {
			step(ledger, effect, spent)
		}
	}
	require.Zero(t, ledger.Calls())
}

func step(ledger *Ledger, effect Effect, spent int64) {
	const now = bvclock.Time(1)
	switch effect := effect.(type) {
	case Load:
		rows := make([]bvplatform.Row, len(effect.Keys))
		for i, key := range effect.Keys {
			rows[i].Key = key
		}
		ledger.HandleRows(now, effect.Key, rows, nil)
	case Commit:
		ledger.HandleCommit(now, effect.Entry.ID, int64(effect.Entry.ID), nil)
	case Start:
		ledger.Finish(now, effect.Call, Result{Answer: []byte("a"), Message: []byte(`["z"]`), Spent: spent, Endpoint: "e"})
	}
}

func refusalOf(t *testing.T, ledger *Ledger, id CallID) *bvverdict.Error {
	t.Helper()
	for range 10 {
		for _, effect := range ledger.Tick(2) {
			if refuse, ok := effect.(Refuse); ok && refuse.Call == id {
				return refuse.Err
			}
			step(ledger, effect, 0)
		}
	}
	t.Fatal("the call was not refused")
	return nil
}
