package bvprocess

import (
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvstatus"
)

// runStatusCommand runs the status command against a daemon.
func (cluster *cluster) runStatusCommand(daemon *process, key string, arguments ...string) string {
	cluster.t.Helper()
	command := exec.Command(os.Args[0], append([]string{"status"}, arguments...)...)
	command.Env = append(os.Environ(), childVariable+"=1", "BALSAMVALVE_KEY="+key,
		"BALSAMVALVE_OPERATOR_ADDRESS="+daemon.field("operators"))
	content, err := command.CombinedOutput()
	require.NoError(cluster.t, err, string(content))
	return string(content)
}

func (cluster *cluster) statusJSON(daemon *process, key string) bvstatus.Status {
	cluster.t.Helper()
	var status bvstatus.Status
	require.NoError(cluster.t, json.Unmarshal([]byte(cluster.runStatusCommand(daemon, key, "--json")), &status))
	return status
}

func findMember(status bvstatus.Status, name string) bvstatus.Member {
	for _, member := range status.Members {
		if member.Name == name {
			return member
		}
	}
	return bvstatus.Member{}
}

func TestStatusShowsHostsEndpointsAndOneOwnMember(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, size{daemons: 3, engines: 2, engine: []string{"--instant"}})
	cluster.writeTable()
	newConversation(t, boltsKey, "quote").call(cluster.daemons[0], "200 anchors")
	refused := newConversation(t, boltsKey, "refused")
	refused.turn = 9
	status, body := refused.post(cluster.daemons[2], "out of order", false)
	require.NotEqual(t, http.StatusOK, status, body)

	require.Eventually(t, func() bool {
		seen := cluster.statusJSON(cluster.daemons[1], boltsOperatorKey)
		own := findMember(seen, "bolts").Details
		return own != nil && own.Programs > 0 && own.Work > 0 && len(own.Refusals) > 0 && seen.Hosts[0].Version == 1
	}, testTimeout, poll)
	seen := cluster.statusJSON(cluster.daemons[1], boltsOperatorKey)
	require.Len(t, seen.Hosts, 3)
	require.Len(t, seen.Endpoints, 2)
	require.Nil(t, findMember(seen, "piran").Details)
	require.InDelta(t, 50, findMember(seen, "piran").Share, 0)
	rivals := cluster.statusJSON(cluster.daemons[0], piranOperatorKey)
	require.Nil(t, findMember(rivals, "bolts").Details)
	require.Zero(t, findMember(rivals, "piran").Details.Programs)
	for line := range strings.Lines(cluster.runStatusCommand(cluster.daemons[0], boltsOperatorKey)) {
		require.LessOrEqual(t, len(strings.TrimRight(line, "\n")), bvstatus.Width, line)
	}
}

// Guards against a frozen host that blocks the status of all hosts.
func TestStatusNamesTheHostThatDoesNotAnswer(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, size{daemons: 3})
	cluster.writeTable()
	cluster.daemons[2].freeze()
	defer cluster.daemons[2].signal(syscall.SIGCONT)
	seen := cluster.statusJSON(cluster.daemons[0], adminKey)
	require.Len(t, seen.Hosts, 3)
	for _, host := range seen.Hosts {
		require.Equal(t, host.Name != cluster.daemons[2].name, host.Answered, host.Name)
	}
}

func TestCallersKeyGetsNoStatus(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, size{daemons: 1})
	request, err := http.NewRequest(http.MethodGet, "http://"+cluster.daemons[0].field("operators")+"/status", nil)
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+boltsKey)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	_ = response.Body.Close()
	require.Equal(t, http.StatusForbidden, response.StatusCode)
}
