package bvstream

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
)

var (
	atV1 = Origin{"s", "v1"}
	atV2 = Origin{"s", "v2"}
)

func requireFound(t *testing.T, host *worldHost, attempt string, want Origin) {
	t.Helper()
	origin, err := host.find(attempt)
	require.NoError(t, err)
	require.Equal(t, want, origin)
}

// requireTwoOrigins starts a stream at each of two versions, so that an origin does not follow from
// being the only one.
func requireTwoOrigins(t *testing.T, host *worldHost) {
	t.Helper()
	require.True(t, host.start("other-1", atV1))
	require.True(t, host.start("other-2", atV2))
}

func TestStartIsKnownAtAllHosts(t *testing.T) {
	world := newWorld(5)
	requireTwoOrigins(t, world.hosts[0])
	require.True(t, world.hosts[0].start("a", atV1))
	for _, host := range world.hosts {
		requireFound(t, host, "a", atV1)
	}
}

func TestStartIsKnownAfterTheLossOfItsHost(t *testing.T) {
	world := newWorld(4)
	requireTwoOrigins(t, world.hosts[0])
	require.True(t, world.hosts[1].start("a", atV2))
	world.hosts[1].restart()
	requireFound(t, world.hosts[1], "a", atV2)
}

func TestStartIsUnknownAfterTheLossOfAllHosts(t *testing.T) {
	world := newWorld(3)
	requireTwoOrigins(t, world.hosts[0])
	require.True(t, world.hosts[1].start("a", atV2))
	for _, host := range world.hosts {
		host.restart()
	}
	_, err := world.hosts[0].find("a")
	require.ErrorIs(t, err, ErrNeverKnown)
}

func TestStartMayBeKnownToAHostThatDoesNotAnswer(t *testing.T) {
	world := newWorld(3)
	requireTwoOrigins(t, world.hosts[0])
	world.hosts[1].down = true
	_, err := world.hosts[0].find("a")
	require.ErrorIs(t, err, ErrUnknown)
}

// Guards against streams of a single version that are refused after the loss of all hosts.
func TestOnlyOriginIsKnownAfterTheLossOfAllHosts(t *testing.T) {
	world := newWorld(3)
	require.True(t, world.hosts[1].start("a", atV1))
	for _, host := range world.hosts {
		host.restart()
	}
	requireFound(t, world.hosts[0], "a", atV1)
	requireFound(t, world.hosts[0], "", atV1)
}

func TestOnlyOriginIsNotTrustedBesideHostsThatStoreNone(t *testing.T) {
	world := newWorld(2)
	require.True(t, world.hosts[0].start("a", atV1))
	world.old = true
	world.hosts[0].restart()
	world.hosts[1].restart()
	_, err := world.hosts[0].find("a")
	require.Error(t, err)
}

// Guards against an event that is passed on although another host can take its origin for unused.
func TestEventIsWithheldUntilItsOriginIsStored(t *testing.T) {
	world := newWorld(1)
	world.hosts[0].storeCut = true
	require.False(t, world.hosts[0].start("a", atV1))
	world.hosts[0].storeCut = false
	require.True(t, world.hosts[0].start("b", atV1))
	world.hosts[0].storeCut = true
	require.True(t, world.hosts[0].start("c", atV1), "it is stored")
}

// Guards against a version that is avoided because it is not stored, and not stored because it is
// avoided.
func TestVersionThatIsNotStoredIsStoredInTheBackground(t *testing.T) {
	world := newWorld(1)
	require.False(t, world.hosts[0].EnsureStored(HostOrigin{testHostName, atV1}))
	require.Eventually(t, func() bool { return world.hosts[0].EnsureStored(HostOrigin{testHostName, atV1}) }, testTimeout, tick)
}

// Guards against streams that can't start at a host that started while the store is away.
func TestOtherHostsKnowThatAnOriginIsStored(t *testing.T) {
	world := newWorld(3)
	require.True(t, world.hosts[0].start("a", atV1))
	require.True(t, world.hosts[1].start("b", atV1))
	world.hosts[2].storeCut = true
	require.True(t, world.hosts[2].start("c", atV1))
}

func TestOriginIsStoredAgainBeforeItIsRemoved(t *testing.T) {
	world := newWorld(2)
	require.True(t, world.hosts[0].start("a", atV1))
	world.clock.Advance(originLifetime)
	require.False(t, world.hosts[0].EnsureStored(HostOrigin{testHostName, atV1}))
	require.True(t, world.hosts[0].start("b", atV1))
	world.clock.Advance(originRetention - originLifetime + bvclock.Minute)
	origins, err := world.hosts[1].origins.read(t.Context(), prefixOf(testHostName))
	require.NoError(t, err)
	require.Equal(t, []HostOrigin{{testHostName, atV1}}, origins)
}

func TestUnusedOriginIsRemoved(t *testing.T) {
	world := newWorld(1)
	requireTwoOrigins(t, world.hosts[0])
	world.clock.Advance(originRetention + 1)
	require.True(t, world.hosts[0].start("a", atV1))
	require.Eventually(t, func() bool {
		rows, err := world.store.Scan(t.Context(), prefixOf(testHostName), "", 10)
		return err == nil && len(rows) == 1
	}, testTimeout, tick)
	world.hosts[0].restart()
	requireFound(t, world.hosts[0], "a", atV1)
}

func TestAttemptThatTwoClientsUsedTellsNothing(t *testing.T) {
	world := newWorld(4)
	requireTwoOrigins(t, world.hosts[0])
	require.True(t, world.hosts[0].start("a", atV1))
	require.True(t, world.hosts[1].start("a", atV2))
	for _, host := range world.hosts {
		_, err := host.find("a")
		require.ErrorIs(t, err, ErrAmbiguous)
	}
}

func TestAttemptOfAnotherRequestTellsNothing(t *testing.T) {
	world := newWorld(2)
	requireTwoOrigins(t, world.hosts[0])
	require.True(t, world.hosts[0].start("a", atV1))
	query := Query{Workspace: "w", Attempt: "a", Content: 7, HostName: testHostName}
	_, _, err := world.hosts[0].Find(t.Context(), query)
	require.NoError(t, err)
	query.Content = 8
	_, _, err = world.hosts[0].Find(t.Context(), query)
	require.Error(t, err, "another request")
	query.Content, query.Workspace = 7, "x"
	_, _, err = world.hosts[0].Find(t.Context(), query)
	require.Error(t, err, "another workspace")
}

func TestTooLongAttemptTellsNothing(t *testing.T) {
	_, valid := NewKey("w", strings.Repeat("a", maxAttemptBytes+1))
	require.False(t, valid)
	_, valid = NewKey("w", "")
	require.False(t, valid)
}

// Guards against a start that an endpoint made after it started again under its name at another version.
func TestStartAtAnEndpointThatHasAnotherVersionNowTellsNothing(t *testing.T) {
	world := newWorld(2)
	requireTwoOrigins(t, world.hosts[0])
	world.entries["e"] = bvplatform.Endpoint{Name: "e", Serves: "s", Version: "v1"}
	require.True(t, world.hosts[0].start("a", atV1))
	requireFound(t, world.hosts[1], "a", atV1)
	world.entries["e"] = bvplatform.Endpoint{Name: "e", Serves: "s", Version: "v2"}
	_, err := world.hosts[1].find("a")
	require.ErrorIs(t, err, ErrAmbiguous)
}

func TestStartExpires(t *testing.T) {
	var table Table
	key, _ := NewKey("w", "a")
	require.Equal(t, Known, table.Add(1, Start{Key: key}, 10))
	require.Equal(t, Known, table.Find(10, key, 0).State)
	require.Equal(t, Unknown, table.Find(11, key, 0).State)
	other, _ := NewKey("w", "b")
	table.Add(11, Start{Key: other}, 10)
	require.Equal(t, 1, table.Len())
	require.Zero(t, table.evicted)
}

func TestStartsAreBounded(t *testing.T) {
	var table Table
	for number := range maxStarts + 5 {
		table.Add(1, Start{Key: Key{byte(number), byte(number >> 8), byte(number >> 16)}}, 10)
	}
	require.Equal(t, maxStarts, table.Len())
	require.Equal(t, int64(5), table.evicted)
}

func TestKeyOfAnOriginIsReadBack(t *testing.T) {
	origin := HostOrigin{"h/x", Origin{"a/b c", "v1/é"}}
	decoded, err := decodeKey(keyOf(origin))
	require.NoError(t, err)
	require.Equal(t, origin, decoded)
}
