package bvprocess

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a program that is served through some hosts only.
func TestProgramIsServedThroughEveryHost(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, size{daemons: 3, engines: 2, engine: []string{"--instant"}})
	conversation := newConversation(t, piranKey, "lesson")
	for _, daemon := range cluster.daemons {
		conversation.say(daemon, "a lesson tomorrow at nine")
	}
	require.Len(t, conversation.kept, 6)
}

func TestStreamEndsWithDone(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, size{daemons: 3, engines: 1, engine: []string{"--instant"}})
	conversation := newConversation(t, boltsKey, "quote")
	conversation.turn = 1
	response, err := http.DefaultClient.Do(conversation.request(cluster.daemons[0], "200 anchors M10", true))
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	text, done := chunks(response.Body, nil)
	require.True(t, done, text)
	conversation.take("200 anchors M10", text)
}

// Guards against a history that an engine is sent twice.
func TestHistoryIsNotDoubledWhenTheCallerSendsItAll(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, size{daemons: 3, engines: 1, engine: []string{"--instant"}})
	conversation := newConversation(t, boltsKey, "account")
	conversation.full = true
	for range 3 {
		conversation.say(cluster.daemons[0], "and the anchors?")
	}
}
