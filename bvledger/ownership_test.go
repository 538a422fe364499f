package bvledger

import (
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
)

// Guards against a host with outdated state that refuses a turn as out of order.
func TestCallThatIsAheadOfStaleMemoryIsRunAfterAReload(t *testing.T) {
	memory := &bvplatform.Memory{}
	first := New("host-1/a")
	second := New("host-2/a")
	turn := func(number int, request string) Call {
		return Call{
			ID: CallID(number), Key: ProgramKey{Member: "piran", Program: "lesson"}, Turn: number,
			Request: request, Digest: request, Messages: []byte(`["` + request + `"]`), Cost: 1,
		}
	}
	require.True(t, isAnswered(t, first, memory, turn(1, "r1")))
	require.True(t, isAnswered(t, second, memory, turn(2, "r2")))
	require.True(t, isAnswered(t, first, memory, turn(3, "r3")))
}

// Guards against a host with outdated state that does not find an answer.
func TestFetchAtStaleMemoryFindsTheAnswer(t *testing.T) {
	memory := &bvplatform.Memory{}
	first := New("host-1/a")
	second := New("host-2/a")
	key := ProgramKey{Member: "piran", Program: "lesson"}
	call := Call{ID: 1, Key: key, Turn: 1, Request: "r1", Digest: "r1", Messages: []byte(`["r1"]`), Cost: 1}
	require.True(t, isAnswered(t, first, memory, call))
	call.ID, call.Turn, call.Request, call.Digest = 2, 2, "r2", "r2"
	require.True(t, isAnswered(t, second, memory, call))
	first.Fetch(1, 3, key, "r2")
	require.True(t, pump(t, first, memory, 3))
}

// Guards against a call whose predecessor has not arrived and that is run or refused
// instead of waiting.
func TestCallThatIsTooEarlyWaits(t *testing.T) {
	memory := &bvplatform.Memory{}
	ledger := New("host-1/a")
	early := Call{
		ID: 2, Key: ProgramKey{Member: "piran", Program: "lesson"}, Turn: 2,
		Request: "r2", Digest: "r2", Messages: []byte(`["r2"]`), Cost: 1,
	}
	require.False(t, isAnswered(t, ledger, memory, early))
	first := early
	first.ID, first.Turn, first.Request, first.Digest = 1, 1, "r1", "r1"
	require.True(t, isAnswered(t, ledger, memory, first))
}

// isAnswered runs a call on a platform without faults, at a constant time, and reports
// whether it was answered.
func isAnswered(t *testing.T, ledger *Ledger, memory *bvplatform.Memory, call Call) bool {
	t.Helper()
	ledger.Submit(1, call)
	return pump(t, ledger, memory, call.ID)
}

// pump carries out effects and reports whether a call was answered.
func pump(t *testing.T, ledger *Ledger, memory *bvplatform.Memory, id CallID) bool {
	t.Helper()
	const now = bvclock.Time(1)
	done := false
	for range 20 {
		for _, effect := range ledger.Tick(now) {
			switch effect := effect.(type) {
			case Load:
				rows, err := memory.Read(t.Context(), effect.Keys...)
				require.NoError(t, err)
				turns, err := memory.Scan(t.Context(), TurnPrefix(effect.Key), "", 100)
				require.NoError(t, err)
				ledger.HandleRows(now, effect.Key, append(rows, turns...), nil)
			case Commit:
				version, err := memory.Commit(t.Context(), bvplatform.Transaction{Checks: effect.Entry.Checks, Puts: effect.Entry.Puts})
				ledger.HandleCommit(now, effect.Entry.ID, version, err)
			case Start:
				ledger.Finish(now, effect.Call, Result{Answer: []byte("a"), Message: []byte(`["z"]`), Endpoint: "e"})
			case Answer:
				done = done || effect.Call == id
			case Refuse:
				t.Logf("call %d refused: %v", effect.Call, effect.Err)
			}
		}
	}
	return done
}
