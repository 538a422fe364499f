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
	require.True(t, known)
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
	_, known := list.since(0)
	require.False(t, known)
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
