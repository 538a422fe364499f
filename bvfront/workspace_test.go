package bvfront

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvmeasure"
	"balsamvalve.example/bvroute"
	"balsamvalve.example/bvverdict"
)

// fixedState is a desired state that does not change.
type fixedState View

func (state fixedState) Current() *bvroute.Table { return state.Table }
func (state fixedState) View() View              { return View(state) }

// keyWire knows the one key that a caller shows.
type keyWire struct{ Wire }

func (keyWire) Key(http.Header) string { return "key" }

func keyedTable(t *testing.T, version int64, keys ...bvroute.KeyDigest) *bvroute.Table {
	table, err := bvroute.NewTable(bvroute.Rows{Version: version, NeedKeys: true, Workspaces: []bvroute.Workspace{{Name: "ana", Keys: keys}}})
	require.NoError(t, err)
	return table
}

// storeAway is a store that could not be asked for so long.
type storeAway bvclock.Duration

func (away storeAway) AwayFor() bvclock.Duration { return bvclock.Duration(away) }

func authorized(t *testing.T, state State) error { return authorizedWhile(t, state, 0) }

func authorizedWhile(t *testing.T, state State, away bvclock.Duration) error {
	call := &call{
		front: New(Parts{
			State: state, Wire: keyWire{}, Counters: bvmeasure.New(), Store: storeAway(away), Clock: &bvclock.Manual{},
		}),
		request: httptest.NewRequest(http.MethodGet, "/", nil), route: &bvroute.Route{Timeout: 3 * bvclock.Second},
	}
	return call.authorize()
}

// Guards against callers who use up their tries before an outage is over.
func TestCallersAreSentAwayForLongerInAnOutage(t *testing.T) {
	state := fixedState{Table: keyedTable(t, 1, bvroute.DigestKey("key"))}
	soon := bvverdict.From(authorizedWhile(t, state, 0)).RetryAfter()
	late := bvverdict.From(authorizedWhile(t, state, bvclock.Second)).RetryAfter()
	require.Equal(t, confirmRetry, soon)
	require.EqualValues(t, 990, late)
}

// Guards against a good key that is gone by though it may have been taken away.
func TestUnconfirmedKeyIsRefused(t *testing.T) {
	with := keyedTable(t, 1, bvroute.DigestKey("key"))
	require.NoError(t, authorized(t, fixedState{Table: with, KeysConfirmed: true}))
	refused := authorized(t, fixedState{Table: with, Certain: true})
	require.Equal(t, bvverdict.PlatformUnavailable, bvverdict.From(refused).Code())
	require.Equal(t, bvverdict.NotRun, bvverdict.Of(refused))
}

// Guards against a denial that a newer version may contradict.
func TestUnknownKeyIsDeniedOnlyWhereTheStateIsCertain(t *testing.T) {
	without := keyedTable(t, 1)
	denied := authorized(t, fixedState{Table: without, Certain: true, KeysConfirmed: true})
	require.Equal(t, bvverdict.Unauthorized, bvverdict.From(denied).Code())
	refused := authorized(t, fixedState{Table: without, KeysConfirmed: true})
	require.Equal(t, bvverdict.PlatformUnavailable, bvverdict.From(refused).Code())
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
