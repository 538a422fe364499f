package bvprocess

import (
	"io"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// readLog returns the log of a process.
func (process *process) readLog() string {
	content, err := os.ReadFile(process.logPath)
	require.NoError(process.t, err)
	return string(content)
}

// callTraced makes a call and returns the answer's status and trace id.
func (conversation *conversation) callTraced(daemon *process, text string) (status int, trace string) {
	conversation.turn++
	response, err := http.DefaultClient.Do(conversation.request(daemon, text, false))
	require.NoError(conversation.t, err)
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Header.Get("Bv-Trace")
}

// startClusterAtLogLevel starts a cluster whose daemons log at the given level.
func startClusterAtLogLevel(t *testing.T, level string) *cluster {
	cluster := &cluster{t: t}
	cluster.platform = start(t, "platform", nil, "standin", "platform")
	cluster.engines = append(cluster.engines, cluster.startEngine(0, "--instant"))
	for i := range 3 {
		cluster.daemons = append(cluster.daemons, cluster.startDaemon(i, flag("log-level", level)))
	}
	cluster.waitReady()
	return cluster
}

// Guards against prompts and members' names in logs.
func TestLogsAtTraceLevelHoldNoPromptAndNoMember(t *testing.T) {
	t.Parallel()
	cluster := startClusterAtLogLevel(t, "trace")
	cluster.writeTable()
	for i, key := range []string{piranKey, boltsKey} {
		conversation := newConversation(t, key, "secretprogram")
		for _, daemon := range cluster.daemons {
			status, _ := conversation.callTraced(daemon, "secretprompt")
			require.Equal(t, http.StatusOK, status)
		}
		conversation.turn = 0
		status, _ := conversation.callTraced(cluster.daemons[i], "secretprompt of another body under the first id")
		require.NotEqual(t, http.StatusOK, status)
		conversation.endProgram(cluster.daemons[i])
	}
	cluster.runTableCommand(cluster.daemons[0], piranOperatorKey, "set", "piran", "budget=-1")
	for _, daemon := range cluster.daemons {
		log := daemon.readLog()
		require.Contains(t, log, "owner asked")
		for _, hidden := range []string{"secret", "piran", "bolts", "-key-"} {
			require.NotContains(t, log, hidden, daemon.name)
		}
	}
}

// A trace id must find a request in the logs of all hosts that handled it.
func TestOneIdFindsARequestInTheLogsOfAllItsHosts(t *testing.T) {
	t.Parallel()
	cluster := startClusterAtLogLevel(t, "debug")
	conversation := newConversation(t, boltsKey, cluster.programOwnedBy("bolts", "host-2"))
	status, _ := conversation.callTraced(cluster.daemons[1], "200 anchors")
	require.Equal(t, http.StatusOK, status)
	conversation.turn = 0
	status, trace := conversation.callTraced(cluster.daemons[0], "another body under the first id")
	require.NotEqual(t, http.StatusOK, status)
	require.Len(t, trace, 32)
	require.Eventually(t, func() bool {
		return strings.Count(cluster.daemons[0].readLog(), trace) >= 2 && strings.Contains(cluster.daemons[2].readLog(), trace)
	}, testTimeout, poll)
	require.Contains(t, cluster.daemons[0].readLog(), "verdict=\"not run\"")
}

// At the default level a busy host must not write a log line for each request.
func TestRequestsLeaveNoLineAtInfoLevel(t *testing.T) {
	t.Parallel()
	cluster := startClusterAtLogLevel(t, "info")
	conversation := newConversation(t, boltsKey, "quote")
	before := cluster.daemons[0].readLog()
	for range 5 {
		conversation.call(cluster.daemons[0], "more")
	}
	conversation.turn = 0
	status, _ := conversation.callTraced(cluster.daemons[0], "another body under the first id")
	require.NotEqual(t, http.StatusOK, status)
	require.Equal(t, before, cluster.daemons[0].readLog())
}
