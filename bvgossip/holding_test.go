package bvgossip

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
)

// conversationTrackedBy returns a conversation that a host is the tracker of.
func conversationTrackedBy(t testing.TB, host, asker *host) uint64 {
	asker.setTrackers()
	for conversation := range uint64(1000) {
		asker.mutex.Lock()
		tracker, found := asker.trackers.of(allZones, conversation)
		asker.mutex.Unlock()
		if found && tracker == host.address {
			return conversation
		}
	}
	require.Fail(t, "the host tracks nothing")
	return 0
}

// A turn ends through one host, and the next one comes through another before any digest.
func TestHolderOfAConversationIsKnownAtOnce(t *testing.T) {
	a, b := newHost(t, "a", bvclock.Boot()), newHost(t, "b", bvclock.Boot())
	b.zone = "other" // conversations wander between zones
	meet(t, a, b)
	for _, tracker := range []*host{a, b} {
		conversation := conversationTrackedBy(t, tracker, a)
		b.setTrackers()
		a.Holds(conversation, 42, 17_000)
		for _, asker := range []*host{a, b} {
			require.Eventually(t, func() bool {
				asker.mutex.Lock()
				clear(asker.mutedUntil)
				asker.mutex.Unlock()
				endpoint, tokens, found := asker.Holder(conversation)
				return found && endpoint == 42 && tokens == 17_000
			}, patience, time.Millisecond)
		}
	}
}

func TestHolderOfAnUnknownConversationIsNotFound(t *testing.T) {
	a := newHost(t, "a", bvclock.Boot())
	_, _, found := a.Holder(7) // before the first digest
	require.False(t, found)
	a.setTrackers()
	_, _, found = a.Holder(7)
	require.False(t, found)
}

// Conversations end without a word. What is kept of them must not grow for ever.
func TestHoldingsAreBounded(t *testing.T) {
	var held holdings
	for conversation := range uint64(mostHoldings + 10) {
		held.note(&Holding{Conversation: conversation})
	}
	require.Equal(t, mostHoldings, held.byConversation.Len())
	_, found := held.find(0)
	require.False(t, found)
}
