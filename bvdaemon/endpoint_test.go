package bvdaemon

import (
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvplatform"
)

func engine(name string) bvplatform.Endpoint {
	return bvplatform.Endpoint{Name: name, Kind: bvplatform.Engine, Serves: "m"}
}

// An engine misses one announcement and drops off the lagging list just when a
// program on it ends. Its cache counted as gone and stayed held for good.
func TestEndpointThatIsMissingForAMomentIsNotGone(t *testing.T) {
	table := &endpointTable{}
	table.update(1, []bvplatform.Endpoint{engine("a")})
	table.update(2_000, nil)
	require.False(t, table.Gone("a"))
	require.Equal(t, []string{"a"}, table.Engines())
	_, found := table.Endpoint("a")
	require.True(t, found)
	require.False(t, table.serves(bvplatform.Engine, "m"), "it gets no new call")
}

func TestEndpointThatStaysAwayIsGone(t *testing.T) {
	table := &endpointTable{}
	table.update(1, []bvplatform.Endpoint{engine("a")})
	table.update(62_000, nil)
	require.True(t, table.Gone("a"))
}

// A host that has just started takes a program over and reads that an engine
// holds its cache. The host has not seen that engine: its lists are too young
// to say that there is none.
func TestHostThatHasJustStartedTakesNoEndpointForGone(t *testing.T) {
	table := &endpointTable{}
	require.False(t, table.Gone("a"))
	table.update(1, nil)
	require.False(t, table.Gone("a"))
	table.update(30_000, nil)
	require.False(t, table.Gone("a"))
}
