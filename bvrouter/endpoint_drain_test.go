package bvrouter

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvdispatch"
	"balsamvalve.example/bvforward"
	"balsamvalve.example/bvmeasure"
	"balsamvalve.example/bvmechanism"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvquota"
	"balsamvalve.example/bvroute"
	"balsamvalve.example/bvsetting"
)

const (
	testDrainBound = 2 * bvclock.Second
	testApplyBound = 2 * bvclock.Second
	// contactTime is how long after an outage a host must meet the drain bound again.
	contactTime = 3 * bvclock.Second
	// sendTime is how long a request may take from the choice of its endpoint until it
	// arrives there: the time to connect and the network's latency.
	sendTime = 400 * bvclock.Millisecond
)

// followedHost is a host that follows a fake store's list of endpoints.
type followedHost struct {
	*Router
	store *fakeStore
}

// newRouterOf returns a router of a fake store, in virtual time, whose desired state has the
// one service apps.
func newRouterOf(t *testing.T, store *fakeStore) *Router {
	disabled, err := bvmechanism.Parse("relays,readers")
	require.NoError(t, err)
	clock := bubbleClock{}
	router := &Router{
		settings:    bvsetting.Host{DrainBound: testDrainBound, ApplyBound: testApplyBound, Disabled: disabled},
		parts:       Parts{Platform: store},
		clock:       clock,
		started:     clock.Now(),
		log:         silentLogger(),
		state:       &state{clock: clock, apply: testApplyBound},
		limiter:     bvquota.New(clock, bvquota.Bounds{}),
		dispatcher:  bvdispatch.NewDispatcher(clock, 1, "z"),
		connections: &bvforward.Connections{Clock: clock},
		counters:    bvmeasure.New(),
	}
	router.endpoints.minExpiry = entryLifetime * minExpiryIntervals / 3
	router.store = newStoreClient(store, clock, router.log, router.relays, router.countStoreCall)
	table, err := bvroute.NewTable(bvroute.Rows{Version: 1, Services: []bvroute.Service{{Name: "apps"}}})
	require.NoError(t, err)
	router.state.replace(table)
	return router
}

// startFollowing starts a host that follows the list. It is stopped when ctx is canceled.
func startFollowing(ctx context.Context, t *testing.T, store *fakeStore) followedHost {
	router := newRouterOf(t, store)
	go router.followEndpoints(ctx)
	go router.store.runProbes(ctx, "probe")
	go callRegularly(ctx, router)
	return followedHost{router, store}
}

// callRegularly calls the store as a host with callers does.
func callRegularly(ctx context.Context, router *Router) {
	for ctx.Err() == nil {
		_, _ = router.store.Read(ctx, "row") // only its effect on the state of the store matters
		pause(ctx, 50*bvclock.Millisecond)
	}
}

// calls reports whether the host still sends requests to an endpoint.
func (host followedHost) calls(name string) bool {
	others := make(map[string]bool)
	for _, endpoint := range host.store.allNames() {
		others[endpoint] = endpoint != name
	}
	request := &bvdispatch.Request{Excluded: others}
	chosen, found := host.dispatcher.Choose("apps", request)
	if found {
		host.dispatcher.EndCall("apps", chosen.ID(), request, bvdispatch.Result{Outcome: bvdispatch.Withdrawn})
	}
	return found
}

// waitUntil waits for a time since the start of the virtual time.
func waitUntil(start time.Time, after bvclock.Duration) {
	time.Sleep(time.Until(start.Add(after.Std())))
}

// Guards against requests to an endpoint that was removed from the list just after this host reached the store again.
func TestEndpointRemovedRightAfterAnOutageIsNotCalledBeyondTheDrainBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		start := time.Now()
		store := newFakeStore("a", "b")
		host := startFollowing(ctx, t, store)
		waitUntil(start, 10_000)
		store.setSilent(true)
		waitUntil(start, 12_700)
		store.setSilent(false)
		waitUntil(start, 13_600)
		store.remove("b")
		waitUntil(start, 15_300)
		store.put(bvplatform.Endpoint{Name: "c", Address: "at-c", Serves: "apps"})
		waitUntil(start, 12_700+contactTime)
		require.True(t, host.calls("a"))
		require.False(t, host.calls("b"), "2.1 s after its removal, in contact")
	})
}

// Guards against a removal that counts as part of an outage because the first read after it waits for a change.
func TestEndpointRemovedAfterTheStoreIsReachedAgainIsNotCalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		start := time.Now()
		store := newFakeStore("a", "b")
		host := startFollowing(ctx, t, store)
		waitUntil(start, 10_000)
		store.setSilent(true)
		waitUntil(start, 12_700)
		store.setSilent(false)
		waitUntil(start, 13_200)
		store.remove("b")
		waitUntil(start, 13_300)
		require.True(t, host.calls("a"))
		require.False(t, host.calls("b"))
	})
}

// Guards against a departure that is learned late because a request for changes gets no answer.
func TestLostAnswerDoesNotDelayADepartureBeyondTheDrainBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := newFakeStore("a", "b")
		host := startFollowing(ctx, t, store)
		bvclock.Sleep(10 * bvclock.Second)
		store.hangNext()
		for store.hangs() {
			bvclock.Sleep(bvclock.Millisecond)
		}
		store.remove("b")
		bvclock.Sleep(testDrainBound - sendTime)
		require.True(t, host.calls("a"))
		require.False(t, host.calls("b"))
	})
}

// longList returns the names of more endpoints than each host reads from the store.
func longList() (names []string) {
	for i := range maxDirectEndpoints + 10 {
		names = append(names, fmt.Sprintf("e%03d", i))
	}
	return names
}

// Guards against a start of all hosts at which each of them reads the full list since the store is slow.
func TestUnansweredReadOfAPartIsNotFollowedByOneOfTheFullList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := newFakeStore(longList()...)
		store.partHangs = true
		host := startFollowing(ctx, t, store)
		bvclock.Sleep(900 * bvclock.Millisecond)
		require.Equal(t, maxDirectEndpoints, host.EndpointCount())
		require.Zero(t, store.fullReadCount())
	})
}

// Guards against the same since the list of hosts, which names the readers, is read late.
func TestFullListIsNotReadBeforeTheReadersAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := newFakeStore(longList()...)
		host := startFollowing(ctx, t, store)
		bvclock.Sleep(fullListWait - bvclock.Second)
		require.Equal(t, maxDirectEndpoints, host.EndpointCount())
		require.Zero(t, store.fullReadCount())
		bvclock.Sleep(3 * bvclock.Second)
		require.Equal(t, maxDirectEndpoints+10, host.EndpointCount(), "it is read in the end")
	})
}

// Guards against calls to an endpoint of a partial list that left while the full list is read.
func TestPartialListIsKeptUpToDateWhileTheFullListIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		names := longList()
		store := newFakeStore(names...)
		store.readTime = 2 * testDrainBound
		host := startFollowing(ctx, t, store)
		host.hosts.Store(&sharedHosts{asOf: 1})
		bvclock.Sleep(testDrainBound)
		store.remove("e000")
		store.put(leavingEndpoint("e001"))
		bvclock.Sleep(testDrainBound - sendTime)
		require.Less(t, host.EndpointCount(), len(names), "the full list is still being read")
		require.True(t, host.calls("e002"))
		require.False(t, host.calls("e000"))
		require.False(t, host.calls("e001"))
		bvclock.Sleep(testDrainBound)
		require.Equal(t, len(names)-1, host.EndpointCount())
		require.False(t, host.calls("e000"))
		require.False(t, host.calls("e001"))
	})
}

// drainStep is a step of a random test.
type drainStep struct {
	action    string
	length    bvclock.Duration // of a cut or an outage
	pick      int              // which endpoint
	hasNotice bool             // the endpoint reports that it leaves
	pause     bvclock.Duration // after the step
}

// drainActions are the steps by name.
var drainActions = map[string]func(run *drainRun, step drainStep){
	"cut host":    (*drainRun).cutHost,
	"stop store":  (*drainRun).stopStore,
	"lose answer": (*drainRun).loseAnswer,
	"remove one":  (*drainRun).removeOne,
	"add one":     (*drainRun).addOne,
}

// drawSteps draws the steps of a test before its virtual time starts: rapid's draws and
// failures must stay on the test's own goroutine.
func drawSteps(t *rapid.T) []drainStep {
	actions := slices.Sorted(maps.Keys(drainActions))
	steps := make([]drainStep, rapid.IntRange(1, 12).Draw(t, "steps"))
	for i := range steps {
		steps[i] = drainStep{
			action:    rapid.SampledFrom(actions).Draw(t, "action"),
			length:    bvclock.Duration(rapid.IntRange(50, 7000).Draw(t, "length ms")),
			pick:      rapid.IntRange(0, 9).Draw(t, "pick"),
			hasNotice: rapid.Bool().Draw(t, "has notice"),
			pause:     bvclock.Duration(rapid.IntRange(0, 2500).Draw(t, "pause ms")),
		}
	}
	return steps
}

// drainRun runs the steps of a random test, and checks the host's decisions meanwhile.
type drainRun struct {
	host      followedHost
	clock     bubbleClock
	contactAt bvclock.Time            // since when the host must meet the bound
	goneAt    map[string]bvclock.Time // when the store accepted that an endpoint leaves
	silentAt  bvclock.Time            // when a connection last became silent
	violation string                  // the first one
}

const farFuture = bvclock.Time(1 << 60)

// cutHost makes the store silent for this host only: no entry expires.
func (run *drainRun) cutHost(step drainStep) {
	run.host.store.setSilent(true)
	run.contactAt = farFuture
	run.watch(step.length)
	run.host.store.setSilent(false)
	run.contactAt = run.clock.Now().Add(contactTime)
}

// stopStore makes the store silent for all. All entries expire, and the endpoints register
// again after the outage.
func (run *drainRun) stopStore(step drainStep) {
	store, known := run.host.store, make(map[string]bool)
	for _, name := range store.allNames() {
		known[name] = run.host.calls(name)
	}
	store.setSilent(true)
	run.contactAt = farFuture
	run.watch(entryLifetime + step.length)
	listed := store.listed()
	for _, endpoint := range listed {
		store.remove(endpoint.Name)
	}
	store.setSilent(false)
	run.contactAt = run.clock.Now().Add(contactTime)
	for _, endpoint := range listed {
		run.watch(reregistrationTime / bvclock.Duration(len(listed)+1))
		store.put(endpoint)
		if known[endpoint.Name] && endpoint.State == bvplatform.HostLive && !run.host.calls(endpoint.Name) {
			run.fail("%s is not called although its entry only expired", endpoint.Name)
		}
	}
}

// entryLifetime is how long a registered endpoint stays on the list without a write.
const entryLifetime = 3600 * bvclock.Millisecond

// removeOne takes an endpoint off the list, or reports it as leaving.
func (run *drainRun) removeOne(step drainStep) {
	listed := run.host.store.listed()
	if len(listed) < 2 {
		return
	}
	endpoint := listed[step.pick%len(listed)]
	if _, left := run.goneAt[endpoint.Name]; !left {
		run.goneAt[endpoint.Name] = run.clock.Now()
	}
	if endpoint.State == bvplatform.HostLive && step.hasNotice {
		endpoint.State = bvplatform.HostLeaving
		run.host.store.put(endpoint)
		return
	}
	run.host.store.remove(endpoint.Name)
}

// addOne adds an endpoint to the list.
func (run *drainRun) addOne(drainStep) {
	name := "n" + strconv.Itoa(len(run.host.store.allNames()))
	run.host.store.put(bvplatform.Endpoint{Name: name, Address: "at-" + name, Serves: "apps"})
}

// loseAnswer leaves the host's next request for changes without an answer, as a connection
// does that became silent. New connections work.
func (run *drainRun) loseAnswer(drainStep) {
	if now := run.clock.Now(); !run.host.store.hangs() && !now.Before(run.silentAt.Add(testDrainBound)) {
		run.silentAt = now
		run.host.store.hangNext()
	}
}

// watchInterval is the time between two checks of the host's decisions.
const watchInterval = 50 * bvclock.Millisecond

// watch checks for a time that no endpoint is called beyond the drain bound.
func (run *drainRun) watch(duration bvclock.Duration) {
	for end := run.clock.Now().Add(duration); ; {
		now := run.clock.Now()
		for name, gone := range run.goneAt {
			isOverdue := !now.Before(run.contactAt) && now.Sub(gone) >= testDrainBound-sendTime
			if isOverdue && run.host.calls(name) {
				run.fail("%s is called %v after it left", name, now.Sub(gone))
			}
		}
		if !now.Before(end) {
			return
		}
		time.Sleep(min(end.Sub(now), watchInterval).Std())
	}
}

func (run *drainRun) fail(format string, values ...any) {
	if run.violation == "" {
		run.violation = fmt.Sprintf(format, values...)
	}
}

// Guards against requests to endpoints that left, in any series of outages, lost answers and departures.
func TestNoEndpointIsCalledBeyondTheDrainBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps, violation := drawSteps(rt), ""
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			run := &drainRun{host: startFollowing(ctx, t, newFakeStore("a", "b", "c")), goneAt: make(map[string]bvclock.Time)}
			run.watch(3 * bvclock.Second)
			for _, step := range steps {
				drainActions[step.action](run, step)
				run.watch(step.pause)
			}
			run.watch(contactTime + testDrainBound)
			violation = run.violation
		})
		if violation != "" {
			rt.Fatal(violation)
		}
	})
}

func TestDrainOracleCatchesAHostThatMissesDepartures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		run := &drainRun{host: startFollowing(ctx, t, newFakeStore("a", "b")), goneAt: make(map[string]bvclock.Time)}
		run.watch(3 * bvclock.Second)
		cancel()
		run.removeOne(drainStep{})
		run.watch(testDrainBound)
		require.Contains(t, run.violation, "a is called")
	})
}

func TestDrainOracleCatchesAHostThatForgetsExpiredEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		run := &drainRun{host: startFollowing(ctx, t, newFakeStore("a", "b")), goneAt: make(map[string]bvclock.Time)}
		run.watch(3 * bvclock.Second)
		run.host.endpoints.minExpiry = bvclock.Minute
		run.stopStore(drainStep{length: bvclock.Second})
		require.Contains(t, run.violation, "is not called although its entry only expired")
	})
}
