package bvrouter

import (
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvplatform"
)

func leavingEndpoint(name string) bvplatform.Endpoint {
	return bvplatform.Endpoint{Name: name, Address: "at-" + name, State: bvplatform.HostLeaving}
}

func TestChangesOfTheListAreReportedByKind(t *testing.T) {
	var list endpointList
	update, _ := list.update(1, fullList("a", "b", "c"))
	require.ElementsMatch(t, []string{"a", "b", "c"}, update.events.added)
	update, _ = list.update(2, bvplatform.EndpointChanges{
		Listed: append(endpointsNamed("d"), leavingEndpoint("a")), Gone: []string{"b"}, Next: 2,
	})
	require.Equal(t, listEvents{added: []string{"d"}, leaving: []string{"a"}, removed: []string{"b"}}, update.events)
	update, _ = list.update(3, bvplatform.EndpointChanges{Listed: endpointsNamed("a"), Next: 3})
	require.Equal(t, listEvents{added: []string{"a"}}, update.events, "its entry went back")
	update, _ = list.update(4, bvplatform.EndpointChanges{Whole: true, Listed: endpointsNamed("d", "e"), Next: 4})
	require.Equal(t, []string{"e"}, update.events.added)
	require.ElementsMatch(t, []string{"a", "c"}, update.events.removed)
}

func TestVersionsOfListedEndpointsAreCounted(t *testing.T) {
	listed := endpointsNamed("a", "b", "c", "d")
	listed[0].Version, listed[1].Version, listed[2].Version, listed[3].Version = "v1", "v2", "v1", "v3"
	require.Equal(t, map[string]int{"v1": 2, "v2": 1}, versionsOf([]string{"a", "b", "c"}, listed))
}

func TestRetainedEndpointsAreReported(t *testing.T) {
	var list endpointList
	list.update(1, fullList("a", "b"))
	list.recordFailure()
	update, _ := list.update(1000, fullList("a"))
	require.Equal(t, listEvents{removed: []string{"b"}, retained: []string{"b"}}, update.events)
	update, _ = list.update(1000+3000, bvplatform.EndpointChanges{Next: 2})
	require.Equal(t, listEvents{dropped: []string{"b"}}, update.events)
}

// Guards against a log that does not distinguish a retained endpoint from a listed one.
func TestRetainedEndpointsAreMarked(t *testing.T) {
	var list endpointList
	list.update(1, fullList("a", "b"))
	list.recordFailure()
	known, _ := applyChanges(&list, 1000, fullList("a"))
	for _, endpoint := range known {
		require.Equal(t, endpoint.Name == "b", endpoint.IsRetained())
	}
}
