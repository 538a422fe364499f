package bvprocess

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against SIGHUP, and repeated SIGTERM, that end a daemon and cut its requests.
func TestSignalsWhileServingAndStoppingCutNoCall(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, size{daemons: 1, engines: 1, engine: []string{"--decode=20"}})
	daemon := cluster.daemons[0]
	conversation := newConversation(t, piranKey, "lesson")
	conversation.turn++
	response, err := http.DefaultClient.Do(conversation.request(daemon, "next", true))
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	require.Equal(t, http.StatusOK, response.StatusCode)
	daemon.signal(syscall.SIGHUP)
	daemon.signal(syscall.SIGTERM)
	require.Eventually(t, func() bool { return !isReady(daemon) }, testTimeout, poll)
	daemon.signal(syscall.SIGHUP)
	daemon.signal(syscall.SIGTERM)
	answer, done := readChunks(response.Body, nil)
	require.True(t, done, answer)
	require.Zero(t, daemon.wait())
}

// Guards against a daemon that a person at a terminal can't end while it stops gracefully.
func TestSecondInterruptEndsTheDaemon(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, size{daemons: 1, engines: 1})
	daemon := cluster.daemons[0]
	daemon.signal(syscall.SIGINT)
	require.Eventually(t, func() bool { return !isReady(daemon) }, testTimeout, poll)
	start := time.Now()
	daemon.signal(syscall.SIGINT)
	require.Equal(t, 130, daemon.wait())
	require.Less(t, time.Since(start), time.Second)
}
