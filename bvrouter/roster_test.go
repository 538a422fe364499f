package bvrouter

import (
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
)

func endpointsNamed(names ...string) []bvplatform.Endpoint {
	var listed []bvplatform.Endpoint
	for _, name := range names {
		listed = append(listed, bvplatform.Endpoint{Name: name, Address: "at-" + name})
	}
	return listed
}

// The store was away, and all entries lapsed. The first list after it is
// empty, although every endpoint is well; callers would all be refused.
func TestEndpointsMissingRightAfterAnOutageAreKept(t *testing.T) {
	var roster roster
	roster.update(1, endpointsNamed("a", "b"))
	roster.missed()
	require.Len(t, roster.update(1000, endpointsNamed("a")), 2)
	require.Len(t, roster.update(1000+bvclock.Time(returnTime), endpointsNamed("a")), 1, "what is still missing is gone")
}

func TestEndpointThatLeftTheListIsGoneAtOnce(t *testing.T) {
	var roster roster
	roster.update(1, endpointsNamed("a", "b"))
	require.Len(t, roster.update(2, endpointsNamed("a")), 1)
}

// During the outage an endpoint's address was given to another one.
func TestMissingEndpointIsNotKeptWhereItsAddressIsTaken(t *testing.T) {
	var roster roster
	roster.update(1, endpointsNamed("a", "b"))
	roster.missed()
	taken := bvplatform.Endpoint{Name: "c", Address: "at-b"}
	require.Equal(t, []bvplatform.Endpoint{taken}, withMissing([]bvplatform.Endpoint{taken}, endpointsNamed("b")))
}
