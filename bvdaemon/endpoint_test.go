package bvdaemon

import (
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvplatform"
)

func newEngine(name string) bvplatform.Endpoint {
	return bvplatform.Endpoint{Name: name, Kind: bvplatform.Engine, Serves: "m"}
}

// Guards against a cache that is never released because its engine was briefly unlisted.
func TestEndpointThatIsMissingForAMomentIsNotGone(t *testing.T) {
	table := &endpointTable{}
	table.update(1, []bvplatform.Endpoint{newEngine("a")})
	table.update(2_000, nil)
	require.False(t, table.IsGone("a"))
	require.Equal(t, []string{"a"}, table.Engines())
	_, found := table.Endpoint("a")
	require.True(t, found)
	require.False(t, table.serves(bvplatform.Engine, "m"), "an unlisted endpoint gets no new calls")
}

func TestEndpointThatStaysAwayIsGone(t *testing.T) {
	table := &endpointTable{}
	table.update(1, []bvplatform.Endpoint{newEngine("a")})
	table.update(62_000, nil)
	require.True(t, table.IsGone("a"))
}

// Guards against a host that treats an engine as gone when it has read the list for less
// than removalDelay.
func TestHostThatHasJustStartedTakesNoEndpointForGone(t *testing.T) {
	table := &endpointTable{}
	require.False(t, table.IsGone("a"))
	table.update(1, nil)
	require.False(t, table.IsGone("a"))
	table.update(30_000, nil)
	require.False(t, table.IsGone("a"))
}
