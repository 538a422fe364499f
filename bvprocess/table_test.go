package bvprocess

import (
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// runTableCommand runs the table command against a daemon.
func (cluster *cluster) runTableCommand(daemon *process, key string, arguments ...string) (output string, code int) {
	command := exec.Command(os.Args[0], append([]string{"table"}, arguments...)...)
	command.Env = append(os.Environ(), childVariable+"=1", "BALSAMVALVE_KEY="+key,
		"BALSAMVALVE_OPERATOR_ADDRESS="+daemon.field("operators"))
	content, err := command.CombinedOutput()
	if err != nil {
		require.IsType(cluster.t, &exec.ExitError{}, err)
	}
	return string(content), command.ProcessState.ExitCode()
}

// writeTable imports the first table, with a row for each member and one class.
func (cluster *cluster) writeTable() {
	output, code := cluster.runTableCommand(cluster.daemons[0], adminKey, "import", cluster.firstTable())
	require.Zero(cluster.t, code, output)
}

func (cluster *cluster) firstTable() string {
	file := cluster.t.TempDir() + "/table.csv"
	content := "version,member,class,share\n0,piran,,50\n0,bolts,,50\n0,piran,booking,\n"
	require.NoError(cluster.t, os.WriteFile(file, []byte(content), 0o600))
	return file
}

// After an edit the command must report that the version is in force on all hosts.
func TestEditIsInForceOnAllHosts(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, size{daemons: 3, engines: 1, engine: []string{"--instant"}})
	cluster.writeTable()
	output, code := cluster.runTableCommand(cluster.daemons[1], piranOperatorKey, "set", "piran/booking", "turns=2")
	require.Zero(t, code, output)
	require.Contains(t, output, "in force on all 3 hosts")
	for _, daemon := range cluster.daemons {
		require.Eventually(t, func() bool { return cluster.counter(daemon, "table_version") >= 2 }, testTimeout, poll)
	}
}

// Guards against reporting an edit as confirmed by a frozen host.
func TestFrozenHostIsNamedByAnEdit(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, size{daemons: 3})
	cluster.writeTable()
	frozen := cluster.daemons[2]
	frozen.freeze()
	output, code := cluster.runTableCommand(cluster.daemons[0], piranOperatorKey, "set", "piran/booking", "turns=3")
	require.Contains(t, output, frozen.name, "exit %d", code)
	frozen.signal(syscall.SIGCONT)
	require.Eventually(t, func() bool { return cluster.counter(frozen, "table_version") >= 2 }, testTimeout, poll)
}

// Guards against losing one of several concurrent edits.
func TestRacingOperatorsLoseNoEdit(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, size{daemons: 3})
	cluster.writeTable()
	var operators sync.WaitGroup
	edit := func(daemon *process, key, row, cell string) {
		operators.Go(func() {
			if output, code := cluster.runTableCommand(daemon, key, "set", row, cell); code != 0 {
				t.Errorf("%s %s: %s", row, cell, output)
			}
		})
	}
	edit(cluster.daemons[0], piranOperatorKey, "piran", "budget=1000")
	edit(cluster.daemons[1], boltsOperatorKey, "bolts", "budget=2000")
	edit(cluster.daemons[2], piranOperatorKey, "piran/booking", "turns=7")
	operators.Wait()
	piran, code := cluster.runTableCommand(cluster.daemons[0], piranOperatorKey, "get")
	require.Zero(t, code, piran)
	require.Contains(t, piran, "1000")
	require.Contains(t, piran, "7")
	require.NotContains(t, piran, "2000", "a rival's budget")
	bolts, code := cluster.runTableCommand(cluster.daemons[1], boltsOperatorKey, "get")
	require.Zero(t, code, bolts)
	require.Contains(t, bolts, "2000")
}

func TestOperatorCannotEditARivalsRow(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, size{daemons: 1})
	cluster.writeTable()
	output, code := cluster.runTableCommand(cluster.daemons[0], boltsOperatorKey, "set", "piran", "budget=1")
	require.NotZero(t, code)
	require.Contains(t, output, "forbidden")
}

// Guards against a program that loops indefinitely.
func TestLoopingProgramIsEndedAtItsTurns(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, size{daemons: 3, engines: 1, engine: []string{"--decode=2000"}})
	cluster.writeTable()
	output, code := cluster.runTableCommand(cluster.daemons[0], boltsOperatorKey, "set", "bolts", "turns=3")
	require.Zero(t, code, output)
	conversation := newConversation(t, boltsKey, "loop")
	for range 3 {
		conversation.call(cluster.daemons[0], "again")
	}
	conversation.turn++
	status, body := conversation.post(cluster.daemons[1], "again", false)
	require.Equal(t, http.StatusTooManyRequests, status, body)
	require.Contains(t, body, `"verdict":"not run"`)
	require.Eventually(t, func() bool { return cluster.countCachedPrefixes(cluster.engines[0], "loop") == 0 }, testTimeout, poll)
}

// Guards against a program that exceeds its budget.
func TestProgramStopsAtItsBudget(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, size{daemons: 3, engines: 1, engine: []string{"--instant"}})
	cluster.writeTable()
	output, code := cluster.runTableCommand(cluster.daemons[0], boltsOperatorKey, "set", "bolts", "budget=1000")
	require.Zero(t, code, output)
	conversation := newConversation(t, boltsKey, "dear")
	for call := range 20 {
		conversation.turn++
		status, body := conversation.post(cluster.daemons[call%3], "more anchors", false)
		if status == http.StatusOK {
			conversation.recordTurn("more anchors", contentOf(t, body))
			continue
		}
		require.Equal(t, http.StatusPaymentRequired, status, body)
		require.Contains(t, body, `"verdict":"not run"`)
		require.Greater(t, call, 1)
		return
	}
	t.Fatal("twenty calls were within a budget of 1000")
}

// Guards against a member that accesses another member's program by its name.
func TestProgramsOfRivalsWithOneNameStayApart(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, size{daemons: 3, engines: 1, engine: []string{"--instant"}})
	piran := newConversation(t, piranKey, "p1")
	bolts := newConversation(t, boltsKey, "p1")
	piran.call(cluster.daemons[0], "a lesson")
	bolts.call(cluster.daemons[0], "anchors")
	piran.call(cluster.daemons[1], "at nine")
	bolts.call(cluster.daemons[1], "of M10")
	status, body := fetchAnswer(t, cluster.daemons[0], boltsKey, "p2", "p2-1")
	require.Equal(t, http.StatusNotFound, status, body)
	rival, rivalBody := fetchAnswer(t, cluster.daemons[0], boltsKey, "p1", "p1-9")
	require.Equal(t, http.StatusNotFound, rival, rivalBody)
	require.False(t, strings.Contains(rivalBody, "piran"))
}
