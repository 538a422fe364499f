package bvroute

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

func newKeyedTable(t *testing.T, workspaces ...Workspace) *Table {
	t.Helper()
	table, err := NewTable(Rows{Version: 1, NeedKeys: true, Workspaces: workspaces})
	require.NoError(t, err)
	return table
}

func TestWorkspaceIsFoundByEachOfItsKeys(t *testing.T) {
	table := newKeyedTable(t,
		Workspace{Name: "ana", Keys: []KeyDigest{DigestKey("a"), DigestKey("b")}},
		Workspace{Name: "bor", Keys: []KeyDigest{DigestKey("c")}})
	for key, name := range map[string]string{"a": "ana", "b": "ana", "c": "bor"} {
		workspace, found := table.WorkspaceByKey(key)
		require.True(t, found)
		require.Equal(t, name, workspace.Name)
	}
	_, found := table.WorkspaceByKey("d")
	require.False(t, found)
	_, found = table.WorkspaceByKey("")
	require.False(t, found)
}

// Guards against an empty key on the list, which every request without a key would match.
func TestEmptyKeyBelongsToNoWorkspace(t *testing.T) {
	table := newKeyedTable(t, Workspace{Name: "ana", Keys: []KeyDigest{DigestKey("")}})
	_, found := table.WorkspaceByKey("")
	require.False(t, found)
}

func TestKeyOfTwoWorkspacesBelongsToTheFirstAndIsCounted(t *testing.T) {
	table := newKeyedTable(t,
		Workspace{Name: "ana", Keys: []KeyDigest{DigestKey("a"), DigestKey("a")}},
		Workspace{Name: "bor", Keys: []KeyDigest{DigestKey("a")}})
	workspace, _ := table.WorkspaceByKey("a")
	require.Equal(t, "ana", workspace.Name)
	require.Equal(t, 1, table.SharedKeyCount())
}

func TestTableWithoutWorkspacesNeedsNoKeys(t *testing.T) {
	require.False(t, newTestTable(t).NeedsKeys())
	require.True(t, newKeyedTable(t).NeedsKeys())
}

func TestErrorNamesTheInvalidWorkspace(t *testing.T) {
	for _, workspaces := range [][]Workspace{
		{{Name: "ana", Rate: -1}},
		{{Name: "ana", Burst: -1}},
		{{Name: "ana"}, {Name: "ana"}},
	} {
		_, err := NewTable(Rows{NeedKeys: true, Workspaces: workspaces})
		require.ErrorContains(t, err, "ana")
	}
	_, err := NewTable(Rows{NeedKeys: true, Workspaces: []Workspace{{}}})
	require.ErrorContains(t, err, "empty")
}

func TestPriorityOfAWorkspaceOverridesTheRoutes(t *testing.T) {
	urgent := 0
	route := &Route{Priority: 2}
	require.Equal(t, 0, (&Workspace{Priority: &urgent}).PriorityOn(route))
	require.Equal(t, 2, (&Workspace{}).PriorityOn(route))
	var none *Workspace
	require.Equal(t, 2, none.PriorityOn(route))
}

// Guards against keys that are sent between hosts in plain text.
func TestRowsContainKeysAsDigestsOnly(t *testing.T) {
	table := newKeyedTable(t, Workspace{Name: "ana", Keys: []KeyDigest{DigestKey("secret-of-ana")}, Rate: 2, Burst: 3})
	encoded, err := json.Marshal(table.Rows())
	require.NoError(t, err)
	require.NotContains(t, string(encoded), "secret-of-ana")
	var rows Rows
	require.NoError(t, json.Unmarshal(encoded, &rows))
	again, err := NewTable(rows)
	require.NoError(t, err)
	workspace, found := again.WorkspaceByKey("secret-of-ana")
	require.True(t, found)
	require.InDelta(t, 2, workspace.Rate, 0)
}

func TestDamagedDigestIsRefused(t *testing.T) {
	var digest KeyDigest
	require.Error(t, digest.UnmarshalText([]byte("abc")))
	require.Error(t, digest.UnmarshalText(make([]byte, 64)))
}
