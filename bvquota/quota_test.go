package bvquota

import (
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
)

var bounds = Bounds{Window: 5 * bvclock.Second, OverRatio: 0.1, Slack: 20}

// newLimiter returns a limiter whose buckets hold the burst and no more.
func newLimiter(clock bvclock.Clock, caps ...Cap) *Limiter {
	return newBounded(clock, Bounds{Window: bounds.Window}, caps...)
}

func newBounded(clock bvclock.Clock, bounds Bounds, caps ...Cap) *Limiter {
	limiter := New(clock, bounds)
	limiter.SetHosts(1, 1, 0)
	limiter.SetCaps(caps)
	return limiter
}

// fill lets a bucket fill up.
func fill(clock *bvclock.Manual) { clock.Advance(24 * bvclock.Hour) }

// grants returns how many requests are granted without a wait.
func grants(limiter *Limiter) int {
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
	fill(clock)
	granted := grants(limiter)
	require.Equal(t, 30, granted)
}

// Guards against callers of a workspace that come back as one, or before there is room.
func TestRefusalTellsWhenTheBucketHoldsARequest(t *testing.T) {
	clock := &bvclock.Manual{}
	limiter := newLimiter(clock, Cap{"w", 2, 1})
	fill(clock)
	require.Equal(t, 1, grants(limiter))
	waits := make(map[bvclock.Duration]bool)
	for range 20 {
		decision := limiter.Take(Request{Workspace: "w"})
		require.Equal(t, Refused, decision.Outcome)
		require.GreaterOrEqual(t, decision.Wait, 250*bvclock.Millisecond)
		require.Less(t, decision.Wait, 500*bvclock.Millisecond+returnSpread)
		waits[decision.Wait] = true
	}
	require.Greater(t, len(waits), 10)
}

// Guards against requests that are sent away for less time than coming back takes.
func TestRequestIsHeldForWhatTheBucketGainsSoon(t *testing.T) {
	clock := &bvclock.Manual{}
	limiter := newLimiter(clock, Cap{"w", 100, 1})
	fill(clock)
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

// Guards against a second burst after a loss of all hosts.
func TestStartGrantsNoWholeBurst(t *testing.T) {
	limiter := newBounded(&bvclock.Manual{}, bounds, Cap{"w", 1000, 1000})
	granted := grants(limiter)
	require.LessOrEqual(t, float64(granted), startShare*(bounds.Slack+bounds.OverRatio*6000))
}

func TestRequestsOfOtherHostsLeaveLess(t *testing.T) {
	clock := &bvclock.Manual{}
	here, there := newLimiter(clock, Cap{"w", 1, 10}), newLimiter(clock, Cap{"w", 1, 10})
	fill(clock)
	for range 7 {
		there.RecordGrant("w")
	}
	here.RecordUsage(1, there.RecentUsage())
	here.RecordUsage(1, there.RecentUsage()) // a datagram that came twice
	granted := grants(here)
	require.Equal(t, 3, granted)
}

// Guards against lost datagrams: the next one tells of all requests since the start.
func TestLostTellingIsMadeUpForByTheNext(t *testing.T) {
	clock := &bvclock.Manual{}
	here, there := newLimiter(clock, Cap{"w", 0.001, 10}), newLimiter(clock, Cap{"w", 0.001, 10})
	fill(clock)
	there.RecordGrant("w")
	here.RecordUsage(1, there.RecentUsage())
	for range 5 {
		there.RecordGrant("w")
		clock.Advance(leastTold + 1)
		there.RecentUsage() // lost
	}
	there.RecordGrant("w")
	here.RecordUsage(1, there.RecentUsage())
	granted := grants(here)
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
		require.Equal(t, Granted, limiter.Take(Request{Workspace: "w"}).Outcome)
	}
}

// Guards against a flood through all hosts before any has heard of the others' part.
func TestHostAsksBeforeItTakesMoreThanItsPartUnheard(t *testing.T) {
	clock := &bvclock.Manual{}
	limiter := newLimiter(clock, Cap{"w", 100, 100})
	limiter.SetHosts(20, 20, 400*bvclock.Millisecond)
	fill(clock)
	granted := 0
	for limiter.Take(Request{Workspace: "w"}).Outcome == Granted {
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

// Guards against a group of hosts that is cut off and takes a whole cap.
func TestMinorityOfHostsTakesItsShare(t *testing.T) {
	clock := &bvclock.Manual{}
	limiter := newLimiter(clock, Cap{"w", 100, 100})
	limiter.SetHosts(10, 2, 400*bvclock.Millisecond)
	fill(clock)
	granted := 0
	for range 100 {
		for limiter.TakeAsAllocator(Request{Workspace: "w"}).Outcome == Granted {
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
		first.RecordGrant("w")
	}
	here.RecordUsage(1, first.RecentUsage())
	second := newLimiter(clock, Cap{"w", 0.001, 10})
	second.RecordGrant("w")
	here.RecordUsage(2, second.RecentUsage())
	granted := grants(here)
	require.Equal(t, 5, granted)
}

func TestLoweredCapHoldsAtOnce(t *testing.T) {
	clock := &bvclock.Manual{}
	limiter := newLimiter(clock, Cap{"w", 100, 100})
	fill(clock)
	limiter.SetCaps([]Cap{{"w", 1, 2}})
	granted := grants(limiter)
	require.Equal(t, 2, granted)
}

// Guards against a version of the desired state that fills all buckets up again.
func TestNewVersionLeavesWhatWasTaken(t *testing.T) {
	clock := &bvclock.Manual{}
	limiter := newLimiter(clock, Cap{"w", 1, 5})
	fill(clock)
	for range 5 {
		limiter.TakeAsAllocator(Request{Workspace: "w"})
	}
	limiter.SetCaps([]Cap{{"w", 1, 5}})
	require.Equal(t, Refused, limiter.TakeAsAllocator(Request{Workspace: "w"}).Outcome)
}

func TestHostsOfLongAgoAreForgotten(t *testing.T) {
	clock := &bvclock.Manual{}
	here, there := newLimiter(clock, Cap{"w", 1, 5}), newLimiter(clock, Cap{"w", 1, 5})
	there.RecordGrant("w")
	here.RecordUsage(1, there.RecentUsage())
	require.Len(t, here.accounts["w"].told, 1)
	clock.Advance(2 * forgetAfter)
	here.RecentUsage()
	require.Empty(t, here.accounts["w"].told)
}

// Guards against programs that are begun and broken off, in place of fewer that end.
func TestProgramsUnderWayGoBeforeNewOnes(t *testing.T) {
	clock := &bvclock.Manual{}
	limiter := newLimiter(clock, Cap{"w", 0.001, 20})
	fill(clock)
	for limiter.TakeAsAllocator(Request{Workspace: "w", NewProgram: true}).Outcome == Granted {
	}
	refused := limiter.Take(Request{Workspace: "w", NewProgram: true})
	require.Equal(t, Refused, refused.Outcome)
	granted := grants(limiter)
	require.InDelta(t, newShare*20, granted, 1)
}

// Guards against hosts that are cut off and refuse all new programs.
func TestNewProgramsBeginInAMinorityToo(t *testing.T) {
	clock := &bvclock.Manual{}
	limiter := newLimiter(clock, Cap{"w", 10, 10})
	limiter.SetHosts(10, 1, 400*bvclock.Millisecond)
	fill(clock)
	require.Equal(t, Granted, limiter.TakeAsAllocator(Request{Workspace: "w", NewProgram: true}).Outcome)
}

// Guards against a loss of all hosts after which each grants what is meant for all.
func TestHostThatKnowsNoOthersAsks(t *testing.T) {
	limiter := New(&bvclock.Manual{}, bounds)
	limiter.SetCaps([]Cap{{"w", 100, 100}})
	require.Equal(t, Ask, limiter.Take(Request{Workspace: "w"}).Outcome)
	limiter.SetHosts(10, 1, 400*bvclock.Millisecond)
	require.Zero(t, grants(limiter))
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

// Guards against a host that was cut off and refuses for as long as it was away.
func TestHostThatIsBackRefusesNoLongerThanTheOthers(t *testing.T) {
	clock := &bvclock.Manual{}
	here, there := newLimiter(clock, Cap{"w", 10, 10}), newLimiter(clock, Cap{"w", 10, 10})
	for _, limiter := range []*Limiter{here, there} {
		limiter.SetHosts(2, 2, 400*bvclock.Millisecond)
	}
	fill(clock)
	here.RecordUsage(1, there.RecentUsage())
	for range 50 {
		clock.Advance(100)
		there.RecordGrant("w")
	}
	here.RecordUsage(1, there.RecentUsage())
	require.Equal(t, Granted, here.TakeAsAllocator(Request{Workspace: "w"}).Outcome)
}

// Guards against a burst of others that is taken for one that was heard late.
func TestBurstAfterSilenceOfAWorkspaceIsCounted(t *testing.T) {
	clock := &bvclock.Manual{}
	here, there := newLimiter(clock, Cap{"w", 10, 10}), newLimiter(clock, Cap{"w", 10, 10})
	for range 100 {
		clock.Advance(100)
		here.RecordUsage(1, there.RecentUsage()) // digests go on, without a request
	}
	for range 10 {
		there.RecordGrant("w")
	}
	here.RecordUsage(1, there.RecentUsage())
	require.Zero(t, grants(here))
}

// Guards against a wait without a meaning, where nothing is gained by this host alone.
func TestHostWithoutAShareHoldsNothing(t *testing.T) {
	clock := &bvclock.Manual{}
	limiter := New(clock, bounds)
	limiter.SetCaps([]Cap{{"w", 60, 60}})
	pass := limiter.TakeAsAllocator(Request{Workspace: "w"})
	require.GreaterOrEqual(t, pass.Wait, bvclock.Duration(0))
	require.LessOrEqual(t, pass.Wait, mostWait+returnSpread)
}

// Guards against requests that are forgotten before the next digest goes out.
func TestRequestsAreToldForLongerThanDigestsTake(t *testing.T) {
	clock := &bvclock.Manual{}
	limiter := newLimiter(clock, Cap{"w", 10, 10})
	limiter.SetHosts(300, 300, 1800*bvclock.Millisecond)
	limiter.RecordGrant("w")
	clock.Advance(1800)
	require.Len(t, limiter.RecentUsage(), 1)
	clock.Advance(2000)
	require.Empty(t, limiter.RecentUsage())
}

// Guards against a cap without a burst that grants nothing for ever.
func TestCapWithoutABurstGrantsItsRate(t *testing.T) {
	clock := &bvclock.Manual{}
	limiter := newLimiter(clock, Cap{"w", 1, 0})
	granted := 0
	for range 100 {
		granted += min(grants(limiter), 1)
		clock.Advance(1000)
	}
	require.InDelta(t, 100, granted, 2)
}

// Guards against a series of versions that each grant a cut-off host its part anew.
func TestVersionsGrantACutOffHostNothingAnew(t *testing.T) {
	clock := &bvclock.Manual{}
	limiter := newLimiter(clock, Cap{"w", 10, 100})
	limiter.SetHosts(10, 1, 400*bvclock.Millisecond)
	fill(clock)
	granted := 0
	for range 20 {
		granted += grants(limiter)
		limiter.SetCaps([]Cap{{"w", 10, 100}})
	}
	require.Equal(t, 10, granted)
}

// Guards against a second allocator that grants again what the first has granted.
func TestStandbyLeavesWhatMayBeUnheard(t *testing.T) {
	clock := &bvclock.Manual{}
	allocator, asker := newLimiter(clock, Cap{"w", 10, 20}), newLimiter(clock, Cap{"w", 10, 20})
	allocator.SetHosts(2, 2, bvclock.Second)
	fill(clock)
	granted := 0
	for allocator.DecideClaim(1, asker.OwnUsage("w"), Request{FromStandby: true}).Outcome == Granted {
		granted++
	}
	require.InDelta(t, 20-10, granted, 3)
}

// Guards against a host that has just started and refuses by a copy that knows nothing.
func TestHostThatHasJustStartedAsksBeforeItRefuses(t *testing.T) {
	clock := &bvclock.Manual{}
	limiter := newBounded(clock, bounds, Cap{"w", 12, 12})
	require.Equal(t, Ask, limiter.Take(Request{Workspace: "w", NewProgram: true}).Outcome)
	for limiter.TakeAsAllocator(Request{Workspace: "w"}).Outcome == Granted {
	}
	require.Equal(t, Ask, limiter.Take(Request{Workspace: "w"}).Outcome)
}

// Guards against a refusal for the cap by a second allocator that only may have missed grants.
func TestStandbyThatCantTellLeavesARequestUndecided(t *testing.T) {
	clock := &bvclock.Manual{}
	limiter := newLimiter(clock, Cap{"w", 10, 20})
	limiter.SetHosts(4, 4, 5*bvclock.Second)
	fill(clock)
	require.Equal(t, Ask, limiter.TakeAsAllocator(Request{Workspace: "w", FromStandby: true}).Outcome)
	require.Equal(t, Ask, limiter.DecideClaim(7, Usage{Workspace: HashWorkspace("w")}, Request{FromStandby: true}).Outcome)
	for limiter.TakeAsAllocator(Request{Workspace: "w"}).Outcome == Granted {
	}
	require.Equal(t, Refused, limiter.TakeAsAllocator(Request{Workspace: "w", FromStandby: true}).Outcome, "the bucket is empty")
}

// Guards against a refusal for the cap by a host that knows no other one yet.
func TestHostThatKnowsNoOtherYetLeavesRequestsUndecided(t *testing.T) {
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

// Guards against an allocator that refuses for a cap which a newer desired state has brought.
func TestAllocatorThatLacksACapLeavesItUndecided(t *testing.T) {
	limiter := newLimiter(&bvclock.Manual{})
	decision := limiter.DecideClaim(7, Usage{Workspace: HashWorkspace("new")}, Request{})
	require.Equal(t, Ask, decision.Outcome)
}
