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

// keyWire returns the same key for each caller.
type keyWire struct{ Wire }

func (keyWire) Key(http.Header) string { return "key" }

func keyedTable(t *testing.T, version int64, keys ...bvroute.KeyDigest) *bvroute.Table {
	table, err := bvroute.NewTable(bvroute.Rows{Version: version, NeedKeys: true, Workspaces: []bvroute.Workspace{{Name: "ana", Keys: keys}}})
	require.NoError(t, err)
	return table
}

// unreachableStore is a store that has been unreachable for the given time.
type unreachableStore bvclock.Duration

func (store unreachableStore) UnreachableFor() bvclock.Duration { return bvclock.Duration(store) }

func authorizeWith(t *testing.T, state State) error { return authorizeInOutage(t, state, 0) }

func authorizeInOutage(t *testing.T, state State, outage bvclock.Duration) error {
	call := &call{
		front: New(Parts{
			State: state, Wire: keyWire{}, Counters: bvmeasure.New(), Store: unreachableStore(outage), Clock: &bvclock.Manual{},
		}),
		request: httptest.NewRequest(http.MethodGet, "/", nil), route: &bvroute.Route{Timeout: 3 * bvclock.Second},
	}
	return call.authorize()
}

// Guards against callers that exhaust their attempts before an outage ends.
func TestRetryAfterIsLongerInAnOutage(t *testing.T) {
	state := fixedState{Table: keyedTable(t, 1, bvroute.DigestKey("key"))}
	withStore := bvverdict.From(authorizeInOutage(t, state, 0)).RetryAfter()
	inOutage := bvverdict.From(authorizeInOutage(t, state, bvclock.Second)).RetryAfter()
	require.Equal(t, confirmRetry, withStore)
	require.EqualValues(t, 990, inOutage)
}

// Guards against a key that is accepted although it may have been revoked.
func TestUnconfirmedKeyIsRefused(t *testing.T) {
	table := keyedTable(t, 1, bvroute.DigestKey("key"))
	require.NoError(t, authorizeWith(t, fixedState{Table: table, KeysConfirmed: true}))
	refused := authorizeWith(t, fixedState{Table: table, UpToDate: true})
	require.Equal(t, bvverdict.PlatformUnavailable, bvverdict.From(refused).Code())
	require.Equal(t, bvverdict.NotRun, bvverdict.Of(refused))
}

// Guards against denying a key that a newer version may contain.
func TestUnknownKeyIsDeniedOnlyWhereTheStateIsCertain(t *testing.T) {
	without := keyedTable(t, 1)
	denied := authorizeWith(t, fixedState{Table: without, UpToDate: true, KeysConfirmed: true})
	require.Equal(t, bvverdict.Unauthorized, bvverdict.From(denied).Code())
	refused := authorizeWith(t, fixedState{Table: without, KeysConfirmed: true})
	require.Equal(t, bvverdict.PlatformUnavailable, bvverdict.From(refused).Code())
}

// Guards against an ID of one workspace that equals an ID of another.
func TestScopedIDsOfTwoWorkspacesNeverCollide(t *testing.T) {
	scoped := func(workspace, id string) string {
		call := &call{keysRequired: true}
		if workspace != "" {
			call.workspace = &bvroute.Workspace{Name: workspace}
		}
		return call.scopedID(id)
	}
	require.NotEqual(t, scoped("a", "b/c"), scoped("a/b", "c"))
	require.NotEqual(t, scoped("", "@a/b"), scoped("a", "b"))
	require.NotEqual(t, scoped("", "a/b"), scoped("a", "b"))
	require.Empty(t, scoped("a", ""))
	require.Equal(t, "id", (&call{}).scopedID("id"))
}
