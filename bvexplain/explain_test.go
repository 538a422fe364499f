package bvexplain

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const answered = `{"cached":100,"endpoint":"i-1","events":8,"first_ms":30,"kept_ms":9,"level":"info","load":"1+0/24",` +
	`"msg":"request answered","program":"p1","prompt":1100,"request":"r1","route":"talk","runs":1,"sends":1,"sent_ms":3,` +
	`"time":"2026-01-26T09:00:40Z","took_ms":300}`

const refused = `{"error":"overloaded (not run): the engines of m can't serve another program in time","level":"warning",` +
	`"msg":"request failed","program":"p2","request":"0123456789abcdef","route":"talk","runs":0,"sends":0,` +
	`"time":"2026-01-26T09:00:41Z","took_ms":2}`

func read(t *testing.T, options Options, lines ...string) *Account {
	t.Helper()
	account := New(options)
	require.NoError(t, account.Read(strings.NewReader(strings.Join(lines, "\n"))))
	return account
}

func printed(t *testing.T, account *Account) string {
	t.Helper()
	var output strings.Builder
	require.NoError(t, account.Print(&output))
	return output.String()
}

func TestTimeOfATurnIsSplit(t *testing.T) {
	account := read(t, Options{}, "12.5 host-a "+answered)
	row := account.routes["talk"]
	require.Equal(t, 1, row.answered)
	require.InDelta(t, 3, row.localWait.value(), 0)
	require.InDelta(t, 27, row.endpointWait.value(), 0)
	require.InDelta(t, 261, row.events.value(), 0)
	require.InDelta(t, 9, row.persistTime.value(), 0)
	require.Equal(t, 1000, row.uncachedTokens)
	require.Contains(t, account.hosts, "host-a")
	require.Contains(t, account.seconds, fmt.Sprintf("%8.0f", 12.0))
}

func TestTimeFieldIsUsedWithoutACollectorsTime(t *testing.T) {
	account := read(t, Options{From: 1769418041, To: 1769418042}, answered, refused)
	require.Equal(t, 0, account.routes["talk"].answered)
	require.Equal(t, 1, account.routes["talk"].refused)
}

// Guards against a truncated line that ends the reading of a log.
func TestUnreadableLinesAreReportedAndSkipped(t *testing.T) {
	account := read(t, Options{}, "host-a "+answered, answered[:50], "collector restarted", "host-b "+refused)
	text := printed(t, account)
	require.Contains(t, text, "lines 4, not read 2; programs 2")
	require.Contains(t, text, "not read: line 2")
	require.Contains(t, text, "not read: line 3")
}

func TestProgramsEndByTheirLastRequest(t *testing.T) {
	late := strings.ReplaceAll(refused, "p2", "p1")
	text := printed(t, read(t, Options{}, "1 a "+answered, "2 a "+late, "3 b "+refused, "4 a "+strings.ReplaceAll(answered, "p1", "p3")))
	require.Contains(t, text, "      2  overloaded (not run): the engines of m can't serve another program in time")
	require.Contains(t, text, "      1  answered")
}

// Guards against errors that differ only in ids, addresses and numbers and are counted
// as several causes.
func TestErrorsOfOneCauseAreCountedTogether(t *testing.T) {
	other := strings.ReplaceAll(refused, "engines of m", "engines of i-4711 at 10.0.0.1:80 for 17ms")
	another := strings.ReplaceAll(refused, "engines of m", "engines of i-4712 at 10.0.0.2:81 for 4ms")
	require.Len(t, read(t, Options{}, other, another).causes, 1)
}

func TestLinesOfOneRequestAreShown(t *testing.T) {
	text := printed(t, read(t, Options{Request: "p2"}, "1 a "+answered, "2 b "+refused))
	require.Contains(t, text, "  2 b "+refused)
	require.NotContains(t, text, "  1 a ")
}

// Guards against a workspace's program that is not found by the id that its caller chose.
func TestLinesOfAWorkspacesProgramAreShown(t *testing.T) {
	ana := strings.ReplaceAll(refused, `"p2"`, `"@ana/p2"`)
	bor := strings.ReplaceAll(refused, `"p2"`, `"@bor/p22"`)
	text := printed(t, read(t, Options{Request: "p2"}, "1 a "+ana, "2 b "+bor))
	require.Contains(t, text, "  1 a "+ana)
	require.NotContains(t, text, "  2 b ")
}

// Guards against programs of two workspaces with the same id that are counted as one.
func TestProgramsOfTwoWorkspacesAreTwo(t *testing.T) {
	ana, bor := strings.ReplaceAll(answered, `"p1"`, `"@ana/p1"`), strings.ReplaceAll(answered, `"p1"`, `"@bor/p1"`)
	require.Contains(t, printed(t, read(t, Options{}, ana, bor)), "programs 2")
}

// Guards against programs above the bound that stay in memory or are not counted.
func TestProgramsBeyondTheBoundAreCounted(t *testing.T) {
	account := New(Options{Programs: 10})
	for i := range 1000 {
		line := strings.ReplaceAll(answered, "p1", fmt.Sprint("program-", i))
		require.NoError(t, account.Read(strings.NewReader(line)))
		require.LessOrEqual(t, account.programs.Len(), 10)
	}
	printed(t, account)
	require.Equal(t, 1000, account.endCauses[answeredCause].count)
}

func TestStartsAndOutagesOfHostsAreReported(t *testing.T) {
	text := printed(t, read(t, Options{}, `7 host-b {"level":"warning","msg":"store: lost","time":"2026-01-26T09:00:41Z"}`))
	require.Contains(t, text, "host-b               store: lost")
}
