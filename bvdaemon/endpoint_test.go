package bvdaemon

import (
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvplatform"
)

func engine(name string) bvplatform.Endpoint {
	return bvplatform.Endpoint{Name: name, Kind: bvplatform.Engine, Serves: "m"}
}

// Guards against a cache that stays held since its engine was off the list for a moment.
func TestEndpointThatIsMissingForAMomentIsNotGone(t *testing.T) {
	table := &endpointTable{}
	table.update(1, []bvplatform.Endpoint{engine("a")})
	table.update(2_000, nil)
	require.False(t, table.IsGone("a"))
	require.Equal(t, []string{"a"}, table.Engines())
	_, found := table.Endpoint("a")
	require.True(t, found)
	require.False(t, table.serves(bvplatform.Engine, "m"), "it gets no new call")
}

func TestEndpointThatStaysAwayIsGone(t *testing.T) {
	table := &endpointTable{}
	table.update(1, []bvplatform.Endpoint{engine("a")})
	table.update(62_000, nil)
	require.True(t, table.IsGone("a"))
}

// Guards against a host that takes an engine for gone by a list that is too young.
func TestHostThatHasJustStartedTakesNoEndpointForGone(t *testing.T) {
	table := &endpointTable{}
	require.False(t, table.IsGone("a"))
	table.update(1, nil)
	require.False(t, table.IsGone("a"))
	table.update(30_000, nil)
	require.False(t, table.IsGone("a"))
}
