package bvprocess

import (
	"io"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// logged returns what a process has written to its log.
func (process *process) logged() string {
	content, err := os.ReadFile(process.log)
	require.NoError(process.t, err)
	return string(content)
}

// sayTraced makes a call and returns the answer's status and trace.
func (conversation *conversation) sayTraced(daemon *process, text string) (status int, trace string) {
	conversation.turn++
	response, err := http.DefaultClient.Do(conversation.request(daemon, text, false))
	require.NoError(conversation.t, err)
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Header.Get("Bv-Trace")
}

// startTalkative starts a cluster whose daemons log at a level.
func startTalkative(t *testing.T, level string) *cluster {
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
	cluster := startTalkative(t, "trace")
	cluster.writeTable()
	for i, key := range []string{piranKey, boltsKey} {
		conversation := newConversation(t, key, "secretprogram")
		for _, daemon := range cluster.daemons {
			status, _ := conversation.sayTraced(daemon, "secretprompt")
			require.Equal(t, http.StatusOK, status)
		}
		conversation.turn = 0
		status, _ := conversation.sayTraced(cluster.daemons[i], "secretprompt of another body under the first id")
		require.NotEqual(t, http.StatusOK, status)
		conversation.end(cluster.daemons[i])
	}
	cluster.table(cluster.daemons[0], piranOperatorKey, "set", "piran", "budget=-1")
	for _, daemon := range cluster.daemons {
		log := daemon.logged()
		require.Contains(t, log, "owner asked")
		for _, hidden := range []string{"secret", "piran", "bolts", "-key-"} {
			require.NotContains(t, log, hidden, daemon.name)
		}
	}
}

// Guards against a request that can't be found in the logs of its hosts.
func TestOneIdFindsARequestInTheLogsOfAllItsHosts(t *testing.T) {
	t.Parallel()
	cluster := startTalkative(t, "debug")
	conversation := newConversation(t, boltsKey, cluster.programOwnedBy("bolts", "host-2"))
	status, _ := conversation.sayTraced(cluster.daemons[1], "200 anchors")
	require.Equal(t, http.StatusOK, status)
	conversation.turn = 0
	status, trace := conversation.sayTraced(cluster.daemons[0], "another body under the first id")
	require.NotEqual(t, http.StatusOK, status)
	require.Len(t, trace, 32)
	require.Eventually(t, func() bool {
		return strings.Count(cluster.daemons[0].logged(), trace) >= 2 && strings.Contains(cluster.daemons[2].logged(), trace)
	}, testTimeout, poll)
	require.Contains(t, cluster.daemons[0].logged(), "verdict=\"not run\"")
}

// With the ordinary level a busy host must not write a line a request.
func TestRequestsLeaveNoLineAtInfoLevel(t *testing.T) {
	t.Parallel()
	cluster := startTalkative(t, "info")
	conversation := newConversation(t, boltsKey, "quote")
	before := cluster.daemons[0].logged()
	for range 5 {
		conversation.say(cluster.daemons[0], "more")
	}
	conversation.turn = 0
	status, _ := conversation.sayTraced(cluster.daemons[0], "another body under the first id")
	require.NotEqual(t, http.StatusOK, status)
	require.Equal(t, before, cluster.daemons[0].logged())
}
