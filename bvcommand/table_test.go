package bvcommand

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvkey"
	"balsamvalve.example/bvoperator"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvtable"
)

const testKeys = `piran operator piran-operator-key
brindley operator brindley-operator-key
consortium admin consortium-admin-key
piran caller piran-caller-key`

const testSheet = `version,member,class,share,priority,budget
0,piran,,60,0,1000
,piran,booking,,5,400
,brindley,,40,0,77
,brindley,quote,,9,70
`

// startOperators serves an empty table and points the commands at it.
func startOperators(t *testing.T) {
	t.Helper()
	ring, err := bvkey.Read(strings.NewReader(testKeys))
	require.NoError(t, err)
	memory := &bvplatform.Memory{}
	require.NoError(t, memory.Announce(t.Context(), bvplatform.Host{Name: "host-1"}))
	handler := &bvoperator.Handler{
		Ring: func() *bvkey.Ring { return ring },
		Editor: &bvtable.Editor{
			Store:    memory,
			Follower: &bvtable.Follower{Store: memory, Clock: &bvclock.Manual{}},
			Hosts:    memory,
			Host:     "host-1",
		},
	}
	mux := http.NewServeMux()
	handler.Register(mux)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	t.Setenv(operatorEnvironment, strings.TrimPrefix(server.URL, "http://"))
	t.Setenv(keyEnvironment, "consortium-admin-key")
	path := filepath.Join(t.TempDir(), "table.csv")
	require.NoError(t, os.WriteFile(path, []byte(testSheet), 0o600))
	requireSuccess(t, "table", "import", path)
}

func run(args ...string) (code int, stdout, stderr string) {
	var out, err bytes.Buffer
	code = Execute(args, &out, &err)
	return code, out.String(), err.String()
}

func requireSuccess(t *testing.T, args ...string) string {
	t.Helper()
	code, stdout, stderr := run(args...)
	require.Zero(t, code, stderr)
	return stdout
}

func TestTableSetReportsWhereTheVersionIsInForce(t *testing.T) {
	startOperators(t)
	t.Setenv(keyEnvironment, "piran-operator-key")
	out := requireSuccess(t, "table", "set", "piran/booking", "budget=2000", "idle=90s")
	require.Equal(t, "version 2 in force on all 1 hosts after 0 ms\n", out)
	require.Contains(t, requireSuccess(t, "table", "get", "piran/booking"), "1m30s")
	require.Contains(t, requireSuccess(t, "table", "history"), `piran/booking budget: "400" -> "2000"`)
}

func TestTableSetNamesTheBadCellAndExitsWithAFailure(t *testing.T) {
	startOperators(t)
	t.Setenv(keyEnvironment, "piran-operator-key")
	code, _, stderr := run("table", "set", "piran/booking", "budget=-1")
	require.Equal(t, exitFailure, code)
	require.Contains(t, stderr, "row piran/booking, cell budget: -1 is not zero or more")
	require.Contains(t, requireSuccess(t, "table", "get"), "version 1\n")
}

// Guards against an operator who sees the classes and budgets of another member.
func TestOperatorSeesNoLimitsOfOtherMembers(t *testing.T) {
	startOperators(t)
	t.Setenv(keyEnvironment, "brindley-operator-key")
	requireSuccess(t, "table", "set", "brindley/quote", "budget=4711")
	t.Setenv(keyEnvironment, "piran-operator-key")
	for _, command := range []string{"get", "export", "history"} {
		out := requireSuccess(t, "table", command)
		require.NotContains(t, out, "quote", command)
		require.NotContains(t, out, "77", command)
		require.NotContains(t, out, "4711", command)
	}
}

func TestProposalOnTheCommandLine(t *testing.T) {
	startOperators(t)
	t.Setenv(keyEnvironment, "piran-operator-key")
	out := requireSuccess(t, "table", "propose", "piran=55", "brindley=45")
	require.Contains(t, out, "p2 by piran, open: piran=55 brindley=45; awaits brindley")
	t.Setenv(keyEnvironment, "brindley-operator-key")
	require.Contains(t, requireSuccess(t, "table", "accept", "p2"), "p2 by piran, accepted")
	require.Contains(t, requireSuccess(t, "table", "proposals"), "accepted")
	require.Contains(t, requireSuccess(t, "table", "get", "brindley"), "45")
}

func TestCallerKeyHasNoAccessToTheTable(t *testing.T) {
	startOperators(t)
	t.Setenv(keyEnvironment, "piran-caller-key")
	code, _, stderr := run("table", "get")
	require.Equal(t, exitFailure, code)
	require.Contains(t, stderr, "forbidden")
}

func TestTableWithoutAKeyIsAUsageError(t *testing.T) {
	t.Setenv(keyEnvironment, "")
	code, _, stderr := run("table", "get")
	require.Equal(t, exitUsage, code)
	require.Contains(t, stderr, keyEnvironment)
}
