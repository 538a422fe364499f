package bvmodel_test

import (
	"testing"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvmodel"
	"github.com/stretchr/testify/require"
)

// testConfig is an engine that prefills one token a millisecond and decodes ten a
// second.
func testConfig() bvmodel.Config {
	return bvmodel.Config{Slots: 2, CacheTokens: 1000, PrefillTokensPerSecond: 1000, DecodeTokensPerSecond: 10, Slowdown: 1}
}

func call(id bvmodel.CallID, member, program string, prompt, history, output int) bvmodel.Call {
	return bvmodel.Call{ID: id, Salt: member, Prefix: program, PromptTokens: prompt, PrefixTokens: history, OutputTokens: output}
}

func untilIdle(engine *bvmodel.Engine) []bvmodel.Event {
	var events []bvmodel.Event
	for at, ok := engine.Next(); ok; at, ok = engine.Next() {
		events = append(events, engine.Advance(at)...)
	}
	return events
}

func ofKind(events []bvmodel.Event, kind bvmodel.EventKind) []bvmodel.Event {
	var found []bvmodel.Event
	for _, event := range events {
		if event.Kind == kind {
			found = append(found, event)
		}
	}
	return found
}

func TestCallAloneTakesPrefillAndThenDecode(t *testing.T) {
	engine := bvmodel.New(testConfig())
	engine.Submit(100, call(1, "m", "p", 200, 0, 11))
	events := untilIdle(engine)
	require.Equal(t, bvclock.Time(300), ofKind(events, bvmodel.FirstToken)[0].At)
	require.Equal(t, bvclock.Time(1300), ofKind(events, bvmodel.Finished)[0].At)
}

func TestCallsSideBySideDecodeSlower(t *testing.T) {
	engine := bvmodel.New(testConfig())
	engine.Submit(0, call(1, "m", "p", 0, 0, 11))
	engine.Submit(0, call(2, "m", "q", 0, 0, 11))
	finished := ofKind(untilIdle(engine), bvmodel.Finished)
	require.Equal(t, bvclock.Time(2000), finished[0].At)
	require.Equal(t, bvclock.Time(2000), finished[1].At)
}

func TestCallBeyondTheSlotsWaitsAndTheHigherPriorityStartsFirst(t *testing.T) {
	config := testConfig()
	config.Slots = 1
	engine := bvmodel.New(config)
	engine.Submit(0, call(1, "m", "p", 0, 0, 11))
	engine.Submit(0, call(2, "m", "q", 0, 0, 1))
	urgent := call(3, "m", "r", 0, 0, 1)
	urgent.Priority = 1
	engine.Submit(0, urgent)
	require.Equal(t, 2, engine.WaitingCalls())
	finished := ofKind(untilIdle(engine), bvmodel.Finished)
	require.Equal(t, bvmodel.CallID(3), finished[1].Call)
	require.Equal(t, bvmodel.CallID(2), finished[2].Call)
}

func TestNextTurnFindsItsHistoryCached(t *testing.T) {
	engine := bvmodel.New(testConfig())
	engine.Submit(0, call(1, "m", "p", 200, 0, 11))
	untilIdle(engine)
	engine.Submit(5000, call(2, "m", "p", 261, 211, 1))
	require.Equal(t, 211, ofKind(untilIdle(engine), bvmodel.Finished)[0].CachedTokens)
	require.Zero(t, engine.Waste(5000).Total())
}

// Guards against a cache that reveals one member's prompts to another.
func TestMembersNeverShareAPrefix(t *testing.T) {
	engine := bvmodel.New(testConfig())
	engine.Submit(0, call(1, "m", "p", 200, 0, 11))
	untilIdle(engine)
	engine.Submit(5000, call(2, "rival", "p", 200, 200, 1))
	events := untilIdle(engine)
	require.Zero(t, ofKind(events, bvmodel.Finished)[0].CachedTokens)
	require.Equal(t, bvclock.Time(5200), ofKind(events, bvmodel.FirstToken)[0].At)
}

func TestLeastRecentPrefixIsEvictedAndCountedAsWaste(t *testing.T) {
	engine := bvmodel.New(testConfig())
	engine.Submit(0, call(1, "m", "old", 399, 0, 1))
	untilIdle(engine)
	engine.Submit(1000, call(2, "m", "new", 399, 0, 1))
	untilIdle(engine)
	engine.Submit(2399, call(3, "m", "third", 399, 0, 1))
	evicted := ofKind(untilIdle(engine), bvmodel.Evicted)
	require.Len(t, evicted, 1)
	require.Equal(t, "old", evicted[0].Prefix)
	require.Equal(t, bvmodel.Waste{Evicted: 400 * 2000}, engine.Waste(5000))
}

func TestPrefixOfEndedProgramIsWasteUntilReleased(t *testing.T) {
	engine := bvmodel.New(testConfig())
	engine.Submit(0, call(1, "m", "p", 100, 0, 1))
	untilIdle(engine)
	engine.EndProgram(500, "m", "p")
	require.Equal(t, bvmodel.Waste{Ended: 101 * 500}, engine.Waste(1000))
	engine.Release(1500, "m", "p")
	require.Equal(t, bvmodel.Waste{Ended: 101 * 1000}, engine.Waste(9000))
	require.Zero(t, engine.CachedTokens())
}

func TestCallWaitsForMemoryOfRunningCalls(t *testing.T) {
	engine := bvmodel.New(testConfig())
	engine.Submit(0, call(1, "m", "p", 500, 0, 100))
	engine.Submit(0, call(2, "m", "q", 500, 0, 100))
	require.Equal(t, 1, engine.RunningCalls())
	require.Len(t, ofKind(untilIdle(engine), bvmodel.Finished), 2)
}

func TestCanceledCallFreesItsSlotAndKeepsItsPrompt(t *testing.T) {
	engine := bvmodel.New(testConfig())
	engine.Submit(0, call(1, "m", "p", 100, 0, 1000))
	require.True(t, engine.Cancel(600, 1))
	require.False(t, engine.Cancel(600, 1))
	require.Zero(t, engine.RunningCalls())
	require.Equal(t, 100, engine.CachedPrefixTokens("m", "p"))
}

func TestCrashLosesCallsAndCache(t *testing.T) {
	engine := bvmodel.New(testConfig())
	engine.Submit(0, call(1, "m", "p", 100, 0, 1))
	untilIdle(engine)
	engine.Submit(1000, call(2, "m", "q", 100, 0, 100))
	engine.Submit(1000, call(3, "m", "r", 900, 0, 100))
	require.Equal(t, []bvmodel.CallID{2, 3}, engine.Crash(1050))
	require.Zero(t, engine.CachedPrefixTokens("m", "p"))
	_, more := engine.Next()
	require.True(t, more, "Advance has not returned the start of call 2 yet")
	require.Len(t, engine.Advance(1050), 1)
}

func TestProducedTokensCountsGeneratedTokens(t *testing.T) {
	engine := bvmodel.New(testConfig())
	engine.Submit(0, call(1, "m", "p", 100, 0, 50))
	engine.Advance(1100)
	require.Equal(t, 11, engine.ProducedTokens(1))
}

func TestServiceIsCountedByMember(t *testing.T) {
	engine := bvmodel.New(testConfig())
	engine.Submit(0, call(1, "m", "p", 100, 0, 50))
	engine.Advance(1100)
	require.InDelta(t, 10, engine.CallService(1).Decoded, 1e-6)
	require.InDelta(t, 100, engine.MemberService("m").Prefilled, 1e-6)
	require.Zero(t, engine.MemberService("rival"))
}
