package bvgossip

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
)

// Guards against a turn whose conversation is unknown because it arrives at another host
// than the last one, before any digest.
func TestHolderOfAConversationIsKnownAtOnce(t *testing.T) {
	a, b := newHost(t, "a", bvclock.Boot()), newHostInZone(t, "b", "other", bvclock.Boot()) // conversations move between zones
	exchangeDigests(t, a, b)
	for _, tracker := range []*host{a, b} {
		program := keyTrackedBy(t, tracker, a, (*trackers).ofProgram)
		b.updateTrackers()
		a.ReportHolding(program, 70, 42, 17_000)
		for _, asker := range []*host{a, b} {
			require.Eventually(t, func() bool {
				asker.mutex.Lock()
				clear(asker.backoffUntil)
				asker.mutex.Unlock()
				endpoint, tokens, found, answered, _ := asker.QueryHolding(program, 70)
				return found && answered && endpoint == 42 && tokens == 17_000
			}, testTimeout, time.Millisecond)
		}
	}
}

func TestHolderOfAnUnknownConversationIsNotFound(t *testing.T) {
	a := newHost(t, "a", bvclock.Boot())
	_, _, found, answered, _ := a.QueryHolding(7, 70) // before the first digest
	require.False(t, found)
	require.False(t, answered)
	a.updateTrackers()
	_, _, found, answered, _ = a.QueryHolding(7, 70)
	require.False(t, found)
	require.True(t, answered)
}

// Guards against unbounded memory: the end of a conversation is not reported.
func TestHoldingsAreBounded(t *testing.T) {
	var held holdings
	for conversation := range uint64(maxHoldings + 10) {
		held.add(&Holding{Program: conversation, Conversation: conversation})
	}
	require.Equal(t, maxHoldings, held.conversations.Len())
	require.Equal(t, maxHoldings, held.programs.Len())
	require.Nil(t, held.find(0, 0))
}

// Guards against a sub-agent's first turn that goes to an endpoint without its parent's
// conversation, which is its prompt's prefix.
func TestSubAgentsFirstTurnIsFoundByItsProgram(t *testing.T) {
	var held holdings
	held.add(&Holding{Program: 1, Conversation: 10, Endpoint: 5})
	require.Equal(t, uint64(5), held.find(1, 11).GetEndpoint())
	held.add(&Holding{Program: 1, Conversation: 11, Endpoint: 6})
	require.Equal(t, uint64(5), held.find(1, 10).GetEndpoint())
	require.Equal(t, uint64(6), held.find(1, 12).GetEndpoint())
	require.Nil(t, held.find(2, 20))
}
