package bvdispatch

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
)

// versioned returns endpoints of versions: e0 is of the first one.
func versioned(versions ...string) []bvplatform.Endpoint {
	listed := engines(len(versions))
	for i := range listed {
		listed[i].Version = versions[i]
	}
	return listed
}

func newVersionPool(versions ...string) *Pool {
	pool := NewPool(1, "")
	pool.SetEndpoints(versioned(versions...))
	return pool
}

func pinned(version string) *Request { return &Request{Pinned: true, Version: version} }

func TestPinnedRequestStaysAtItsVersion(t *testing.T) {
	pool := newVersionPool("v1", "v2", "v1", "v2")
	for range 50 {
		chosen, found := pool.Choose(0, pinned("v2"))
		require.True(t, found)
		require.Equal(t, "v2", chosen.Version)
	}
	require.Len(t, pool.Shortlist(0, pinned("v1")), 2)
	_, found := pool.Choose(0, pinned("v3"))
	require.False(t, found)
}

// Guards against another version as the last resort while all endpoints of the version are paused.
func TestPinnedRequestStaysAtItsVersionWhileItsEndpointsArePaused(t *testing.T) {
	pool := newVersionPool("v1", "v2")
	for range 10 {
		pool.BeginCall(0, "e0", &Request{})
		pool.EndCall(0, "e0", Result{Outcome: Unreachable})
	}
	chosen, found := pool.Choose(0, pinned("v1"))
	require.True(t, found)
	require.Equal(t, "e0", chosen.Name)
	request := pinned("v1")
	request.Excluded = map[string]bool{"e0": true}
	_, found = pool.Choose(0, request)
	require.False(t, found)
}

func TestPinnedRequestNeverGoesToALeavingEndpoint(t *testing.T) {
	pool := newVersionPool("v1", "v2")
	leaving := versioned("v1")[0]
	leaving.State = bvplatform.HostLeaving
	pool.PutEndpoint(leaving)
	_, found := pool.Choose(0, pinned("v1"))
	require.False(t, found)
	require.Equal(t, map[string]int{"v2": 1}, pool.OpenVersions(0))
}

// Guards against a rare version that no random candidate of a long list has.
func TestPinnedRequestFindsARareVersionInALongList(t *testing.T) {
	listed := manyEngines(2000)
	for i := range listed {
		listed[i].Version = "v1"
	}
	listed[1234].Version = "v2"
	pool := NewPool(1, "")
	pool.SetEndpoints(listed)
	chosen, found := pool.Choose(0, pinned("v2"))
	require.True(t, found)
	require.Equal(t, listed[1234].Name, chosen.Name)
}

// startsAt counts at which versions new streams start, with no other load.
func startsAt(pool *Pool, unstored map[string]bool) map[string]int {
	counts := make(map[string]int)
	for range 60 {
		chosen, _ := pool.Choose(0, &Request{StartsStream: true, Unstored: unstored})
		counts[chosen.Version]++
	}
	return counts
}

func TestStreamsStartAtAVersionThatStays(t *testing.T) {
	listed := versioned("v1", "v1", "v1", "v2", "v2")
	listed[0].State = bvplatform.HostLeaving
	pool := NewPool(1, "")
	pool.SetEndpoints(listed)
	require.Equal(t, map[string]int{"v2": 60}, startsAt(pool, nil))
	listed[0].State = bvplatform.HostLive
	pool.SetEndpoints(listed)
	require.Len(t, startsAt(pool, nil), 2, "no version is about to go")
}

// Guards against streams that all wait while the version that stays is full.
func TestStreamsStartAtAVersionThatGoesIfTheOtherIsFull(t *testing.T) {
	listed := versioned("v1", "v1", "v1", "v2", "v2")
	listed[0].State = bvplatform.HostLeaving
	pool := NewPool(1, "")
	pool.SetEndpoints(listed)
	begun := make(map[string]int)
	for range 60 {
		chosen, _ := pool.Choose(0, &Request{StartsStream: true})
		pool.BeginCall(0, chosen.Name, &Request{})
		begun[chosen.Version]++
	}
	require.Greater(t, begun["v1"], 10)
	require.Greater(t, begun["v2"], begun["v1"])
}

func TestStreamsStartAtAVersionThatIsStored(t *testing.T) {
	pool := newVersionPool("v1", "v1", "v2", "v2")
	require.Equal(t, map[string]int{"v1": 60}, startsAt(pool, map[string]bool{"v2": true}))
	pool.RemoveEndpoint("e0")
	pool.RemoveEndpoint("e1")
	require.Equal(t, map[string]int{"v2": 60}, startsAt(pool, map[string]bool{"v2": true}))
}

// Guards against counts of versions that drift from the list.
func TestVersionsAreCountedAsListed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool := NewPool(1, "")
		entry := func(t *rapid.T) bvplatform.Endpoint {
			return bvplatform.Endpoint{
				Name:        fmt.Sprint("e", rapid.IntRange(0, 3).Draw(t, "name")),
				Version:     rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version"),
				State:       rapid.SampledFrom([]bvplatform.HostState{bvplatform.HostLive, bvplatform.HostLeaving}).Draw(t, "state"),
				Incarnation: rapid.SampledFrom([]string{"1", "2"}).Draw(t, "incarnation"),
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"put":    func(t *rapid.T) { pool.PutEndpoint(entry(t)) },
			"remove": func(t *rapid.T) { pool.RemoveEndpoint(entry(t).Name) },
			"set":    func(t *rapid.T) { pool.SetEndpoints([]bvplatform.Endpoint{entry(t)}) },
			"": func(t *rapid.T) {
				want := make(map[string]versionCount)
				for _, row := range pool.rows {
					count := want[row.entry.Version]
					if row.entry.AcceptsCalls(bvclock.Time(0)) {
						count.live++
					} else {
						count.leaving++
					}
					want[row.entry.Version] = count
				}
				require.Equal(t, want, pool.versions)
			},
		})
	})
}
