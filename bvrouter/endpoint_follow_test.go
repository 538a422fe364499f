package bvrouter

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
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
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvroute"
)

// Guards against a host that follows another one's list and misses a change of it.
func TestListOfAnotherHostIsFollowedWhateverIsForgotten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var source, follower endpointList
		source.update(0, whole())
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
				source.log.restart(source.next)
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

// Guards against an older list that takes the place of a newer one.
func TestListThatIsOlderThanTheAskersIsNotGiven(t *testing.T) {
	var list endpointList
	list.update(0, whole("a"))
	_, known := list.since(list.next + 1)
	require.False(t, known)
}

// Guards against a part of a list that is handed on as the whole.
func TestBorrowedListIsNotGiven(t *testing.T) {
	var list endpointList
	list.update(0, whole("a"))
	list.borrow(1, endpointsNamed("b"))
	_, known := list.since(list.next)
	require.False(t, known)
	require.False(t, list.complete())
}

// Guards against a list that is cut short on the way and taken for the whole.
func TestListThatIsCutShortIsNotTaken(t *testing.T) {
	whole := `{"Age":5,"Next":7,"Count":2}` + "\n" + `{"Name":"a"}` + "\n" + `{"Name":"b"}`
	age, changes, err := readAllEndpoints(strings.NewReader(whole))
	require.NoError(t, err)
	require.EqualValues(t, 5, age)
	require.Equal(t, []string{"a", "b"}, namesOf(changes.Listed))
	_, _, err = readAllEndpoints(strings.NewReader(whole[:len(whole)-14]))
	require.ErrorContains(t, err, "cut short")
}

// Guards against a log that grows with each change.
func TestChangeLogIsBounded(t *testing.T) {
	var log changeLog
	log.restart(1)
	for at := range int64(3 * loggedChanges) {
		log.note(at+2, "a")
	}
	require.LessOrEqual(t, len(log.changes), loggedChanges)
	_, known := log.since(1)
	require.False(t, known)
	names, known := log.since(3 * loggedChanges)
	require.True(t, known)
	require.Equal(t, []string{"a"}, names)
}

// Guards against a list that counts as newer than what the store has said.
func TestListIsAsOldAsTheQuestionUnlessItWasHeldToItsEnd(t *testing.T) {
	nothing, something := bvplatform.EndpointChanges{Next: 2}, bvplatform.EndpointChanges{Next: 2, Gone: []string{"a"}}
	require.EqualValues(t, 1000, answeredAsOf(1000, 1010, 500, nothing), "the store answered early")
	require.EqualValues(t, 1500, answeredAsOf(1000, 1510, 500, nothing))
	require.EqualValues(t, 1000, answeredAsOf(1000, 1510, 500, something))
}

// Guards against a host that is asked for its whole list by all of its zone at once.
func TestWholeListIsGivenToFewAtOnce(t *testing.T) {
	router := &Router{}
	router.copies.Store(mostCopies)
	recorder := httptest.NewRecorder()
	router.relayAllEndpoints(recorder, httptest.NewRequest(http.MethodGet, "/endpoints/all", nil))
	require.Equal(t, http.StatusServiceUnavailable, recorder.Code)
	require.EqualValues(t, mostCopies, router.copies.Load())
}

// routerOfApps hands endpoints of one service on.
func routerOfApps(t *testing.T) *Router {
	router := &Router{
		state: &state{}, dispatcher: bvdispatch.NewDispatcher(&bvclock.Manual{}, 1, "z"), connections: &bvforward.Connections{},
	}
	table, err := bvroute.NewTable(bvroute.Rows{Version: 1, Services: []bvroute.Service{{Name: "apps"}}})
	require.NoError(t, err)
	router.state.replace(table)
	return router
}

// Guards against calls to an endpoint whose entry another writer has given another service.
func TestEndpointThatServesNothingKnownAnyMoreIsNotCalled(t *testing.T) {
	router := routerOfApps(t)
	endpoint := bvplatform.Endpoint{Name: "a", Address: "at-a", Serves: "apps"}
	router.spreadEndpoints([]bvplatform.Endpoint{endpoint})
	_, found := router.dispatcher.Choose("apps", &bvdispatch.Request{})
	require.True(t, found)
	endpoint.Serves = "nobody's"
	router.changeEndpoints(listUpdate{listed: []bvplatform.Endpoint{endpoint}})
	_, found = router.dispatcher.Choose("apps", &bvdispatch.Request{})
	require.False(t, found)
}

// Guards against a crash that is not seen where an endpoint starts again under its name.
func TestRestartInAChangeCountsAsACrash(t *testing.T) {
	router := routerOfApps(t)
	start := func(start int64) bvplatform.EndpointChanges {
		endpoint := bvplatform.Endpoint{Name: "a", Address: "at-a", Serves: "apps", Started: bvclock.Time(start), Incarnation: strconv.FormatInt(start, 10)}
		return bvplatform.EndpointChanges{Listed: []bvplatform.Endpoint{endpoint}, Next: start}
	}
	first := start(1)
	first.Whole = true
	router.endpoints.update(1, first)
	router.spreadEndpoints(router.endpoints.all())
	for i := range int64(3) {
		request := &bvdispatch.Request{ContentHash: 7}
		chosen, found := router.dispatcher.Choose("apps", request)
		require.True(t, found)
		router.dispatcher.EndCall("apps", chosen.ID(), request, bvdispatch.Result{Outcome: bvdispatch.Broken})
		update, changed := router.endpoints.update(1, start(i+2))
		require.True(t, changed)
		router.changeEndpoints(update)
	}
	require.True(t, router.dispatcher.IsPoisonous(7))
}

// Guards against a compressor for each host that asks for the list of hosts.
func TestListOfHostsIsEncodedOnce(t *testing.T) {
	shared := &sharedHosts{hosts: []listedHost{{Key: "hosts//a"}}}
	require.Same(t, &shared.encoded()[0], &shared.encoded()[0])
	reader, err := gzip.NewReader(bytes.NewReader(shared.encoded()))
	require.NoError(t, err)
	var hosts []listedHost
	require.NoError(t, json.NewDecoder(reader).Decode(&hosts))
	require.Equal(t, shared.hosts, hosts)
}
