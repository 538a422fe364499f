package bvprocess

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestVariablesShowLatencyAndCacheOfAWholeProgram(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, size{daemons: 1, engines: 1, engine: []string{"--decode=2000"}})
	daemon := cluster.daemons[0]
	conversation := newConversation(t, boltsKey, "quote")
	for range 3 {
		conversation.call(daemon, "200 anchors of the size M10, galvanized, and what they cost")
	}
	conversation.endProgram(daemon)
	require.Eventually(t, func() bool { return cluster.counter(daemon, "releases") > 0 }, testTimeout, poll)
	response := daemon.getVariables(adminKey)
	defer func() { _ = response.Body.Close() }()
	var variables struct {
		Calls    struct{ Count int } `json:"call_latency"`
		Programs struct{ Count int } `json:"program_latency"`
		Permits  struct{ Count int } `json:"permit_wait"`
		Prompt   int                 `json:"prompt_tokens"`
		Cached   int                 `json:"cached_tokens"`
	}
	require.NoError(t, json.NewDecoder(response.Body).Decode(&variables))
	require.Equal(t, 3, variables.Calls.Count)
	require.Equal(t, 1, variables.Programs.Count)
	require.Equal(t, 3, variables.Permits.Count)
	require.Positive(t, variables.Cached)
	require.Greater(t, variables.Prompt, variables.Cached)
}

// With two members, totals over both reveal to each member the other's load.
func TestOperatorsKeyDoesNotShowTotals(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, size{daemons: 1})
	response := cluster.daemons[0].getVariables(piranOperatorKey)
	defer func() { _ = response.Body.Close() }()
	require.Equal(t, http.StatusForbidden, response.StatusCode)
}
