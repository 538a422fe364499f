package bvoperator

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvkey"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvtable"
)

const keys = "piran operator piran-operator-key\nbrindley operator brindley-operator-key\nmakers admin makers-admin-key\n"

const sheet = "version,member,class,share,budget\n0,piran,,60,100\n,piran,booking,,40\n,brindley,,40,70\n"

// outStore is a table service that can be out.
type outStore struct {
	bvplatform.Memory
	out atomic.Bool
}

func (store *outStore) Read(ctx context.Context, names ...string) ([]bvplatform.Row, error) {
	if store.out.Load() {
		return nil, bvplatform.ErrUnavailable
	}
	return store.Memory.Read(ctx, names...)
}

type bench struct {
	store  *outStore
	mux    *http.ServeMux
	server *httptest.Server
}

func newBench(t *testing.T) *bench {
	t.Helper()
	ring, err := bvkey.Read(strings.NewReader(keys))
	require.NoError(t, err)
	bench := &bench{store: &outStore{}, mux: http.NewServeMux()}
	handler := &Handler{
		Ring: func() *bvkey.Ring { return ring },
		Editor: &bvtable.Editor{
			Store:    bench.store,
			Follower: &bvtable.Follower{Store: bench.store, Clock: &bvclock.Manual{}},
		},
	}
	handler.Register(bench.mux)
	bench.server = httptest.NewServer(bench.mux)
	t.Cleanup(bench.server.Close)
	_, err = bench.client("makers-admin-key").Import(t.Context(), []byte(sheet), false)
	require.NoError(t, err)
	return bench
}

func (bench *bench) client(key string) *Client {
	return &Client{Address: strings.TrimPrefix(bench.server.URL, "http://"), Key: key}
}

func budget(text string) []bvtable.CellEdit {
	return []bvtable.CellEdit{{Member: "piran", Class: "booking", Column: bvtable.Budget, New: text}}
}

func requireFailure(t *testing.T, code string, err error) *Failure {
	t.Helper()
	var failure *Failure
	require.ErrorAs(t, err, &failure)
	require.Equal(t, code, failure.Code)
	return failure
}

func (bench *bench) status(t *testing.T, method, path, key, body string) int {
	t.Helper()
	request, err := http.NewRequest(method, bench.server.URL+path, strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	_, _ = io.Copy(io.Discard, response.Body)
	require.NoError(t, response.Body.Close())
	return response.StatusCode
}

func TestUnknownKeyIsUnauthorized(t *testing.T) {
	require.Equal(t, http.StatusUnauthorized, newBench(t).status(t, "GET", "/table", "guess", ""))
}

func TestBodyThatIsNoEditIsABadRequest(t *testing.T) {
	require.Equal(t, http.StatusBadRequest, newBench(t).status(t, "PATCH", "/table", "piran-operator-key", `{"cels":[]}`))
}

func TestInvalidEditNamesRowAndCell(t *testing.T) {
	bench := newBench(t)
	_, err := bench.client("piran-operator-key").Set(t.Context(), budget("-1"))
	failure := requireFailure(t, "invalid", err)
	require.Equal(t, "not run", failure.Verdict)
	require.Equal(t, []bvtable.Problem{{Row: "piran/booking", Cell: "budget", Reason: "-1 is not zero or more"}}, failure.Problems)
}

func TestConflictTellsWhatTheCellHolds(t *testing.T) {
	bench := newBench(t)
	cells := budget("90")
	old := "39"
	cells[0].Old = &old
	_, err := bench.client("piran-operator-key").Set(t.Context(), cells)
	require.Equal(t, "40", requireFailure(t, "conflict", err).Conflict.Found)
}

func TestRivalsRowIsForbidden(t *testing.T) {
	bench := newBench(t)
	_, err := bench.client("brindley-operator-key").Set(t.Context(), budget("1"))
	requireFailure(t, "forbidden", err)
}

// Guards against an operator who can't see what is in force in an outage.
func TestOutageShowsTheTableInForceAndRefusesEdits(t *testing.T) {
	bench := newBench(t)
	bench.store.out.Store(true)
	client := bench.client("piran-operator-key")
	view, err := client.Get(t.Context())
	require.NoError(t, err)
	require.False(t, view.Confirmed)
	require.EqualValues(t, 1, view.Version)
	_, err = client.Set(t.Context(), budget("90"))
	require.Equal(t, "not run", requireFailure(t, "platform_unavailable", err).Verdict)
}

// Guards against an edit that is run twice and sets back a colleague's.
func TestEditWhoseAnswerIsLostIsAcceptedOnce(t *testing.T) {
	bench := newBench(t)
	lost := false
	cut := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if lost {
			bench.mux.ServeHTTP(writer, request)
			return
		}
		lost = true
		bench.mux.ServeHTTP(httptest.NewRecorder(), request)
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(cut.Close)
	client := &Client{Address: strings.TrimPrefix(cut.URL, "http://"), Key: "piran-operator-key"}
	outcome, err := client.Set(t.Context(), budget("90"))
	require.NoError(t, err)
	require.True(t, lost)
	require.EqualValues(t, 2, outcome.Report.Version)
	history, err := client.History(t.Context(), 0, 10)
	require.NoError(t, err)
	require.EqualValues(t, 2, history[0].Version)
}

// Guards against "not run" for an edit that may be in force.
func TestRefusalAfterALostAnswerSaysThatTheEditMayHaveRun(t *testing.T) {
	bench := newBench(t)
	cut := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if bench.store.out.Load() {
			bench.mux.ServeHTTP(writer, request)
			return
		}
		bench.mux.ServeHTTP(httptest.NewRecorder(), request)
		bench.store.out.Store(true)
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(cut.Close)
	client := &Client{Address: strings.TrimPrefix(cut.URL, "http://"), Key: "piran-operator-key"}
	_, err := client.Set(t.Context(), budget("90"))
	require.Equal(t, "may have run", requireFailure(t, "platform_unavailable", err).Verdict)
}

func TestProposalOverHTTP(t *testing.T) {
	bench := newBench(t)
	shares := []bvtable.MemberShare{{Member: "piran", Share: 50}, {Member: "brindley", Share: 50}}
	outcome, err := bench.client("piran-operator-key").Propose(t.Context(), shares)
	require.NoError(t, err)
	outcome, err = bench.client("brindley-operator-key").Accept(t.Context(), outcome.Proposal.ID)
	require.NoError(t, err)
	require.Equal(t, bvtable.Accepted, outcome.Proposal.State)
}
