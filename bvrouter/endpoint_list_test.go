package bvrouter

import (
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
)

// fullList is the answer with a full list.
func fullList(names ...string) bvplatform.EndpointChanges {
	return bvplatform.EndpointChanges{Whole: true, Listed: endpointsNamed(names...), Next: 1}
}

func namesOf(endpoints []bvplatform.Endpoint) []string {
	var names []string
	for _, endpoint := range endpoints {
		names = append(names, endpoint.Name)
	}
	slices.Sort(names)
	return names
}

func endpointsNamed(names ...string) []bvplatform.Endpoint {
	var listed []bvplatform.Endpoint
	for _, name := range names {
		listed = append(listed, bvplatform.Endpoint{Name: name, Address: "at-" + name})
	}
	return listed
}

// applyChanges updates the list and returns the endpoints in use.
func applyChanges(list *endpointList, now bvclock.Time, changes bvplatform.EndpointChanges) ([]bvplatform.Endpoint, bool) {
	_, changed := list.update(now, changes)
	return list.all(), changed
}

// Guards against a substitute list whose entries expired in an outage and that empties the
// pools.
func TestEndpointsMissingOnASubstituteListAreRetainedForATime(t *testing.T) {
	var list endpointList
	list.update(1000, fullList("a", "b"))
	list.recordFailure()
	require.Equal(t, []string{"a", "b"}, namesOf(list.useSubstitute(2000, nil)))
	require.Equal(t, []string{"a", "b", "c"}, namesOf(list.useSubstitute(2000+bvclock.Time(reregistrationTime)-1, endpointsNamed("c"))))
	require.Equal(t, []string{"c"}, namesOf(list.useSubstitute(2000+bvclock.Time(reregistrationTime), endpointsNamed("c"))))
	list.update(9000, fullList("a"))
	list.update(9000+bvclock.Time(reregistrationTime), fullList("a"))
	list.recordFailure()
	require.Equal(t, []string{"a"}, namesOf(list.useSubstitute(12_000, nil)), "the time is counted anew for a new outage")
}

// Guards against empty pools after an outage of the store, in which all entries expire.
func TestEndpointsMissingRightAfterAnOutageAreKept(t *testing.T) {
	var list endpointList
	list.update(1, fullList("a", "b"))
	list.recordFailure()
	known, _ := applyChanges(&list, 1000, fullList("a"))
	require.Equal(t, []string{"a", "b"}, namesOf(known))
	known, changed := applyChanges(&list, 1000+bvclock.Time(reregistrationTime), bvplatform.EndpointChanges{Next: 2})
	require.True(t, changed)
	require.Equal(t, []string{"a"}, namesOf(known), "endpoints that are still missing are removed")
}

func TestEndpointThatLeftTheListIsGoneAtOnce(t *testing.T) {
	var list endpointList
	list.update(1, fullList("a", "b"))
	known, changed := applyChanges(&list, 2, bvplatform.EndpointChanges{Gone: []string{"b"}, Next: 2})
	require.True(t, changed)
	require.Equal(t, []string{"a"}, namesOf(known))
}

// Guards against calls to an endpoint whose address was reassigned during an outage.
func TestMissingEndpointIsNotKeptWhereItsAddressIsTaken(t *testing.T) {
	var list endpointList
	list.update(1, fullList("a", "b"))
	list.recordFailure()
	taken := bvplatform.Endpoint{Name: "c", Address: "at-b"}
	known, _ := applyChanges(&list, 2, bvplatform.EndpointChanges{Whole: true, Listed: []bvplatform.Endpoint{taken}, Next: 2})
	require.Equal(t, []string{"a", "c"}, namesOf(known))
}

// Guards against pools that are rebuilt although nothing has changed.
func TestListWithoutChangesIsNotHandedOn(t *testing.T) {
	var list endpointList
	list.update(1, fullList("a", "b"))
	_, changed := list.update(1000, bvplatform.EndpointChanges{Next: 2})
	require.False(t, changed)
}

// Compares any series of changes and full lists with the expected list.
func TestListFollowsAnySeriesOfChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list endpointList
		listed := make(map[string]bool)
		name := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"})
		list.update(0, fullList())
		for now := range rapid.IntRange(1, 30).Draw(t, "looks") {
			changes := bvplatform.EndpointChanges{Next: int64(now + 1)}
			for _, changed := range rapid.SliceOfDistinct(name, rapid.ID[string]).Draw(t, "changed") {
				if listed[changed] {
					changes.Gone = append(changes.Gone, changed)
					delete(listed, changed)
					continue
				}
				changes.Listed = append(changes.Listed, endpointsNamed(changed)...)
				listed[changed] = true
			}
			if rapid.Bool().Draw(t, "history gone") {
				changes = fullList(slices.Sorted(maps.Keys(listed))...)
			}
			known, _ := applyChanges(&list, bvclock.Time(now+1), changes)
			require.Equal(t, slices.Sorted(maps.Keys(listed)), namesOf(known))
		}
	})
}

func startedAt(name string, started bvclock.Time) bvplatform.Endpoint {
	return bvplatform.Endpoint{Name: name, Address: "at-" + name, Started: started}
}

// Guards against calls to an engine whose entry another writer has overwritten.
func TestEndpointWhoseEntryCantBeReadIsNotUsed(t *testing.T) {
	var list endpointList
	list.update(1, fullList("a", "b"))
	known, changed := applyChanges(&list, 2, bvplatform.EndpointChanges{Unusable: []string{"b"}, Next: 2})
	require.True(t, changed)
	require.Equal(t, []string{"a"}, namesOf(known))
}

// Guards against the same right after an outage, when missing endpoints are retained.
func TestEndpointWhoseEntryCantBeReadIsNotKeptAfterAnOutage(t *testing.T) {
	var list endpointList
	list.update(1, fullList("a", "b"))
	list.recordFailure()
	changes := fullList("a")
	changes.Unusable = []string{"b"}
	known, _ := applyChanges(&list, 1000, changes)
	require.Equal(t, []string{"a"}, namesOf(known))
}

// Guards against an outdated read that restores an engine's earlier start.
func TestOlderStartOfAnEndpointIsIgnored(t *testing.T) {
	var list endpointList
	list.update(1, bvplatform.EndpointChanges{Whole: true, Listed: []bvplatform.Endpoint{startedAt("a", 200)}, Next: 1})
	known, _ := applyChanges(&list, 2, bvplatform.EndpointChanges{Whole: true, Listed: []bvplatform.Endpoint{startedAt("a", 100)}, Next: 2})
	require.Equal(t, []bvplatform.Endpoint{startedAt("a", 200)}, known)
	known, _ = applyChanges(&list, 3, bvplatform.EndpointChanges{Listed: []bvplatform.Endpoint{startedAt("a", 300)}, Next: 3})
	require.Equal(t, []bvplatform.Endpoint{startedAt("a", 300)}, known)
}

// Guards against another host's outdated list that restores an engine's earlier start.
func TestOlderStartInASubstituteListIsIgnored(t *testing.T) {
	var list endpointList
	list.update(1, bvplatform.EndpointChanges{Whole: true, Listed: []bvplatform.Endpoint{startedAt("a", 200)}, Next: 1})
	require.Equal(t, []bvplatform.Endpoint{startedAt("a", 200)}, list.useSubstitute(1, []bvplatform.Endpoint{startedAt("a", 100)}))
}

// Guards against an entry that another writer has overwritten: the engine's own entries
// always have a start time.
func TestEntryWithoutAStartIsIgnoredAfterOnesWithAStart(t *testing.T) {
	var list endpointList
	list.update(1, bvplatform.EndpointChanges{Whole: true, Listed: []bvplatform.Endpoint{startedAt("a", 200)}, Next: 1})
	known, _ := applyChanges(&list, 2, bvplatform.EndpointChanges{Listed: []bvplatform.Endpoint{startedAt("a", 0)}, Next: 2})
	require.Equal(t, []bvplatform.Endpoint{startedAt("a", 200)}, known)
}

// Guards against calls to an endpoint that leaves after the host has reached the platform again.
func TestRemovalAfterTheFirstAnswerOfAnOutageIsFinal(t *testing.T) {
	var list endpointList
	list.update(1, fullList("a", "b"))
	list.recordFailure()
	list.update(5000, bvplatform.EndpointChanges{Next: 2})
	known, changed := applyChanges(&list, 5100, bvplatform.EndpointChanges{Gone: []string{"b"}, Next: 3})
	require.True(t, changed)
	require.Equal(t, []string{"a"}, namesOf(known))
}

// Guards against an endpoint that is retained although no entry can have expired.
func TestShortOutageRetainsNothing(t *testing.T) {
	list := endpointList{minExpiry: 2400}
	list.update(1, fullList("a", "b"))
	list.recordFailure()
	known, _ := applyChanges(&list, 2400, bvplatform.EndpointChanges{Gone: []string{"b"}, Next: 2})
	require.Equal(t, []string{"a"}, namesOf(known))
}

// Guards against a failed read that prolongs the retention of the outage before it.
func TestRetentionIsNotProlongedByFurtherFailures(t *testing.T) {
	list := endpointList{minExpiry: 2400}
	list.update(1, fullList("a", "b"))
	list.recordFailure()
	list.update(5000, fullList("a"))
	list.recordFailure()
	list.update(6900, bvplatform.EndpointChanges{Next: 2})
	require.Equal(t, bvclock.Time(5000).Add(reregistrationTime), list.missing["b"].RetainedUntil)
	known, _ := applyChanges(&list, 7000, bvplatform.EndpointChanges{Next: 3})
	require.Equal(t, []string{"a"}, namesOf(known))
}

// Guards against calls to an endpoint that was leaving before an outage.
func TestLeavingEndpointIsNotRetained(t *testing.T) {
	var list endpointList
	list.update(1, bvplatform.EndpointChanges{Whole: true, Listed: append(endpointsNamed("a"), leavingEndpoint("b")), Next: 1})
	list.recordFailure()
	known, _ := applyChanges(&list, 5000, fullList("a"))
	require.Equal(t, []string{"a"}, namesOf(known))
}

// Guards against an endpoint that stays in use although it was back and has left.
func TestRetainedEndpointThatIsRemovedAgainIsDropped(t *testing.T) {
	var list endpointList
	list.update(1, fullList("a", "b"))
	list.recordFailure()
	list.update(5000, fullList("a"))
	known, changed := applyChanges(&list, 5100, bvplatform.EndpointChanges{Gone: []string{"b"}, Next: 2})
	require.True(t, changed)
	require.Equal(t, []string{"a"}, namesOf(known))
}

// Guards against a retained endpoint that loses its cache when its entry is back.
func TestRetainedEndpointThatIsListedAgainDoesNotCountAsGone(t *testing.T) {
	var list endpointList
	list.update(1, fullList("a", "b"))
	list.recordFailure()
	update, _ := list.update(5000, bvplatform.EndpointChanges{Gone: []string{"b"}, Next: 2})
	require.Empty(t, update.gone)
	update, _ = list.update(5500, bvplatform.EndpointChanges{Listed: endpointsNamed("b"), Next: 3})
	require.Empty(t, update.gone)
	require.Equal(t, endpointsNamed("b"), update.listed)
	require.Empty(t, list.missing)
}

// Guards against a store that fails again before the endpoints have registered, and empty pools then.
func TestEndpointRetainedAsAnOutageBeginsIsRetainedAfterIt(t *testing.T) {
	list := endpointList{minExpiry: 2400}
	list.update(1, fullList("a", "b"))
	list.recordFailure()
	list.update(5000, fullList())
	list.recordFailure()
	known, _ := applyChanges(&list, 9000, bvplatform.EndpointChanges{Listed: endpointsNamed("a"), Next: 2})
	require.Equal(t, []string{"a", "b"}, namesOf(known))
	require.Equal(t, bvclock.Time(9000).Add(reregistrationTime), list.missing["b"].RetainedUntil)
}

// Guards against pools that empty in a second outage, in which the retained endpoints can't register.
func TestRetentionIsHeldWhileTheListCantBeRead(t *testing.T) {
	list := endpointList{minExpiry: 2400}
	list.update(1, fullList("a", "b"))
	list.recordFailure()
	list.update(5000, fullList("a"))
	list.recordFailure()
	held := list.holdRetention()
	require.Equal(t, []string{"b"}, namesOf(held))
	require.True(t, held[0].AcceptsCalls(9000))
	list.update(7100, bvplatform.EndpointChanges{Next: 2})
	require.Empty(t, list.missing, "the outage was too short for the entry of b to expire again")
}

// Guards against an endpoint that stays in the pool without calls because its retention ended in an outage.
func TestRetentionThatEndedInAnOutageIsReportedAsGone(t *testing.T) {
	list := endpointList{minExpiry: 2400}
	list.update(1, fullList("a", "b"))
	list.recordFailure()
	list.update(5000, fullList("a"))
	list.recordFailure()
	list.holdRetention()
	update, changed := list.update(7100, bvplatform.EndpointChanges{Next: 2})
	require.True(t, changed)
	require.Equal(t, []string{"b"}, namesOf(update.gone))
	require.Empty(t, update.listed)
}
