package bvrouter

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvroute"
)

// Guards against polls that are too rare for a deployment with short bounds.
func TestPollIntervalMeetsTheBound(t *testing.T) {
	require.Equal(t, 1500*bvclock.Millisecond, pollInterval(3*bvclock.Second))
	require.Equal(t, 400*bvclock.Millisecond, pollInterval(800*bvclock.Millisecond))
}

// Guards against a 404 for a route that a newer version may contain.
func TestCertaintyEndsBeforeANewVersionMustBeInForce(t *testing.T) {
	clock := &bvclock.Manual{}
	clock.Advance(1)
	state := &state{clock: clock, apply: 2 * bvclock.Second}
	require.False(t, state.View().UpToDate)
	state.recordConfirmation(clock.Now())
	require.True(t, state.View().UpToDate)
	clock.Advance(1900)
	require.False(t, state.View().UpToDate)
}

// Guards against hosts that query each other although the store answers them.
func TestOtherHostsAreAskedOnlyWhenTheStoreIsLate(t *testing.T) {
	require.Equal(t, 2880*bvclock.Millisecond, maxConfirmedAge(3*bvclock.Second, 5*bvclock.Second))
	require.Equal(t, 2880*bvclock.Millisecond, maxConfirmedAge(3*bvclock.Second, 0))
	require.Equal(t, 1400*bvclock.Millisecond, maxConfirmedAge(3*bvclock.Second, 2*bvclock.Second))
}

// Guards against a desired state of a reader that is older than the apply bound when it is replaced.
func TestStateOfAReaderIsOnlyTakenIfItIsRecent(t *testing.T) {
	require.Equal(t, 700*bvclock.Millisecond, maxFollowedStateAge(2*bvclock.Second, 0))
	require.Equal(t, 350*bvclock.Millisecond, maxFollowedStateAge(2*bvclock.Second, 500*bvclock.Millisecond))
}

// Guards against a desired state that is learned late because a request for it gets no answer.
func TestLostAnswerDoesNotDelayTheDesiredStateBeyondItsBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := newFakeStore()
		store.setVersion(2)
		router := newRouterOf(t, store)
		go router.followRoutes(ctx)
		bvclock.Sleep(10 * bvclock.Second)
		require.EqualValues(t, 2, router.currentVersion())
		store.hangNext()
		for store.hangs() {
			bvclock.Sleep(bvclock.Millisecond)
		}
		store.setVersion(3)
		bvclock.Sleep(testApplyBound)
		require.EqualValues(t, 3, router.currentVersion())
	})
}

// Guards against keys that are accepted after a suspension because it is not counted.
func TestKeysAreConfirmedForLessThanTheirBound(t *testing.T) {
	clock := &bvclock.Manual{}
	clock.Advance(1)
	state := &state{clock: clock, apply: 3 * bvclock.Second, revoke: 5 * bvclock.Second}
	require.False(t, state.View().KeysConfirmed)
	state.recordConfirmation(clock.Now())
	clock.Advance(4500)
	require.True(t, state.View().KeysConfirmed)
	clock.Advance(500)
	require.False(t, state.View().KeysConfirmed)
}

// Guards against a store that is reachable again but holds the request that confirms keys.
func TestOldStateIsRequestedWithoutAWait(t *testing.T) {
	clock := &bvclock.Manual{}
	clock.Advance(1)
	state := &state{clock: clock, apply: 3 * bvclock.Second}
	require.Equal(t, stateWait(state.apply), state.nextWait(false), "before the first answer")
	state.recordConfirmation(clock.Now())
	clock.Advance(2 * stateWait(state.apply))
	require.Equal(t, stateWait(state.apply), state.nextWait(false))
	clock.Advance(bvclock.Second)
	require.Equal(t, minWait, state.nextWait(false))
}

// Guards against hosts whose requests are synchronized after a change has answered all of
// them.
func TestRequestsOfHostsAreSpreadAfterAChange(t *testing.T) {
	state := &state{clock: &bvclock.Manual{}, apply: 3 * bvclock.Second}
	seen := make(map[bvclock.Duration]bool)
	for range 200 {
		wait := state.nextWait(true)
		require.LessOrEqual(t, wait, stateWait(state.apply)+minWait)
		require.GreaterOrEqual(t, wait, minWait)
		seen[wait] = true
	}
	require.Greater(t, len(seen), 100)
}

// Guards against an outage at whose start every host's last answer is one wait old.
func TestSomeRequestsDoNotWaitWhereAnswersConfirmKeys(t *testing.T) {
	state := &state{clock: &bvclock.Manual{}, apply: 3 * bvclock.Second, revoke: 5 * bvclock.Second}
	immediate := 0
	for range 1000 {
		if state.nextWait(false) == minWait {
			immediate++
		}
	}
	require.InDelta(t, 1000*immediateShare, immediate, 60)
}

// Guards against a late, older confirmation that replaces a newer one.
func TestConfirmationsNeverGoBack(t *testing.T) {
	clock := &bvclock.Manual{}
	clock.Advance(10_000)
	state := &state{clock: clock}
	state.recordConfirmation(9000)
	state.recordConfirmation(8000)
	age, known := state.Age()
	require.True(t, known)
	require.Equal(t, bvclock.Second, age)
}

// Guards against 503 in place of 401 and 404 while the store answers in time.
func TestHostIsCertainOfTheStateBetweenTwoAnswers(t *testing.T) {
	clock := &bvclock.Manual{}
	clock.Advance(1)
	state := &state{clock: clock, apply: 3 * bvclock.Second}
	requestedAt := clock.Now()
	clock.Advance(stateWait(state.apply))
	state.recordConfirmation(requestedAt) // the answer to a request that waited to its end without a change
	clock.Advance(stateWait(state.apply) + 20)
	require.True(t, state.View().UpToDate)
}

// Guards against an older version that is served with the confirmation of a newer one.
func TestOlderVersionNeverGoesWithANewerConfirmation(t *testing.T) {
	clock := &bvclock.Manual{}
	clock.Advance(1 << 40)
	state := &state{clock: clock}
	const versions = 100_000
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for version := int64(1); version <= versions; version++ {
			table, _ := bvroute.NewTable(bvroute.Rows{Version: version}) // an empty table is valid
			state.replace(table)
			state.recordConfirmation(bvclock.Time(version))
		}
	}()
	for {
		table, age, known := state.Confirmed()
		if known {
			require.GreaterOrEqual(t, table.Version(), int64(clock.Now())-int64(age))
		}
		select {
		case <-ended:
			return
		default:
		}
	}
}

// Guards against a revoked key that the confirmation of a newer version appears to confirm.
func TestKeyIsNotConfirmedByAVersionThatTookItAway(t *testing.T) {
	const between = 10 * bvclock.Second // beyond the bound: each version needs its own confirmation
	clock := &bvclock.Manual{}
	state := &state{clock: clock, revoke: between / 2}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for version := int64(1); version <= 100_000; version++ {
			now := clock.Advance(between)
			table, _ := bvroute.NewTable(bvroute.Rows{Version: version}) // an empty table is valid
			state.replace(table)
			state.recordConfirmation(now)
		}
	}()
	for {
		confirmedBy := int64(clock.Now()) / int64(between) // the version that must be in force by now
		if view := state.View(); view.KeysConfirmed {
			require.GreaterOrEqual(t, view.Table.Version(), confirmedBy)
		}
		select {
		case <-ended:
			return
		default:
		}
	}
}
