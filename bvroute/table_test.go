package bvroute

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func newTestTable(t *testing.T, routes ...Route) *Table {
	t.Helper()
	table, err := NewTable(Rows{Version: 1, Routes: routes, Services: []Service{{Name: "a"}, {Name: "b"}}})
	require.NoError(t, err)
	return table
}

func TestLongestPrefixWins(t *testing.T) {
	table := newTestTable(t,
		Route{Name: "short", Host: "h", Prefix: "/x/"},
		Route{Name: "long", Host: "h", Prefix: "/x/y/"},
		Route{Name: "other", Host: "g", Prefix: "/x/y/z/"})
	route, found := table.Match("h", "/x/y/z/1")
	require.True(t, found)
	require.Equal(t, "long", route.Name)
}

func TestHostNameIsComparedWithoutPortAndCase(t *testing.T) {
	table := newTestTable(t, Route{Name: "r", Host: "h.example", Prefix: "/"})
	_, found := table.Match("H.example:8080", "/1")
	require.True(t, found)
}

func TestUnknownPathHasNoRoute(t *testing.T) {
	table := newTestTable(t, Route{Name: "r", Host: "h", Prefix: "/x/"})
	_, found := table.Match("h", "/xy/1")
	require.False(t, found)
	_, found = table.Match("g", "/x/1")
	require.False(t, found)
}

func TestPrefixWithoutSlashIsRefused(t *testing.T) {
	_, err := NewTable(Rows{Version: 1, Routes: []Route{{Name: "r", Prefix: "/x"}}})
	require.ErrorContains(t, err, "route r")
}

func TestRouteToUnknownServiceIsRefused(t *testing.T) {
	_, err := NewTable(Rows{Version: 1, Routes: []Route{{Name: "r", Prefix: "/", Targets: []Target{{Service: "nobody", Weight: 1}}}}})
	require.ErrorContains(t, err, "nobody")
}

func TestSplitFollowsItsWeights(t *testing.T) {
	route := Route{Targets: []Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	counts := make(map[string]int)
	for draw := range uint64(1000) {
		counts[route.Service(draw)]++
	}
	require.Equal(t, map[string]int{"a": 900, "b": 100}, counts)
}

func TestTargetWithoutWeightGetsNothing(t *testing.T) {
	route := Route{Targets: []Target{{Service: "a", Weight: 0}, {Service: "b", Weight: 1}}}
	for draw := range uint64(10) {
		require.Equal(t, "b", route.Service(draw))
	}
}

func TestAttemptsAreAtLeastOne(t *testing.T) {
	table := newTestTable(t, Route{Name: "r", Host: "h", Prefix: "/"})
	route, _ := table.Match("h", "/")
	require.Equal(t, 1, route.Attempts)
}

// Guards against a host that routes differently by a table that it got from another host.
func TestTableRebuiltFromItsRowsIsEqual(t *testing.T) {
	table := newTestTable(t,
		Route{Name: "short", Host: "h", Prefix: "/x/", Targets: []Target{{Service: "a", Weight: 1}}},
		Route{Name: "long", Host: "h", Prefix: "/x/y/"})
	rows := table.Rows()
	again, err := NewTable(rows)
	require.NoError(t, err)
	require.Equal(t, table, again)
}

func TestTargetsOfStreamsAreListedOnce(t *testing.T) {
	split := []Target{{Service: "a", Weight: 1}, {Service: "b", Weight: 0}}
	table := newTestTable(t,
		Route{Name: "r1", Host: "h", Prefix: "/x/", Kind: Stream, Targets: split},
		Route{Name: "r2", Host: "h", Prefix: "/y/", Kind: Stream, Targets: split},
		Route{Name: "r3", Host: "g", Prefix: "/", Kind: Idempotent, Targets: split})
	require.Equal(t, []StreamTarget{{"h", "a"}}, table.StreamTargets())
	route, _ := table.Match("h", "/x/")
	require.True(t, route.HasTarget("a"))
	require.False(t, route.HasTarget("b"))
}
