package bvquota

import (
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
)

var bounds = Bounds{Window: 5 * bvclock.Second, Over: 0.1, Slack: 20}

func newLimiter(clock bvclock.Clock, caps ...Cap) *Limiter {
	limiter := New(clock, bounds)
	limiter.SetCaps(caps)
	return limiter
}

// fill lets a bucket fill up.
func fill(clock *bvclock.Manual) { clock.Advance(bvclock.Minute) }

func TestWorkspaceWithoutCapIsGrantedAll(t *testing.T) {
	limiter := newLimiter(&bvclock.Manual{})
	for range 1000 {
		require.Equal(t, Granted, limiter.Take("w").Outcome)
	}
	require.Empty(t, limiter.Uses())
}

func TestBurstIsGrantedAndNoMore(t *testing.T) {
	clock := &bvclock.Manual{}
	limiter := newLimiter(clock, Cap{"w", 10, 30})
	fill(clock)
	granted := 0
	for limiter.TakeHere("w").Outcome == Granted {
		granted++
	}
	require.Equal(t, 30, granted)
}

// Guards against callers of a workspace that come back as one, or before there is room.
func TestRefusalTellsWhenTheBucketHoldsARequest(t *testing.T) {
	clock := &bvclock.Manual{}
	limiter := newLimiter(clock, Cap{"w", 2, 1})
	fill(clock)
	require.Equal(t, Granted, limiter.TakeHere("w").Outcome)
	waits := make(map[bvclock.Duration]bool)
	for range 20 {
		decision := limiter.Take("w")
		require.Equal(t, Refused, decision.Outcome)
		require.GreaterOrEqual(t, decision.Wait, 500*bvclock.Millisecond)
		require.Less(t, decision.Wait, 500*bvclock.Millisecond+returnSpread)
		waits[decision.Wait] = true
	}
	require.Greater(t, len(waits), 10)
}

// Guards against a second burst after a loss of all hosts.
func TestStartGrantsNoWholeBurst(t *testing.T) {
	limiter := newLimiter(&bvclock.Manual{}, Cap{"w", 1000, 1000})
	granted := 0
	for limiter.TakeHere("w").Outcome == Granted {
		granted++
	}
	require.LessOrEqual(t, float64(granted), startShare*(bounds.Slack+bounds.Over*6000))
}

func TestRequestsOfOtherHostsLeaveLess(t *testing.T) {
	clock := &bvclock.Manual{}
	here, there := newLimiter(clock, Cap{"w", 1, 10}), newLimiter(clock, Cap{"w", 1, 10})
	fill(clock)
	for range 7 {
		there.Granted("w")
	}
	here.Hear(1, there.Uses())
	here.Hear(1, there.Uses()) // a datagram that came twice
	granted := 0
	for here.TakeHere("w").Outcome == Granted {
		granted++
	}
	require.Equal(t, 3, granted)
}

// Guards against lost datagrams: the next one tells of all requests since the start.
func TestLostTellingIsMadeUpForByTheNext(t *testing.T) {
	clock := &bvclock.Manual{}
	here, there := newLimiter(clock, Cap{"w", 0.001, 10}), newLimiter(clock, Cap{"w", 0.001, 10})
	fill(clock)
	there.Granted("w")
	here.Hear(1, there.Uses())
	for range 5 {
		there.Granted("w")
		clock.Advance(tellWindow + 1)
		there.Uses() // lost
	}
	there.Granted("w")
	here.Hear(1, there.Uses())
	granted := 0
	for here.TakeHere("w").Outcome == Granted {
		granted++
	}
	require.Equal(t, 3, granted)
}

// Guards against asking for each request of a workspace that is far below its cap.
func TestFarBelowTheCapNobodyIsAsked(t *testing.T) {
	clock := &bvclock.Manual{}
	limiter := newLimiter(clock, Cap{"w", 100, 100})
	limiter.SetHosts(10, 10, 400*bvclock.Millisecond)
	fill(clock)
	for range 100 {
		clock.Advance(100)
		require.Equal(t, Granted, limiter.Take("w").Outcome)
	}
}

// Guards against a flood that comes through all hosts at once, before any has heard of
// the others' part of it.
func TestHostAsksBeforeItTakesMoreThanItsPartUnheard(t *testing.T) {
	clock := &bvclock.Manual{}
	limiter := newLimiter(clock, Cap{"w", 100, 100})
	limiter.SetHosts(20, 20, 400*bvclock.Millisecond)
	fill(clock)
	granted := 0
	for limiter.Take("w").Outcome == Granted {
		granted++
	}
	require.Equal(t, 5, granted)
}

// Guards against a claim that is counted twice: when granted, and when its host tells.
func TestGrantedClaimCountsOnce(t *testing.T) {
	clock := &bvclock.Manual{}
	allocator, asker := newLimiter(clock, Cap{"w", 0.001, 10}), newLimiter(clock, Cap{"w", 0.001, 10})
	fill(clock)
	for range 4 {
		require.Equal(t, Granted, allocator.Claim(1, asker.OwnUse("w")).Outcome)
		asker.Granted("w")
	}
	allocator.Hear(1, asker.Uses())
	for range 6 {
		require.Equal(t, Granted, allocator.Claim(1, asker.OwnUse("w")).Outcome)
		asker.Granted("w")
	}
	require.Equal(t, Refused, allocator.Claim(1, asker.OwnUse("w")).Outcome)
}

// Guards against a group of hosts that is cut off and takes a whole cap for itself,
// while the others do too.
func TestMinorityOfHostsTakesItsShare(t *testing.T) {
	clock := &bvclock.Manual{}
	limiter := newLimiter(clock, Cap{"w", 100, 100})
	limiter.SetHosts(10, 2, 400*bvclock.Millisecond)
	fill(clock)
	granted := 0
	for range 100 {
		for limiter.TakeHere("w").Outcome == Granted {
			granted++
		}
		clock.Advance(100)
	}
	require.InDelta(t, 20+200, granted, 3)
}

// Guards against a restarted host whose counts begin again at 0.
func TestNewIncarnationIsCountedFromItsStart(t *testing.T) {
	clock := &bvclock.Manual{}
	here := newLimiter(clock, Cap{"w", 0.001, 10})
	fill(clock)
	first := newLimiter(clock, Cap{"w", 0.001, 10})
	for range 4 {
		first.Granted("w")
	}
	here.Hear(1, first.Uses())
	second := newLimiter(clock, Cap{"w", 0.001, 10})
	second.Granted("w")
	here.Hear(2, second.Uses())
	granted := 0
	for here.TakeHere("w").Outcome == Granted {
		granted++
	}
	require.Equal(t, 5, granted)
}

func TestLoweredCapHoldsAtOnce(t *testing.T) {
	clock := &bvclock.Manual{}
	limiter := newLimiter(clock, Cap{"w", 100, 100})
	fill(clock)
	limiter.SetCaps([]Cap{{"w", 1, 2}})
	granted := 0
	for limiter.TakeHere("w").Outcome == Granted {
		granted++
	}
	require.Equal(t, 2, granted)
}

// Guards against a version of the desired state that fills all buckets up again.
func TestNewVersionLeavesWhatWasTaken(t *testing.T) {
	clock := &bvclock.Manual{}
	limiter := newLimiter(clock, Cap{"w", 1, 5})
	fill(clock)
	for range 5 {
		limiter.TakeHere("w")
	}
	limiter.SetCaps([]Cap{{"w", 1, 5}})
	require.Equal(t, Refused, limiter.TakeHere("w").Outcome)
}

func TestHostsOfLongAgoAreForgotten(t *testing.T) {
	clock := &bvclock.Manual{}
	here, there := newLimiter(clock, Cap{"w", 1, 5}), newLimiter(clock, Cap{"w", 1, 5})
	there.Granted("w")
	here.Hear(1, there.Uses())
	require.Len(t, here.accounts["w"].told, 1)
	clock.Advance(2 * forgetAfter)
	here.Uses()
	require.Empty(t, here.accounts["w"].told)
}
