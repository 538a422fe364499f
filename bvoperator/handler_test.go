package bvoperator

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvkey"
	"balsamvalve.example/bvloopback"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvstandin"
	"balsamvalve.example/bvtable"
)

const keys = "piran operator piran-operator-key\nbrindley operator brindley-operator-key\nmakers admin makers-admin-key\n"

const sheet = "version,member,class,share,budget\n0,piran,,60,100\n,piran,booking,,40\n,brindley,,40,70\n"

// failingStore is a table service whose reads can be made to fail.
type failingStore struct {
	bvplatform.Memory
	unavailable atomic.Bool
}

func (store *failingStore) Read(ctx context.Context, names ...string) ([]bvplatform.Row, error) {
	if store.unavailable.Load() {
		return nil, bvplatform.ErrUnavailable
	}
	return store.Memory.Read(ctx, names...)
}

type fixture struct {
	store  *failingStore
	mux    *http.ServeMux
	server *httptest.Server
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	ring, err := bvkey.Read(strings.NewReader(keys))
	require.NoError(t, err)
	fixture := &fixture{store: &failingStore{}, mux: http.NewServeMux()}
	handler := &Handler{
		Ring: func() *bvkey.Ring { return ring },
		Editor: &bvtable.Editor{
			Store:    fixture.store,
			Follower: &bvtable.Follower{Store: fixture.store, Clock: &bvclock.Manual{}},
		},
	}
	handler.Register(fixture.mux)
	fixture.server = bvloopback.NewServer(fixture.mux)
	t.Cleanup(fixture.server.Close)
	_, err = fixture.client("makers-admin-key").Import(t.Context(), []byte(sheet), false)
	require.NoError(t, err)
	return fixture
}

func (fixture *fixture) client(key string) *Client {
	return &Client{Address: strings.TrimPrefix(fixture.server.URL, "http://"), Key: key}
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

func (fixture *fixture) status(t *testing.T, method, path, key, body string) int {
	t.Helper()
	request, err := http.NewRequest(method, fixture.server.URL+path, strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	_, _ = io.Copy(io.Discard, response.Body)
	require.NoError(t, response.Body.Close())
	return response.StatusCode
}

func TestUnknownKeyIsUnauthorized(t *testing.T) {
	require.Equal(t, http.StatusUnauthorized, newFixture(t).status(t, "GET", "/table", "guess", ""))
}

func TestBodyThatIsNoEditIsABadRequest(t *testing.T) {
	require.Equal(t, http.StatusBadRequest, newFixture(t).status(t, "PATCH", "/table", "piran-operator-key", `{"cels":[]}`))
}

func TestInvalidEditNamesRowAndCell(t *testing.T) {
	fixture := newFixture(t)
	_, err := fixture.client("piran-operator-key").Set(t.Context(), budget("-1"))
	failure := requireFailure(t, "invalid", err)
	require.Equal(t, "not run", failure.Verdict)
	require.Equal(t, []bvtable.Problem{{Row: "piran/booking", Cell: "budget", Reason: "-1 is not zero or more"}}, failure.Problems)
}

func TestConflictReportsWhatTheCellHolds(t *testing.T) {
	fixture := newFixture(t)
	cells := budget("90")
	old := "39"
	cells[0].Old = &old
	_, err := fixture.client("piran-operator-key").Set(t.Context(), cells)
	require.Equal(t, "40", requireFailure(t, "conflict", err).Conflict.Found)
}

func TestRivalsRowIsForbidden(t *testing.T) {
	fixture := newFixture(t)
	_, err := fixture.client("brindley-operator-key").Set(t.Context(), budget("1"))
	requireFailure(t, "forbidden", err)
}

// In an outage an operator must still see the table in force.
func TestOutageShowsTheTableInForceAndRefusesEdits(t *testing.T) {
	fixture := newFixture(t)
	fixture.store.unavailable.Store(true)
	client := fixture.client("piran-operator-key")
	view, err := client.Get(t.Context())
	require.NoError(t, err)
	require.False(t, view.Confirmed)
	require.EqualValues(t, 1, view.Version)
	_, err = client.Set(t.Context(), budget("90"))
	require.Equal(t, "not run", requireFailure(t, "platform_unavailable", err).Verdict)
}

// Guards against applying an edit twice, which would revert another operator's edit.
func TestEditWhoseAnswerIsLostIsAcceptedOnce(t *testing.T) {
	fixture := newFixture(t)
	var lost atomic.Bool
	cut := bvloopback.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if lost.Load() {
			fixture.mux.ServeHTTP(writer, request)
			return
		}
		lost.Store(true)
		fixture.mux.ServeHTTP(httptest.NewRecorder(), request)
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(cut.Close)
	client := &Client{Address: strings.TrimPrefix(cut.URL, "http://"), Key: "piran-operator-key"}
	outcome, err := client.Set(t.Context(), budget("90"))
	require.NoError(t, err)
	require.True(t, lost.Load())
	require.EqualValues(t, 2, outcome.Report.Version)
	history, err := client.History(t.Context(), 0, 10)
	require.NoError(t, err)
	require.EqualValues(t, 2, history[0].Version)
}

// Guards against reporting "not run" for an edit that may be in force.
func TestRefusalAfterALostAnswerReportsThatTheEditMayHaveRun(t *testing.T) {
	fixture := newFixture(t)
	cut := bvloopback.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if fixture.store.unavailable.Load() {
			fixture.mux.ServeHTTP(writer, request)
			return
		}
		fixture.mux.ServeHTTP(httptest.NewRecorder(), request)
		fixture.store.unavailable.Store(true)
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(cut.Close)
	client := &Client{Address: strings.TrimPrefix(cut.URL, "http://"), Key: "piran-operator-key"}
	_, err := client.Set(t.Context(), budget("90"))
	require.Equal(t, "may have run", requireFailure(t, "platform_unavailable", err).Verdict)
}

func TestProposalOverHTTP(t *testing.T) {
	fixture := newFixture(t)
	shares := []bvtable.MemberShare{{Member: "piran", Share: 50}, {Member: "brindley", Share: 50}}
	outcome, err := fixture.client("piran-operator-key").Propose(t.Context(), shares)
	require.NoError(t, err)
	outcome, err = fixture.client("brindley-operator-key").Accept(t.Context(), outcome.Proposal.ID)
	require.NoError(t, err)
	require.Equal(t, bvtable.Accepted, outcome.Proposal.State)
}

// Guards against an edit that counts as failed because of a broken answer, and is not looked up.
func TestEditWhoseAnswerIsBrokenIsSentAgain(t *testing.T) {
	for _, broken := range []string{"HTTP/1.1 000 Trouble\r\n", "HTTP/1.1 600 Trouble\r\n", "HTTP/1.1 400 Bad\r\nX Y: 1\r\n"} {
		fixture := newFixture(t)
		listener, err := net.Listen("tcp", bvloopback.Address())
		require.NoError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		var sends atomic.Int64
		go bvstandin.ServeRaw(listener, func(conn *net.TCPConn, request *http.Request) {
			if sends.Add(1) == 1 {
				_, _ = io.WriteString(conn, broken+"Content-Length: 2\r\n\r\n{}")
				return
			}
			recorder := httptest.NewRecorder()
			fixture.mux.ServeHTTP(recorder, request)
			_ = recorder.Result().Write(conn) // the client sees a failed write
		})
		client := &Client{Address: listener.Addr().String(), Key: "piran-operator-key"}
		outcome, err := client.Set(t.Context(), budget("90"))
		require.NoError(t, err)
		require.EqualValues(t, 2, outcome.Report.Version)
		require.EqualValues(t, 2, sends.Load())
	}
}
