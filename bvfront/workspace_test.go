package bvfront

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvmeasure"
	"balsamvalve.example/bvroute"
	"balsamvalve.example/bvverdict"
)

// changingState is a desired state of which a newer version, which takes the key away,
// comes into force and is confirmed when the host is asked whether keys are confirmed.
type changingState struct {
	table, newer *bvroute.Table
	confirmed    bool
}

func (state *changingState) Current() *bvroute.Table { return state.table }

func (state *changingState) Certain() bool { return true }

func (state *changingState) KeysConfirmed() bool {
	before := state.confirmed
	state.table, state.confirmed = state.newer, true
	return before
}

// keyWire knows the one key that a caller shows.
type keyWire struct{ Wire }

func (keyWire) Key(http.Header) string { return "key" }

func keyedTable(t *testing.T, version int64, keys ...bvroute.KeyDigest) *bvroute.Table {
	table, err := bvroute.NewTable(bvroute.Rows{Version: version, NeedKeys: true, Workspaces: []bvroute.Workspace{{Name: "ana", Keys: keys}}})
	require.NoError(t, err)
	return table
}

func authorized(t *testing.T, state State) error {
	call := &call{
		front:   New(Parts{State: state, Wire: keyWire{}, Counters: bvmeasure.New()}),
		request: httptest.NewRequest(http.MethodGet, "/", nil), route: &bvroute.Route{},
	}
	return call.authorize()
}

// Guards against a key of an older version that is gone by with a newer version's
// confirmation.
func TestKeyIsNotConfirmedByAVersionThatTookItAway(t *testing.T) {
	with, without := keyedTable(t, 1, bvroute.DigestKey("key")), keyedTable(t, 2)
	err := authorized(t, &changingState{table: with, newer: without})
	require.Error(t, err)
	require.Equal(t, bvverdict.NotRun, bvverdict.Of(err))
}

func TestConfirmedKeyIsAuthorized(t *testing.T) {
	with := keyedTable(t, 1, bvroute.DigestKey("key"))
	require.NoError(t, authorized(t, &changingState{table: with, newer: with, confirmed: true}))
}

// Guards against ids of one workspace that read like another one's.
func TestScopedIDsOfTwoWorkspacesNeverMeet(t *testing.T) {
	scoped := func(workspace, id string) string {
		call := &call{keyed: true}
		if workspace != "" {
			call.workspace = &bvroute.Workspace{Name: workspace}
		}
		return call.scoped(id)
	}
	require.NotEqual(t, scoped("a", "b/c"), scoped("a/b", "c"))
	require.NotEqual(t, scoped("", "@a/b"), scoped("a", "b"))
	require.NotEqual(t, scoped("", "a/b"), scoped("a", "b"))
	require.Empty(t, scoped("a", ""))
	require.Equal(t, "id", (&call{}).scoped("id"))
}
