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

// whole is a list that was read whole.
func whole(names ...string) bvplatform.EndpointChanges {
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

// updated takes changes in and returns the endpoints to go by.
func updated(list *endpointList, now bvclock.Time, changes bvplatform.EndpointChanges) ([]bvplatform.Endpoint, bool) {
	_, changed := list.update(now, changes)
	return list.all(), changed
}

// Guards against a borrowed list whose entries lapsed in an outage, and that empties the pools.
func TestEndpointsMissingOnABorrowedListAreKeptForAWhile(t *testing.T) {
	var list endpointList
	list.update(1000, whole("a", "b"))
	list.missed()
	require.Equal(t, []string{"a", "b"}, namesOf(list.borrow(2000, nil)))
	require.Equal(t, []string{"a", "b", "c"}, namesOf(list.borrow(2000+bvclock.Time(returnTime)-1, endpointsNamed("c"))))
	require.Equal(t, []string{"c"}, namesOf(list.borrow(2000+bvclock.Time(returnTime), endpointsNamed("c"))))
	list.update(9000, whole("a"))
	list.update(9000+bvclock.Time(returnTime), whole("a"))
	list.missed()
	require.Equal(t, []string{"a"}, namesOf(list.borrow(12_000, nil)), "a new outage has its own time")
}

// Guards against empty pools after an outage of the store, in which all entries lapse.
func TestEndpointsMissingRightAfterAnOutageAreKept(t *testing.T) {
	var list endpointList
	list.update(1, whole("a", "b"))
	list.missed()
	known, _ := updated(&list, 1000, whole("a"))
	require.Equal(t, []string{"a", "b"}, namesOf(known))
	known, changed := updated(&list, 1000+bvclock.Time(returnTime), bvplatform.EndpointChanges{Next: 2})
	require.True(t, changed)
	require.Equal(t, []string{"a"}, namesOf(known), "what is still missing is gone")
}

func TestEndpointThatLeftTheListIsGoneAtOnce(t *testing.T) {
	var list endpointList
	list.update(1, whole("a", "b"))
	known, changed := updated(&list, 2, bvplatform.EndpointChanges{Gone: []string{"b"}, Next: 2})
	require.True(t, changed)
	require.Equal(t, []string{"a"}, namesOf(known))
}

// During the outage an endpoint's address was given to another one.
func TestMissingEndpointIsNotKeptWhereItsAddressIsTaken(t *testing.T) {
	var list endpointList
	list.update(1, whole("a", "b"))
	list.missed()
	taken := bvplatform.Endpoint{Name: "c", Address: "at-b"}
	known, _ := updated(&list, 2, bvplatform.EndpointChanges{Whole: true, Listed: []bvplatform.Endpoint{taken}, Next: 2})
	require.Equal(t, []string{"a", "c"}, namesOf(known))
}

// Guards against pools that are made anew though nothing has changed.
func TestListWithoutChangesIsNotHandedOn(t *testing.T) {
	var list endpointList
	list.update(1, whole("a", "b"))
	_, changed := list.update(1000, bvplatform.EndpointChanges{Next: 2})
	require.False(t, changed)
}

// Compares any series of changes, whole or in part, with lists that are read whole.
func TestListFollowsAnySeriesOfChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list endpointList
		listed := make(map[string]bool)
		name := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"})
		list.update(0, whole())
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
				changes = whole(slices.Sorted(maps.Keys(listed))...)
			}
			known, _ := updated(&list, bvclock.Time(now+1), changes)
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
	list.update(1, whole("a", "b"))
	known, changed := updated(&list, 2, bvplatform.EndpointChanges{Unusable: []string{"b"}, Next: 2})
	require.True(t, changed)
	require.Equal(t, []string{"a"}, namesOf(known))
}

// The same right after an outage, when entries that are only missing are kept.
func TestEndpointWhoseEntryCantBeReadIsNotKeptAfterAnOutage(t *testing.T) {
	var list endpointList
	list.update(1, whole("a", "b"))
	list.missed()
	changes := whole("a")
	changes.Unusable = []string{"b"}
	known, _ := updated(&list, 1000, changes)
	require.Equal(t, []string{"a"}, namesOf(known))
}

// Guards against an old reading that brings back an engine's earlier start.
func TestOlderStartOfAnEndpointIsIgnored(t *testing.T) {
	var list endpointList
	list.update(1, bvplatform.EndpointChanges{Whole: true, Listed: []bvplatform.Endpoint{startedAt("a", 200)}, Next: 1})
	known, _ := updated(&list, 2, bvplatform.EndpointChanges{Whole: true, Listed: []bvplatform.Endpoint{startedAt("a", 100)}, Next: 2})
	require.Equal(t, []bvplatform.Endpoint{startedAt("a", 200)}, known)
	known, _ = updated(&list, 3, bvplatform.EndpointChanges{Listed: []bvplatform.Endpoint{startedAt("a", 300)}, Next: 3})
	require.Equal(t, []bvplatform.Endpoint{startedAt("a", 300)}, known)
}

// Guards against an old list of another host that brings back an engine's earlier start.
func TestOlderStartInABorrowedListIsIgnored(t *testing.T) {
	var list endpointList
	list.update(1, bvplatform.EndpointChanges{Whole: true, Listed: []bvplatform.Endpoint{startedAt("a", 200)}, Next: 1})
	require.Equal(t, []bvplatform.Endpoint{startedAt("a", 200)}, list.borrow(1, []bvplatform.Endpoint{startedAt("a", 100)}))
}

// An entry without a start, where the engine always told one, is not its own.
func TestEntryThatTellsNoStartWhereOthersDidIsIgnored(t *testing.T) {
	var list endpointList
	list.update(1, bvplatform.EndpointChanges{Whole: true, Listed: []bvplatform.Endpoint{startedAt("a", 200)}, Next: 1})
	known, _ := updated(&list, 2, bvplatform.EndpointChanges{Listed: []bvplatform.Endpoint{startedAt("a", 0)}, Next: 2})
	require.Equal(t, []bvplatform.Endpoint{startedAt("a", 200)}, known)
}
