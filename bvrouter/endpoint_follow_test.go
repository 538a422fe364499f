package bvrouter

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvdispatch"
	"balsamvalve.example/bvforward"
	"balsamvalve.example/bvlog"
	"balsamvalve.example/bvloopback"
	"balsamvalve.example/bvmeasure"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvroute"
	"balsamvalve.example/bvsetting"
	"balsamvalve.example/bvsuspect"
)

// Guards against a host that gets its list from another host and misses a change.
func TestListOfAnotherHostIsFollowedAfterTruncatedLogs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var source, follower endpointList
		source.update(0, fullList())
		name := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"})
		for now := range rapid.IntRange(1, 40).Draw(t, "looks") {
			changes := bvplatform.EndpointChanges{Next: int64(now + 2)}
			for _, changed := range rapid.SliceOfDistinct(name, rapid.ID[string]).Draw(t, "changed") {
				if _, found := source.listed[changed]; found {
					changes.Gone = append(changes.Gone, changed)
					continue
				}
				changes.Listed = append(changes.Listed, endpointsNamed(changed)...)
			}
			source.update(bvclock.Time(now+1), changes)
			if rapid.Bool().Draw(t, "forgets") {
				source.log.reset(source.next)
			}
			if rapid.Bool().Draw(t, "asks") {
				follow(t, &follower, &source, bvclock.Time(now+1))
			}
		}
		follow(t, &follower, &source, 100)
	})
}

func follow(t *rapid.T, follower, source *endpointList, now bvclock.Time) {
	changes, known := source.since(follower.next)
	if !known {
		changes = bvplatform.EndpointChanges{Whole: true, Listed: source.all(), Next: source.next}
	}
	follower.update(now, changes)
	require.Equal(t, slices.Sorted(maps.Keys(source.listed)), namesOf(follower.all()))
}

// Guards against an older list that replaces a newer one, and against a host that reads from the store because its list is newer.
func TestOlderListThanTheRequestersChangesNothingThere(t *testing.T) {
	var older, newer endpointList
	older.update(0, fullList("a", "b"))
	newer.update(0, fullList("a", "b"))
	newer.update(1, bvplatform.EndpointChanges{Gone: []string{"b"}, Next: 5})
	changes, known := older.since(newer.next)
	require.True(t, known)
	require.Equal(t, bvplatform.EndpointChanges{Next: 5}, changes)
	inUse, changed := applyChanges(&newer, 2, changes)
	require.False(t, changed)
	require.Equal(t, []string{"a"}, namesOf(inUse))
	require.EqualValues(t, 5, newer.next)
}

// Guards against a partial list that is served as the full one.
func TestSubstituteListIsNotServed(t *testing.T) {
	var list endpointList
	list.update(0, fullList("a"))
	list.useSubstitute(1, endpointsNamed("b"))
	_, known := list.since(list.next)
	require.False(t, known)
	require.False(t, list.isComplete())
}

// Guards against a list that is truncated in transfer and treated as the full one.
func TestListThatIsCutShortIsNotTaken(t *testing.T) {
	encoded := `{"Age":5,"Next":7,"Count":2}` + "\n" + `{"Name":"a"}` + "\n" + `{"Name":"b"}`
	age, changes, err := decodeEndpointList(strings.NewReader(encoded))
	require.NoError(t, err)
	require.EqualValues(t, 5, age)
	require.Equal(t, []string{"a", "b"}, namesOf(changes.Listed))
	_, _, err = decodeEndpointList(strings.NewReader(encoded[:len(encoded)-14]))
	require.ErrorContains(t, err, "cut short")
}

// Guards against a log that grows without bound.
func TestChangeLogIsBounded(t *testing.T) {
	var log changeLog
	log.reset(1)
	for sequence := range int64(3 * maxLoggedChanges) {
		log.add(sequence+2, "a")
	}
	require.LessOrEqual(t, len(log.changes), maxLoggedChanges)
	_, known := log.since(1)
	require.False(t, known)
	names, known := log.since(3 * maxLoggedChanges)
	require.True(t, known)
	require.Equal(t, []string{"a"}, names)
}

// Guards against a list that counts as newer than the store's answer.
func TestListIsAsOldAsTheRequestUnlessItWaitedToItsEnd(t *testing.T) {
	unchanged, changed := bvplatform.EndpointChanges{Next: 2}, bvplatform.EndpointChanges{Next: 2, Gone: []string{"a"}}
	require.EqualValues(t, 1000, asOfTime(1000, 1010, 500, unchanged), "the store answered before the end of the wait")
	require.EqualValues(t, 1500, asOfTime(1000, 1510, 500, unchanged))
	require.EqualValues(t, 1000, asOfTime(1000, 1510, 500, changed))
}

// Guards against a host that serves its full list to all hosts of its zone at once.
func TestFullListIsServedToFewHostsAtOnce(t *testing.T) {
	router := &Router{}
	router.listCopies.Store(maxListCopies)
	recorder := httptest.NewRecorder()
	router.relayEndpointList(recorder, httptest.NewRequest(http.MethodGet, "/endpoints/all", nil))
	require.Equal(t, http.StatusServiceUnavailable, recorder.Code)
	require.EqualValues(t, maxListCopies, router.listCopies.Load())
}

// routerOfApps returns a router whose desired state has the one service apps.
func routerOfApps(t *testing.T) *Router {
	router := &Router{
		state: &state{}, dispatcher: bvdispatch.NewDispatcher(&bvclock.Manual{}, 1, "z"), connections: &bvforward.Connections{},
	}
	table, err := bvroute.NewTable(bvroute.Rows{Version: 1, Services: []bvroute.Service{{Name: "apps"}}})
	require.NoError(t, err)
	router.state.replace(table)
	return router
}

// Guards against calls to an endpoint whose entry another writer has changed to another
// service.
func TestEndpointOfAnUnknownServiceIsNotCalled(t *testing.T) {
	router := routerOfApps(t)
	endpoint := bvplatform.Endpoint{Name: "a", Address: "at-a", Serves: "apps"}
	router.setEndpoints([]bvplatform.Endpoint{endpoint})
	_, found := router.dispatcher.Choose("apps", &bvdispatch.Request{})
	require.True(t, found)
	endpoint.Serves = "nobody's"
	router.changeEndpoints(listUpdate{listed: []bvplatform.Endpoint{endpoint}})
	_, found = router.dispatcher.Choose("apps", &bvdispatch.Request{})
	require.False(t, found)
}

// Guards against a crash that goes unnoticed because the endpoint restarts under its name.
func TestRestartInAChangeCountsAsACrash(t *testing.T) {
	router := routerOfApps(t)
	suspects := bvsuspect.New(&bvclock.Manual{}, nil, bvmeasure.New(), bvlog.New(io.Discard))
	router.dispatcher.SetObserver(suspects)
	start := func(start int64) bvplatform.EndpointChanges {
		endpoint := bvplatform.Endpoint{Name: "a", Address: "at-a", Serves: "apps", Started: bvclock.Time(start), Incarnation: strconv.FormatInt(start, 10)}
		return bvplatform.EndpointChanges{Listed: []bvplatform.Endpoint{endpoint}, Next: start}
	}
	first := start(1)
	first.Whole = true
	router.endpoints.update(1, first)
	router.setEndpoints(router.endpoints.all())
	content := bvsuspect.Content{Request: bvsuspect.Fingerprint{Exact: 7, AnyQuery: 7}}
	for i := range int64(3) {
		chosen, found := router.dispatcher.Choose("apps", &bvdispatch.Request{})
		require.True(t, found)
		suspects.RecordBrokenCall(bvsuspect.BrokenCall{Content: content, Endpoint: bvdispatch.HashID(chosen.ID())})
		update, changed := router.endpoints.update(1, start(i+2))
		require.True(t, changed)
		router.changeEndpoints(update)
	}
	require.Equal(t, bvsuspect.Denied, suspects.Decide(content).Access)
}

// Guards against a compressor for each request for the list of hosts.
func TestListOfHostsIsEncodedOnce(t *testing.T) {
	shared := &sharedHosts{hosts: []listedHost{{Key: "hosts//a"}}}
	require.Same(t, &shared.encoded()[0], &shared.encoded()[0])
	reader, err := gzip.NewReader(bytes.NewReader(shared.encoded()))
	require.NoError(t, err)
	var hosts []listedHost
	require.NoError(t, json.NewDecoder(reader).Decode(&hosts))
	require.Equal(t, shared.hosts, hosts)
}

// readerOfAge returns the address of a host whose list has an age.
func readerOfAge(t *testing.T, age bvclock.Duration) string {
	server := bvloopback.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		bvplatform.WriteAnswer(writer, struct {
			Age     bvclock.Duration
			Changes bvplatform.EndpointChanges
		}{age, bvplatform.EndpointChanges{Next: 2}}, nil)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func followerOf(bound bvclock.Duration) *Router {
	clock := bvclock.Boot()
	return &Router{
		settings: bvsetting.Host{DrainBound: bound, ApplyBound: bound}, clock: clock, log: silentLogger(),
		state: &state{clock: clock, apply: bound}, counters: bvmeasure.New(),
	}
}

// Guards against a list whose age, with the time until the next request, exceeds the drain bound.
func TestListOfAReaderIsOnlyTakenIfItIsRecent(t *testing.T) {
	const bound = 10 * bvclock.Second // leaves the time for the request itself out of account
	router := followerOf(bound)
	_, err := router.queryHostsForChanges(t.Context(), []string{readerOfAge(t, shareOf(bound, 0.3))}, 1, maxFollowedAgeShare)
	require.NoError(t, err)
	old := readerOfAge(t, shareOf(bound, 0.5))
	_, err = router.queryHostsForChanges(t.Context(), []string{old}, 1, maxFollowedAgeShare)
	require.ErrorIs(t, err, errNoSource)
	_, err = router.queryHostsForChanges(t.Context(), []string{old}, 1, maxRelayedAgeShare)
	require.NoError(t, err, "while the store does not answer, an older list is better than none")
}
