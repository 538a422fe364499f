package bvgossip

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
)

// A turn ends through one host, and the next one comes through another before any digest.
func TestHolderOfAConversationIsKnownAtOnce(t *testing.T) {
	a, b := newHost(t, "a", bvclock.Boot()), newHost(t, "b", bvclock.Boot())
	b.zone = "other" // conversations wander between zones
	meet(t, a, b)
	for _, tracker := range []*host{a, b} {
		program := trackedBy(t, tracker, a, (*trackers).ofProgram)
		b.setTrackers()
		a.ReportHolding(program, 70, 42, 17_000)
		for _, asker := range []*host{a, b} {
			require.Eventually(t, func() bool {
				asker.mutex.Lock()
				clear(asker.mutedUntil)
				asker.mutex.Unlock()
				endpoint, tokens, found := asker.QueryHolding(program, 70)
				return found && endpoint == 42 && tokens == 17_000
			}, testTimeout, time.Millisecond)
		}
	}
}

func TestHolderOfAnUnknownConversationIsNotFound(t *testing.T) {
	a := newHost(t, "a", bvclock.Boot())
	_, _, found := a.QueryHolding(7, 70) // before the first digest
	require.False(t, found)
	a.setTrackers()
	_, _, found = a.QueryHolding(7, 70)
	require.False(t, found)
}

// Conversations end without a word. What is kept of them must not grow for ever.
func TestHoldingsAreBounded(t *testing.T) {
	var held holdings
	for conversation := range uint64(mostHoldings + 10) {
		held.note(&Holding{Program: conversation, Conversation: conversation})
	}
	require.Equal(t, mostHoldings, held.conversations.Len())
	require.Equal(t, mostHoldings, held.programs.Len())
	require.Nil(t, held.find(0, 0))
}

// A sub-agent's first turn begins with what its parent said. It is to go where that is.
func TestSubAgentsFirstTurnIsFoundByItsProgram(t *testing.T) {
	var held holdings
	held.note(&Holding{Program: 1, Conversation: 10, Endpoint: 5})
	require.Equal(t, uint64(5), held.find(1, 11).GetEndpoint())
	held.note(&Holding{Program: 1, Conversation: 11, Endpoint: 6})
	require.Equal(t, uint64(5), held.find(1, 10).GetEndpoint())
	require.Equal(t, uint64(6), held.find(1, 12).GetEndpoint())
	require.Nil(t, held.find(2, 20))
}
