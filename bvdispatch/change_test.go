package bvdispatch

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
)

// endpointsByService returns the endpoints of a dispatcher's pools, and checks that the
// indexes of each pool agree.
func endpointsByService(t require.TestingT, dispatcher *Dispatcher) map[string][]bvplatform.Endpoint {
	services := make(map[string][]bvplatform.Endpoint)
	for service, pool := range dispatcher.pools {
		require.Len(t, pool.byName, len(pool.rows))
		require.Len(t, pool.byHash, len(pool.rows))
		for _, row := range pool.rows {
			require.Same(t, row, pool.byName[row.entry.Name])
			require.Same(t, row, pool.byID(row.entry.ID()))
			require.Same(t, row, pool.byHash[HashID(row.entry.ID())])
			services[service] = append(services[service], row.entry)
		}
	}
	return services
}

// Compares a list that is updated by changes with one that is set as a whole.
func TestChangesLeadToTheSamePoolsAsTheWholeList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		followed := NewDispatcher(&bvclock.Manual{}, 1, "z")
		listed := make(map[string]bvplatform.Endpoint)
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name")
			if rapid.Bool().Draw(t, "gone") {
				delete(listed, name)
				followed.ChangeEndpoints(nil, []string{name})
				continue
			}
			entry := bvplatform.Endpoint{
				Name: name, Address: "1.1.1.1:1", Serves: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "service"),
				Incarnation: fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "start")),
			}
			listed[name] = entry
			followed.ChangeEndpoints([]bvplatform.Endpoint{entry}, nil)
		}
		replaced := NewDispatcher(&bvclock.Manual{}, 1, "z")
		replaced.SetEndpoints(slices.Collect(maps.Values(listed)))
		require.Equal(t, endpointsByService(t, replaced), endpointsByService(t, followed))
	})
}

// Guards against a change of one endpoint that resets the state of the others.
func TestOtherEndpointsKeepTheirState(t *testing.T) {
	pool := NewPool(1, "z")
	pool.SetEndpoints(engines(3))
	for _, row := range pool.rows {
		row.running = 2
	}
	changed := pool.rows[1].entry
	pool.RemoveEndpoint(changed.Name)
	pool.PutEndpoint(changed)
	require.Equal(t, []int{2, 0, 2}, []int{pool.rows[0].running, pool.rows[1].running, pool.rows[2].running})
}

// BenchmarkChange measures the cost of one endpoint's change on a list of many.
func BenchmarkChange(b *testing.B) {
	for _, count := range []int{100, 1000, 10_000, 20_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			dispatcher := NewDispatcher(bvclock.Boot(), 1, "z")
			listed := engines(count)
			dispatcher.SetEndpoints(listed)
			for i := 0; b.Loop(); i++ {
				entry := listed[i%count]
				dispatcher.ChangeEndpoints(nil, []string{entry.Name})
				dispatcher.ChangeEndpoints([]bvplatform.Endpoint{entry}, nil)
			}
		})
	}
}

// BenchmarkWholeList measures the cost of setting a whole list.
func BenchmarkWholeList(b *testing.B) {
	for _, count := range []int{100, 1000, 10_000, 20_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			dispatcher := NewDispatcher(bvclock.Boot(), 1, "z")
			listed := engines(count)
			for b.Loop() {
				dispatcher.SetEndpoints(listed)
			}
		})
	}
}
