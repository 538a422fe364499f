package bvprocess

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a program that only some hosts can serve.
func TestProgramIsServedThroughEveryHost(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, size{daemons: 3, engines: 2, engine: []string{"--instant"}})
	conversation := newConversation(t, piranKey, "lesson")
	for _, daemon := range cluster.daemons {
		conversation.call(daemon, "a lesson tomorrow at nine")
	}
	require.Len(t, conversation.history, 6)
}

func TestStreamEndsWithDone(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, size{daemons: 3, engines: 1, engine: []string{"--instant"}})
	conversation := newConversation(t, boltsKey, "quote")
	conversation.turn = 1
	response, err := http.DefaultClient.Do(conversation.request(cluster.daemons[0], "200 anchors M10", true))
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	text, done := readChunks(response.Body, nil)
	require.True(t, done, text)
	conversation.recordTurn("200 anchors M10", text)
}

// Guards against sending an engine the history twice.
func TestHistoryIsNotDoubledWhenTheCallerSendsItAll(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, size{daemons: 3, engines: 1, engine: []string{"--instant"}})
	conversation := newConversation(t, boltsKey, "account")
	conversation.full = true
	for range 3 {
		conversation.call(cluster.daemons[0], "and the anchors?")
	}
}
