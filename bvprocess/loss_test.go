package bvprocess

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a stream that is cut off when its program's owner is killed.
func TestCallerGetsWholeAnswerWhenOwnerIsKilledInMidStream(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, size{daemons: 3, engines: 2, engine: []string{"--decode=40", "--vary"}})
	entry, owner := cluster.daemons[0], cluster.daemons[1]
	conversation := newConversation(t, boltsKey, cluster.programOwnedBy("bolts", owner.name))
	conversation.call(entry, "200 anchors")
	conversation.turn++
	response, err := http.DefaultClient.Do(conversation.request(entry, "of M10", true))
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	tokens := 0
	text, done := readChunks(response.Body, func(string) {
		tokens++
		if tokens == 5 {
			owner.kill()
		}
	})
	require.True(t, done, "cut after %q", text)
	require.Len(t, strings.Fields(text), 40)
	conversation.recordTurn("of M10", text)
	conversation.call(entry, "and 50 more")
	require.Equal(t, 1, cluster.counter(entry, "lost_owners"))
}
