package bvrouter

import (
	"math/rand/v2"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgossip"
	"balsamvalve.example/bvloopback"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvroute"
)

// confirmingHost answers requests of other hosts with an age of the desired state.
func confirmingHost(t *testing.T, age bvclock.Duration) (address string) {
	server := bvloopback.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		bvplatform.WriteAnswer(writer, struct{ Age bvclock.Duration }{age}, nil)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// Guards against another host's older confirmation that replaces a newer one.
func TestConfirmationOfAnotherHostIsUsedIfItIsNewer(t *testing.T) {
	clock := &bvclock.Manual{}
	clock.Advance(bvclock.Minute)
	router := &Router{clock: clock, log: silentLogger(), state: &state{clock: clock}}
	router.state.recordConfirmation(clock.Now())
	clock.Advance(4 * bvclock.Second)
	require.True(t, router.refreshRoutes(t.Context(), []string{confirmingHost(t, 5*bvclock.Second)}))
	age, _ := router.state.Age()
	require.Equal(t, 4*bvclock.Second, age)
	require.True(t, router.refreshRoutes(t.Context(), []string{"127.0.0.1:1", confirmingHost(t, 300)}))
	age, _ = router.state.Age()
	require.EqualValues(t, 300, age)
	require.False(t, router.refreshRoutes(t.Context(), nil))
}

func TestLeavingHostsAreNotSelected(t *testing.T) {
	digests := []*bvgossip.Digest{{Address: "a", Leaving: true}, {Address: "b"}, {Address: "c"}}
	staying := func(digest *bvgossip.Digest) bool { return !digest.GetLeaving() }
	require.ElementsMatch(t, []string{"b", "c"}, selectRandom(digests, 5, staying))
	require.Len(t, selectRandom(digests, 1, staying), 1)
}

// simulateOutage simulates hosts whose last requests to the store are spread over one wait
// before it becomes unreachable for all of them. With asksOthers, each host queries one
// other host at each check once its state is old enough. It returns the share of the checks
// at which keys were confirmed, over the time that the bound allows a host whose request
// was answered just before the outage.
func simulateOutage(t *testing.T, hosts int, asksOthers bool) float64 {
	const apply, revoke = 3 * bvclock.Second, 5 * bvclock.Second
	clock := &bvclock.Manual{}
	random := rand.New(rand.NewPCG(1, 2))
	states := make([]*state, hosts)
	table, err := bvroute.NewTable(bvroute.Rows{Version: 1})
	require.NoError(t, err)
	for i := range states {
		states[i] = &state{clock: clock, apply: apply, revoke: revoke}
		states[i].replace(table)
		states[i].recordConfirmation(1 + bvclock.Time(i)*bvclock.Time(stateWait(apply))/bvclock.Time(hosts))
	}
	clock.Advance(1 + stateWait(apply))
	confirmed, checks := 0, 0
	for range (revoke - revokeMargin) / confirmInterval {
		clock.Advance(confirmInterval)
		for _, state := range states {
			if age, _ := state.Age(); asksOthers && age > maxConfirmedAge(apply, revoke) && age < revoke {
				_, age, _ := states[random.IntN(hosts)].Confirmed()
				state.recordConfirmation(clock.Now().Add(-age))
			}
			if checks++; state.View().KeysConfirmed {
				confirmed++
			}
		}
	}
	return float64(confirmed) / float64(checks)
}

// Guards against valid keys that are refused in an outage while other hosts still accept
// them.
func TestHostsUseTheNewestConfirmationOfAnyHost(t *testing.T) {
	for _, hosts := range []int{13, 85, 300} {
		withoutAsking, withAsking := simulateOutage(t, hosts, false), simulateOutage(t, hosts, true)
		t.Logf("%d hosts: %.3f alone, %.3f together", hosts, withoutAsking, withAsking)
		require.Less(t, withoutAsking, 0.9)
		require.Greater(t, withAsking, 0.95)
	}
}
