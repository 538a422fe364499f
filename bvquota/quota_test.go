package bvquota

import (
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
)

var bounds = Bounds{Window: 5 * bvclock.Second, OverRatio: 0.1, Slack: 20}

// newLimiter returns a limiter whose buckets have the capacity of the burst.
func newLimiter(clock bvclock.Clock, caps ...Cap) *Limiter {
	return newBounded(clock, Bounds{Window: bounds.Window}, caps...)
}

func newBounded(clock bvclock.Clock, bounds Bounds, caps ...Cap) *Limiter {
	limiter := New(clock, bounds)
	limiter.SetHosts(1, 1, 0)
	limiter.SetCaps(caps)
	return limiter
}

// fillBuckets advances the clock until all buckets are full.
func fillBuckets(clock *bvclock.Manual) { clock.Advance(24 * bvclock.Hour) }

// countGrants returns how many requests are granted, one after the other, without a wait.
func countGrants(limiter *Limiter) int {
	for count := 0; ; count++ {
		if decision := limiter.TakeAsAllocator(Request{Workspace: "w"}); decision.Outcome != Granted || decision.Wait > 0 {
			return count
		}
	}
}

func TestWorkspaceWithoutCapIsGrantedAll(t *testing.T) {
	limiter := newLimiter(&bvclock.Manual{})
	for range 1000 {
		require.Equal(t, Granted, limiter.Take(Request{Workspace: "w"}).Outcome)
	}
	require.Empty(t, limiter.RecentUsage())
}

func TestBurstIsGrantedAndNoMore(t *testing.T) {
	clock := &bvclock.Manual{}
	limiter := newLimiter(clock, Cap{"w", 10, 30})
	fillBuckets(clock)
	granted := countGrants(limiter)
	require.Equal(t, 30, granted)
}

// Guards against callers of a workspace that all retry at once, or before the bucket holds a
// request.
func TestRefusalHasTheTimeUntilTheBucketHoldsARequest(t *testing.T) {
	clock := &bvclock.Manual{}
	limiter := newLimiter(clock, Cap{"w", 2, 1})
	fillBuckets(clock)
	require.Equal(t, 1, countGrants(limiter))
	waits := make(map[bvclock.Duration]bool)
	for range 20 {
		decision := limiter.Take(Request{Workspace: "w"})
		require.Equal(t, Refused, decision.Outcome)
		require.GreaterOrEqual(t, decision.Wait, 250*bvclock.Millisecond)
		require.Less(t, decision.Wait, 500*bvclock.Millisecond+retrySpread)
		waits[decision.Wait] = true
	}
	require.Greater(t, len(waits), 10)
}

// Guards against requests that are refused although the bucket would hold them before the
// caller could retry.
func TestRequestIsHeldForWhatTheBucketGainsSoon(t *testing.T) {
	clock := &bvclock.Manual{}
	limiter := newLimiter(clock, Cap{"w", 100, 1})
	fillBuckets(clock)
	waits := []bvclock.Duration{}
	for {
		decision := limiter.TakeAsAllocator(Request{Workspace: "w"})
		if decision.Outcome != Granted {
			break
		}
		waits = append(waits, decision.Wait)
	}
	require.Len(t, waits, 26)
	for number, wait := range waits {
		require.Equal(t, bvclock.Duration(10*number), wait)
	}
}

// Guards against a second burst after a restart of all hosts.
func TestStartGrantsLessThanTheBurst(t *testing.T) {
	limiter := newBounded(&bvclock.Manual{}, bounds, Cap{"w", 1000, 1000})
	granted := countGrants(limiter)
	require.LessOrEqual(t, float64(granted), initialShare*(bounds.Slack+bounds.OverRatio*6000))
}

func TestRequestsOfOtherHostsLeaveLess(t *testing.T) {
	clock := &bvclock.Manual{}
	here, there := newLimiter(clock, Cap{"w", 1, 10}), newLimiter(clock, Cap{"w", 1, 10})
	fillBuckets(clock)
	for range 7 {
		there.RecordGrant("w")
	}
	here.RecordUsage(1, there.RecentUsage())
	here.RecordUsage(1, there.RecentUsage()) // a datagram that came twice
	granted := countGrants(here)
	require.Equal(t, 3, granted)
}

// Guards against requests counted more than once for a workspace that a digest lists twice, or whose count goes back.
func TestRepeatedAndEarlierCountsTakeNothing(t *testing.T) {
	clock := &bvclock.Manual{}
	here := newLimiter(clock, Cap{"w", 0.001, 10})
	fillBuckets(clock)
	usage := func(count uint32) Usage { return Usage{Workspace: HashWorkspace("w"), Count: count, Recent: count} }
	here.RecordUsage(1, []Usage{usage(4), usage(4), usage(2), usage(4), {Workspace: 99, Count: 7, Recent: 7}})
	here.RecordUsage(1, []Usage{usage(3), usage(1)})
	here.RecordUsage(1, []Usage{usage(4)})
	granted := countGrants(here)
	require.Equal(t, 6, granted)
}

// Guards against requests that are never counted because a datagram was lost: the next one
// has the total since the host's start.
func TestLostReportIsMadeUpForByTheNext(t *testing.T) {
	clock := &bvclock.Manual{}
	here, there := newLimiter(clock, Cap{"w", 0.001, 10}), newLimiter(clock, Cap{"w", 0.001, 10})
	fillBuckets(clock)
	there.RecordGrant("w")
	here.RecordUsage(1, there.RecentUsage())
	for range 5 {
		there.RecordGrant("w")
		clock.Advance(minReportTime + 1)
		there.RecentUsage() // lost
	}
	there.RecordGrant("w")
	here.RecordUsage(1, there.RecentUsage())
	granted := countGrants(here)
	require.Equal(t, 3, granted)
}

// Guards against a query to the allocator for each request of a workspace that is far below
// its cap.
func TestFarBelowTheCapNoAllocatorIsAsked(t *testing.T) {
	clock := &bvclock.Manual{}
	limiter := newLimiter(clock, Cap{"w", 100, 100})
	limiter.SetHosts(10, 10, 400*bvclock.Millisecond)
	fillBuckets(clock)
	for range 100 {
		clock.Advance(100)
		require.Equal(t, Granted, limiter.Take(Request{Workspace: "w"}).Outcome)
	}
}

// Guards against a flood through all hosts at once, before any host has reports on the
// others' requests.
func TestHostAsksBeforeItTakesMoreThanItsUnreportedShare(t *testing.T) {
	clock := &bvclock.Manual{}
	limiter := newLimiter(clock, Cap{"w", 100, 100})
	limiter.SetHosts(20, 20, 400*bvclock.Millisecond)
	fillBuckets(clock)
	granted := 0
	for limiter.Take(Request{Workspace: "w"}).Outcome == Granted {
		granted++
	}
	require.Equal(t, 5, granted)
}

// Guards against a claim that is counted twice: when it is granted, and when its host
// reports it.
func TestGrantedClaimCountsOnce(t *testing.T) {
	clock := &bvclock.Manual{}
	allocator, asker := newLimiter(clock, Cap{"w", 0.001, 10}), newLimiter(clock, Cap{"w", 0.001, 10})
	fillBuckets(clock)
	for range 4 {
		require.Equal(t, Granted, allocator.DecideClaim(1, asker.OwnUsage("w"), Request{}).Outcome)
		asker.RecordGrant("w")
	}
	allocator.RecordUsage(1, asker.RecentUsage())
	for range 6 {
		require.Equal(t, Granted, allocator.DecideClaim(1, asker.OwnUsage("w"), Request{}).Outcome)
		asker.RecordGrant("w")
	}
	require.Equal(t, Refused, allocator.DecideClaim(1, asker.OwnUsage("w"), Request{}).Outcome)
}

// Guards against a group of hosts that is isolated by a network partition and grants a whole
// cap.
func TestMinorityOfHostsTakesItsShare(t *testing.T) {
	clock := &bvclock.Manual{}
	limiter := newLimiter(clock, Cap{"w", 100, 100})
	limiter.SetHosts(10, 2, 400*bvclock.Millisecond)
	fillBuckets(clock)
	granted := 0
	for range 100 {
		for limiter.TakeAsAllocator(Request{Workspace: "w"}).Outcome == Granted {
			granted++
		}
		clock.Advance(100)
	}
	require.InDelta(t, 20+200, granted, 3)
}

// Guards against a restarted host that is not counted because its counts start again at 0.
func TestNewIncarnationIsCountedFromItsStart(t *testing.T) {
	clock := &bvclock.Manual{}
	here := newLimiter(clock, Cap{"w", 0.001, 10})
	fillBuckets(clock)
	first := newLimiter(clock, Cap{"w", 0.001, 10})
	for range 4 {
		first.RecordGrant("w")
	}
	here.RecordUsage(1, first.RecentUsage())
	second := newLimiter(clock, Cap{"w", 0.001, 10})
	second.RecordGrant("w")
	here.RecordUsage(2, second.RecentUsage())
	granted := countGrants(here)
	require.Equal(t, 5, granted)
}

func TestLoweredCapAppliesAtOnce(t *testing.T) {
	clock := &bvclock.Manual{}
	limiter := newLimiter(clock, Cap{"w", 100, 100})
	fillBuckets(clock)
	limiter.SetCaps([]Cap{{"w", 1, 2}})
	granted := countGrants(limiter)
	require.Equal(t, 2, granted)
}

// Guards against a version of the desired state that refills all buckets.
func TestNewVersionDoesNotRefillBuckets(t *testing.T) {
	clock := &bvclock.Manual{}
	limiter := newLimiter(clock, Cap{"w", 1, 5})
	fillBuckets(clock)
	for range 5 {
		limiter.TakeAsAllocator(Request{Workspace: "w"})
	}
	limiter.SetCaps([]Cap{{"w", 1, 5}})
	require.Equal(t, Refused, limiter.TakeAsAllocator(Request{Workspace: "w"}).Outcome)
}

func TestReportsOfFormerHostsAreDropped(t *testing.T) {
	clock := &bvclock.Manual{}
	here, there := newLimiter(clock, Cap{"w", 1, 5}), newLimiter(clock, Cap{"w", 1, 5})
	there.RecordGrant("w")
	here.RecordUsage(1, there.RecentUsage())
	require.Len(t, here.accounts["w"].reports, 1)
	clock.Advance(2 * reportRetention)
	here.RecentUsage()
	require.Empty(t, here.accounts["w"].reports)
}

// Guards against many programs that start and are refused midway, instead of fewer that
// finish.
func TestStartedProgramsGoBeforeNewOnes(t *testing.T) {
	clock := &bvclock.Manual{}
	limiter := newLimiter(clock, Cap{"w", 0.001, 20})
	fillBuckets(clock)
	for limiter.TakeAsAllocator(Request{Workspace: "w", NewProgram: true}).Outcome == Granted {
	}
	refused := limiter.Take(Request{Workspace: "w", NewProgram: true})
	require.Equal(t, Refused, refused.Outcome)
	granted := countGrants(limiter)
	require.InDelta(t, reservedShare*20, granted, 1)
}

// Guards against isolated hosts that refuse all new programs.
func TestNewProgramsStartInAMinorityToo(t *testing.T) {
	clock := &bvclock.Manual{}
	limiter := newLimiter(clock, Cap{"w", 10, 10})
	limiter.SetHosts(10, 1, 400*bvclock.Millisecond)
	fillBuckets(clock)
	require.Equal(t, Granted, limiter.TakeAsAllocator(Request{Workspace: "w", NewProgram: true}).Outcome)
}

// Guards against a restart of all hosts after which each one grants the initial level that
// is meant for all together.
func TestHostThatReachesNoOthersAsks(t *testing.T) {
	limiter := New(&bvclock.Manual{}, bounds)
	limiter.SetCaps([]Cap{{"w", 100, 100}})
	require.Equal(t, Ask, limiter.Take(Request{Workspace: "w"}).Outcome)
	limiter.SetHosts(10, 1, 400*bvclock.Millisecond)
	require.Zero(t, countGrants(limiter))
	limiter.SetHosts(10, 10, 400*bvclock.Millisecond)
	require.Equal(t, Granted, limiter.TakeAsAllocator(Request{Workspace: "w"}).Outcome)
}

// Guards against refusals below the cap when the system starts for the first time.
func TestBucketIsFullAtTheFirstStartOfAll(t *testing.T) {
	first := bounds
	first.StartFull = true
	limiter := newBounded(&bvclock.Manual{}, first, Cap{"w", 10, 10})
	for range 10 {
		require.Equal(t, Granted, limiter.TakeAsAllocator(Request{Workspace: "w"}).Outcome)
	}
}

// Guards against a host that, after a network partition, refuses requests for as long as the
// partition lasted, because it counts all requests of the others at once.
func TestReconnectedHostRefusesNoLongerThanTheOthers(t *testing.T) {
	clock := &bvclock.Manual{}
	here, there := newLimiter(clock, Cap{"w", 10, 10}), newLimiter(clock, Cap{"w", 10, 10})
	for _, limiter := range []*Limiter{here, there} {
		limiter.SetHosts(2, 2, 400*bvclock.Millisecond)
	}
	fillBuckets(clock)
	here.RecordUsage(1, there.RecentUsage())
	for range 50 {
		clock.Advance(100)
		there.RecordGrant("w")
	}
	here.RecordUsage(1, there.RecentUsage())
	require.Equal(t, Granted, here.TakeAsAllocator(Request{Workspace: "w"}).Outcome)
}

// Guards against a burst of other hosts that is mistaken for requests that were reported
// late.
func TestBurstOfAnIdleWorkspaceIsCounted(t *testing.T) {
	clock := &bvclock.Manual{}
	here, there := newLimiter(clock, Cap{"w", 10, 10}), newLimiter(clock, Cap{"w", 10, 10})
	for range 100 {
		clock.Advance(100)
		here.RecordUsage(1, there.RecentUsage()) // digests continue, without a request
	}
	for range 10 {
		there.RecordGrant("w")
	}
	here.RecordUsage(1, there.RecentUsage())
	require.Zero(t, countGrants(here))
}

// Guards against an invalid wait where the bucket gains nothing, because this host's share is
// zero.
func TestHostWithoutAShareHoldsNothing(t *testing.T) {
	clock := &bvclock.Manual{}
	limiter := New(clock, bounds)
	limiter.SetCaps([]Cap{{"w", 60, 60}})
	pass := limiter.TakeAsAllocator(Request{Workspace: "w"})
	require.GreaterOrEqual(t, pass.Wait, bvclock.Duration(0))
	require.LessOrEqual(t, pass.Wait, maxRetryAfter+retrySpread)
}

// Guards against requests that are dropped before the next digest is sent.
func TestRequestsAreReportedForLongerThanDigestsTake(t *testing.T) {
	clock := &bvclock.Manual{}
	limiter := newLimiter(clock, Cap{"w", 10, 10})
	limiter.SetHosts(300, 300, 1800*bvclock.Millisecond)
	limiter.RecordGrant("w")
	clock.Advance(1800)
	require.Len(t, limiter.RecentUsage(), 1)
	clock.Advance(2000)
	require.Empty(t, limiter.RecentUsage())
}

// Guards against a cap without a burst that never grants a request.
func TestCapWithoutABurstGrantsItsRate(t *testing.T) {
	clock := &bvclock.Manual{}
	limiter := newLimiter(clock, Cap{"w", 1, 0})
	granted := 0
	for range 100 {
		granted += min(countGrants(limiter), 1)
		clock.Advance(1000)
	}
	require.InDelta(t, 100, granted, 2)
}

// Guards against a series of versions each of which grants an isolated host its share again.
func TestNewVersionsGrantAnIsolatedHostNothingMore(t *testing.T) {
	clock := &bvclock.Manual{}
	limiter := newLimiter(clock, Cap{"w", 10, 100})
	limiter.SetHosts(10, 1, 400*bvclock.Millisecond)
	fillBuckets(clock)
	granted := 0
	for range 20 {
		granted += countGrants(limiter)
		limiter.SetCaps([]Cap{{"w", 10, 100}})
	}
	require.Equal(t, 10, granted)
}

// Guards against a standby that grants again what the allocator has already granted.
func TestStandbyReservesWhatMayBeUnreported(t *testing.T) {
	clock := &bvclock.Manual{}
	allocator, asker := newLimiter(clock, Cap{"w", 10, 20}), newLimiter(clock, Cap{"w", 10, 20})
	allocator.SetHosts(2, 2, bvclock.Second)
	fillBuckets(clock)
	granted := 0
	for allocator.DecideClaim(1, asker.OwnUsage("w"), Request{FromStandby: true}).Outcome == Granted {
		granted++
	}
	require.InDelta(t, 20-10, granted, 3)
}

// Guards against a host that has just started and refuses requests by a copy that has not
// received any reports yet.
func TestHostThatHasJustStartedAsksBeforeItRefuses(t *testing.T) {
	clock := &bvclock.Manual{}
	limiter := newBounded(clock, bounds, Cap{"w", 12, 12})
	require.Equal(t, Ask, limiter.Take(Request{Workspace: "w", NewProgram: true}).Outcome)
	for limiter.TakeAsAllocator(Request{Workspace: "w"}).Outcome == Granted {
	}
	require.Equal(t, Ask, limiter.Take(Request{Workspace: "w"}).Outcome)
}

// Guards against a standby that refuses requests only because it may have missed grants of
// the allocator.
func TestStandbyThatMayLackGrantsLeavesARequestUndecided(t *testing.T) {
	clock := &bvclock.Manual{}
	limiter := newLimiter(clock, Cap{"w", 10, 20})
	limiter.SetHosts(4, 4, 5*bvclock.Second)
	fillBuckets(clock)
	require.Equal(t, Ask, limiter.TakeAsAllocator(Request{Workspace: "w", FromStandby: true}).Outcome)
	require.Equal(t, Ask, limiter.DecideClaim(7, Usage{Workspace: HashWorkspace("w")}, Request{FromStandby: true}).Outcome)
	for limiter.TakeAsAllocator(Request{Workspace: "w"}).Outcome == Granted {
	}
	require.Equal(t, Refused, limiter.TakeAsAllocator(Request{Workspace: "w", FromStandby: true}).Outcome, "the bucket is empty")
}

// Guards against a refusal by a host that has not reached any other host yet.
func TestHostThatReachesNoOtherYetLeavesRequestsUndecided(t *testing.T) {
	clock := &bvclock.Manual{}
	first := bounds
	first.StartFull = true
	limiter := New(clock, first)
	limiter.SetCaps([]Cap{{"w", 12, 12}})
	for _, fresh := range []bool{false, true} {
		require.Equal(t, Ask, limiter.Take(Request{Workspace: "w", NewProgram: fresh}).Outcome)
		require.Equal(t, Ask, limiter.TakeAsAllocator(Request{Workspace: "w", NewProgram: fresh}).Outcome)
		require.Equal(t, Ask, limiter.DecideClaim(7, Usage{Workspace: HashWorkspace("w")}, Request{NewProgram: fresh}).Outcome)
	}
	limiter.SetHosts(4, 4, 100)
	require.Equal(t, Granted, limiter.Take(Request{Workspace: "w", NewProgram: true}).Outcome)
	for limiter.TakeAsAllocator(Request{Workspace: "w"}).Outcome == Granted {
	}
	require.Equal(t, Refused, limiter.TakeAsAllocator(Request{Workspace: "w"}).Outcome)
}

// Guards against an allocator that refuses requests for a cap of a newer desired state, which
// it does not have yet.
func TestAllocatorThatLacksACapLeavesItUndecided(t *testing.T) {
	limiter := newLimiter(&bvclock.Manual{})
	decision := limiter.DecideClaim(7, Usage{Workspace: HashWorkspace("new")}, Request{})
	require.Equal(t, Ask, decision.Outcome)
}
