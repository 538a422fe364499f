package bvdispatch

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvmechanism"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvroute"
)

// respond records a response of an endpoint that took a pace and came with a reported one.
func respond(pool *Pool, now bvclock.Time, id string, took bvclock.Duration, reported int) {
	pool.BeginCall(now, id, &Request{})
	pool.SetLoad(now, id, bvroute.Load{Slots: 14, Pace: reported})
	pool.EndCall(now, id, Result{Outcome: Served, Duration: 10 * took, AnswerStarted: true, Pace: took, ReportedPace: reported})
}

func speedAt(pool *Pool, now bvclock.Time, id string) float64 {
	return pool.speedOf(now, pool.byID(id))
}

// Guards against a pace that was reported and that no decision uses.
func TestIdleEndpointOfTheBestPaceIsChosen(t *testing.T) {
	pool := newTestPool(4)
	for id, pace := range map[string]int{"e0": 120, "e1": 55, "e2": 300, "e3": 120} {
		pool.SetLoad(1, id, bvroute.Load{Slots: 14, Pace: pace})
	}
	for range 50 {
		chosen, _ := pool.Choose(1, prompt(1))
		require.Equal(t, "e1", chosen.Name)
	}
}

// Guards against a conversation that reads its prompt again at an engine that takes longer for it.
func TestTimeToReadAPromptGrowsWithTheFactor(t *testing.T) {
	pool := newTestPool(2)
	pool.SetLoad(1, "e0", bvroute.Load{Slots: 14, Pace: 100})
	pool.SetLoad(1, "e1", bvroute.Load{Slots: 14, Pace: 300})
	short, long := &Request{}, &Request{PromptTokens: 3360}
	extra := func(id string) float64 {
		row := pool.byID(id)
		return pool.cost(snapshot{now: 1}, row, long) - pool.cost(snapshot{now: 1}, row, short)
	}
	require.InDelta(t, 10, extra("e0"), 1e-9)
	require.InDelta(t, 30, extra("e1"), 1e-9)
}

// Guards against an endpoint of which nothing is known and that gets all calls for it.
func TestUnknownEndpointCountsAsTheMedian(t *testing.T) {
	pool := newTestPool(6)
	for id, pace := range map[string]int{"e0": 50, "e1": 200, "e2": 200, "e3": 200, "e4": 400} {
		pool.SetLoad(1, id, bvroute.Load{Slots: 14, Pace: pace})
	}
	require.Equal(t, 2.0, speedAt(pool, 1, "e5"))
}

// Guards against reports that count long after the pace has changed.
func TestReportedPaceCountsForASecond(t *testing.T) {
	pool := newTestPool(3)
	for _, id := range []string{"e0", "e1"} {
		pool.SetLoad(1000, id, bvroute.Load{Slots: 14, Pace: 100})
	}
	pool.SetLoad(1000, "e2", bvroute.Load{Slots: 14, Pace: 300})
	require.Equal(t, 3.0, speedAt(pool, 1000, "e2"))
	require.InDelta(t, 2, speedAt(pool, 1500, "e2"), 1e-9)
	require.Equal(t, 1.0, speedAt(pool, 2000, "e2"))
}

// Guards against endpoints that count as equal as soon as their reports stop.
func TestMeasurementRemainsWhenReportsStop(t *testing.T) {
	pool := newTestPool(3)
	for range 20 {
		respond(pool, 1000, "e0", 20, 100)
		respond(pool, 1000, "e1", 20, 100)
		respond(pool, 1000, "e2", 60, 300)
	}
	require.InDelta(t, 3, speedAt(pool, 4000, "e2"), 0.4)
	require.InDelta(t, 1, speedAt(pool, 4000, "e0"), 0.1)
	require.InDelta(t, 1, speedAt(pool, 60_000, "e2"), 1e-9, "the measurement expires")
}

// Guards against an endpoint that attracts calls by a false pace.
func TestFalsePaceIsCorrectedByResponses(t *testing.T) {
	pool := newTestPool(4)
	for range 7 {
		for _, id := range []string{"e0", "e1", "e2"} {
			respond(pool, 1000, id, 30, 100)
		}
		respond(pool, 1000, "e3", 90, 50)
	}
	require.Less(t, speedAt(pool, 1000, "e3"), 2.5, "with seven responses, the report still counts")
	_, found := pool.takeSpeedConflict(1000, "e3")
	require.False(t, found)
	respond(pool, 1000, "e3", 90, 50)
	require.InDelta(t, 3, speedAt(pool, 1000, "e3"), 1e-9)
	conflict, found := pool.takeSpeedConflict(1000, "e3")
	require.True(t, found)
	require.Equal(t, SpeedConflict{Endpoint: "e3", Pace: 50, Measured: conflict.Measured, Responses: 8}, conflict)
	_, found = pool.takeSpeedConflict(60_999, "e3")
	require.False(t, found, "at most one line a minute")
	require.Equal(t, 1, pool.SpeedConflicts(1000))
	for range 30 {
		respond(pool, 2000, "e3", 90, 300)
	}
	require.Zero(t, pool.SpeedConflicts(2000), "the endpoint reports its pace correctly again")
}

// Guards against a true pace that changes often and that the mean of the responses seems to contradict.
func TestChangingPaceIsNotContradicted(t *testing.T) {
	pool := newTestPool(3)
	for i := range 60 {
		factor := 1 + i%2*4
		for _, id := range []string{"e0", "e1", "e2"} {
			respond(pool, 1000, id, bvclock.Duration(20*factor), 100*factor)
		}
	}
	require.Zero(t, pool.SpeedConflicts(1000))
	require.Equal(t, 5.0, speedAt(pool, 1000, "e1"))
}

// Guards against calls that follow a pace which changes several times while a call lasts.
func TestPaceThatChangesDuringResponsesCountsLittle(t *testing.T) {
	pool := newTestPool(3)
	for i := range 60 {
		for _, id := range []string{"e0", "e1", "e2"} {
			respond(pool, 1000, id, 40, 100+i%2*200)
		}
	}
	require.Equal(t, 300, pool.byID("e1").speed.pace)
	require.InDelta(t, math.Sqrt(3), speedAt(pool, 1000, "e1"), 0.2)
}

// Guards against the history of an incarnation that counts for the next, and against reports of an earlier
// incarnation.
func TestNewIncarnationStartsWithoutSpeed(t *testing.T) {
	pool := NewPool(1, "")
	first := bvplatform.Endpoint{Name: "e0", Slots: 14, Incarnation: "a"}
	next := first
	next.Incarnation = "b"
	require.NotEqual(t, first.ID(), next.ID())
	pool.SetEndpoints([]bvplatform.Endpoint{first})
	respond(pool, 1, first.ID(), 60, 300)
	pool.SetEndpoints([]bvplatform.Endpoint{next})
	require.Nil(t, pool.byName["e0"].speed)
	pool.SetLoad(1, first.ID(), bvroute.Load{Running: 9, Slots: 2, Pace: 300})
	require.Nil(t, pool.byName["e0"].speed)
	require.Equal(t, 14.0, pool.byName["e0"].slots())
	require.Zero(t, pool.speeds.reporters)
}

// Guards against a report that is applied after a later one.
func TestOlderReportIsIgnored(t *testing.T) {
	pool := newTestPool(1)
	pool.SetLoad(1000, "e0", bvroute.Load{Running: 1, Slots: 14, Pace: 100})
	pool.SetLoad(999, "e0", bvroute.Load{Running: 9, Slots: 3, Pace: 500})
	require.Equal(t, 1.0, pool.byID("e0").load(1000))
	require.Equal(t, 14.0, pool.byID("e0").slots())
	require.Equal(t, 1.0, speedAt(pool, 1000, "e0"))
}

// Guards against hosts of which each needs responses of its own from each endpoint.
func TestSpeedIsSharedBetweenHosts(t *testing.T) {
	here, there := newTestPool(3), newTestPool(3)
	for range 8 {
		respond(here, 1000, "e0", 20, 100)
		respond(here, 1000, "e1", 20, 100)
		respond(here, 1000, "e2", 80, 400)
	}
	for endpoint, report := range here.TakeOutcomeReports(1100) {
		there.AddPeerReport(1150, endpoint, report)
	}
	require.Greater(t, speedAt(there, 1150, "e2"), 3.0)
	require.Empty(t, there.TakeOutcomeReports(1150), "another host's report is not passed on")
	for _, report := range here.TakeOutcomeReports(1201) {
		require.Fail(t, "a report that is too old is shared", report)
	}
}

// Guards against capacity that counts a slow endpoint like a fast one.
func TestCapacityIsWeightedBySpeed(t *testing.T) {
	pool := newTestPool(3)
	pool.SetLoad(1, "e0", bvroute.Load{Running: 3, Slots: 14, Pace: 50})
	pool.SetLoad(1, "e1", bvroute.Load{Running: 3, Waiting: 1, Slots: 14, Pace: 200})
	pool.SetLoad(1, "e2", bvroute.Load{Slots: 14, Pace: 100})
	require.Equal(t, Capacity{Calls: 7, Slots: 28 + 7 + 14, Endpoints: 3}, pool.Capacity(1))
	require.InDelta(t, 7.0/49, pool.loadShare(1), 1e-9)
	large := newTestPool(2000)
	require.Equal(t, Capacity{Slots: 32_000, Endpoints: 2000}, large.Capacity(1))
	for _, row := range large.rows {
		large.SetLoad(1, row.entry.ID(), bvroute.Load{Slots: 16, Pace: 50})
	}
	require.InDelta(t, 64_000, large.Capacity(1).Slots, 2500, "the last endpoints reported after the last computation")
}

// Guards against reports and responses that move a factor out of its bounds, or that count while the
// mechanism is switched off.
func TestFactorsStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool, off := newTestPool(4), newTestPool(4)
		off.Disable(bvmechanism.Set(0).With(bvmechanism.Speeds))
		now, ids := bvclock.Time(0), []string{"e0", "e1", "e2", "e3", "gone"}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(bvclock.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")))
			id, pace := rapid.SampledFrom(ids).Draw(t, "id"), rapid.IntRange(0, 1e6).Draw(t, "pace")
			took := bvclock.Duration(rapid.IntRange(0, 100_000).Draw(t, "took"))
			peer := OutcomeReport{PacedCalls: rapid.IntRange(0, 5).Draw(t, "paced"), PaceMs: int(took), ReportedPace: pace}
			for _, pool := range []*Pool{pool, off} {
				respond(pool, now, id, took, pace)
				pool.AddPeerReport(now, HashID(id), peer)
			}
			if rapid.IntRange(0, 9).Draw(t, "removes") == 0 {
				pool.RemoveEndpoint(id)
				pool.PutEndpoint(bvplatform.Endpoint{Name: id, Slots: 14})
			}
			reporters := 0
			for _, row := range pool.rows {
				factor := pool.speedOf(now, row)
				require.True(t, factor >= minSpeed && factor <= maxSpeed, "%v", factor)
				if row.speed != nil {
					reporters += min(row.speed.pace, 1)
				}
			}
			require.Equal(t, reporters, pool.speeds.reporters)
			for _, row := range off.rows {
				require.Equal(t, 1.0, off.speedOf(now, row))
			}
		}
	})
}
