package bvdispatch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvmechanism"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvroute"
)

const (
	simulatedHosts     = 84
	simulatedEndpoints = 7
	simulatedSlots     = 6
	simulatedTime      = 15 * bvclock.Second
	hop                = bvclock.Millisecond // between hosts and to endpoints
	usualDuration      = 80                  // of a call at pace 100, on average, in milliseconds
)

type event struct {
	at     bvclock.Time
	number int // of events at the same time, the first is run first
	run    func(now bvclock.Time)
}

// eventQueue is a heap of events by time.
type eventQueue []event

func (queue eventQueue) Len() int        { return len(queue) }
func (queue eventQueue) Swap(i, j int)   { queue[i], queue[j] = queue[j], queue[i] }
func (queue *eventQueue) Push(value any) { *queue = append(*queue, value.(event)) }
func (queue eventQueue) Less(i, j int) bool {
	return queue[i].at < queue[j].at || queue[i].at == queue[j].at && queue[i].number < queue[j].number
}
func (queue *eventQueue) Pop() any {
	last := (*queue)[len(*queue)-1]
	*queue = (*queue)[:len(*queue)-1]
	return last
}

// simulatedTool is an endpoint that rejects calls beyond its slots.
type simulatedTool struct {
	running, pace int
	down          bool
}

// toolSimulation has the pools of all hosts and the endpoints of one tool service.
type toolSimulation struct {
	queue  eventQueue
	random *rand.Rand
	pools  []*Pool
	tools  []simulatedTool
	ids    []string

	sequence int
	failAt   bvclock.Time // when the first endpoint is lost; 0: never

	calls, rejected, rejections, unreachable int
	took                                     []float64 // by the calls that were served
}

func newToolSimulation(seed uint64, disabled bvmechanism.Set) *toolSimulation {
	simulation := &toolSimulation{random: rand.New(rand.NewPCG(seed, 1)), tools: make([]simulatedTool, simulatedEndpoints)}
	listed := make([]bvplatform.Endpoint, simulatedEndpoints)
	for i := range listed {
		listed[i] = bvplatform.Endpoint{Name: fmt.Sprint(i), Zone: fmt.Sprint(i % 3), Slots: simulatedSlots}
		simulation.ids = append(simulation.ids, listed[i].ID())
		simulation.tools[i].pace = 100
	}
	for i := range simulatedHosts {
		pool := NewPool(seed*1000+uint64(i), fmt.Sprint(i%3))
		pool.Disable(disabled)
		pool.SetEndpoints(listed)
		simulation.pools = append(simulation.pools, pool)
	}
	return simulation
}

func (simulation *toolSimulation) after(now bvclock.Time, delay bvclock.Duration, run func(now bvclock.Time)) {
	simulation.sequence++
	heap.Push(&simulation.queue, event{now.Add(delay), simulation.sequence, run})
}

// run simulates calls that take the given share of all slots, for some time.
func (simulation *toolSimulation) run(load float64, length bvclock.Duration) {
	gap := usualDuration * 1.18 / (load * simulatedEndpoints * simulatedSlots) // 1.18: mean pace
	var arrive, digest, changePace func(now bvclock.Time)
	nextArrival := 0.0
	arrive = func(now bvclock.Time) {
		for ; nextArrival <= float64(now); nextArrival += simulation.random.ExpFloat64() * gap {
			simulation.calls++
			simulation.begin(now, simulation.pools[simulation.random.IntN(simulatedHosts)], &Request{Tool: true, Once: true}, now)
		}
		simulation.after(now, 1, arrive)
	}
	digest = func(now bvclock.Time) {
		for _, pool := range simulation.pools {
			pool.SetPeerLoads(now, simulation.otherCalls(pool))
		}
		simulation.after(now, 200, digest)
	}
	changePace = func(now bvclock.Time) {
		simulation.tools[0].down = simulation.failAt != 0 && now >= simulation.failAt
		for i := range simulation.tools {
			simulation.tools[i].pace = 100
			if simulation.random.Float64() < 0.12 {
				simulation.tools[i].pace = 250
			}
		}
		simulation.after(now, 250, changePace)
	}
	simulation.after(0, 1, arrive)
	simulation.after(0, 1, digest)
	simulation.after(0, 1, changePace)
	for len(simulation.queue) > 0 && simulation.queue[0].at < bvclock.Time(length) {
		next := heap.Pop(&simulation.queue).(event)
		next.run(next.at)
	}
}

func (simulation *toolSimulation) otherCalls(own *Pool) map[uint64]int {
	counts := make(map[uint64]int)
	for _, id := range simulation.ids {
		for _, pool := range simulation.pools {
			if pool != own {
				counts[HashID(id)] += pool.RunningAt(HashID(id))
			}
		}
	}
	return counts
}

// begin queries the trackers and then sends the call.
func (simulation *toolSimulation) begin(now bvclock.Time, pool *Pool, request *Request, started bvclock.Time) {
	if !pool.NeedsPeerCalls(now) {
		request.PeerCalls = nil
		simulation.send(now, pool, request, started)
		return
	}
	shortlist := pool.Shortlist(now, request)
	simulation.after(now, 2*hop, func(now bvclock.Time) {
		counts := simulation.otherCalls(pool)
		request.PeerCalls = make(map[uint64]int)
		for _, endpoint := range shortlist {
			request.PeerCalls[endpoint] = counts[endpoint]
		}
		simulation.send(now, pool, request, started)
	})
}

func (simulation *toolSimulation) send(now bvclock.Time, pool *Pool, request *Request, started bvclock.Time) {
	chosen, found := pool.Choose(now, request)
	if !found && request.SlotWait() > 0 {
		simulation.after(now, request.SlotWait(), func(now bvclock.Time) { simulation.begin(now, pool, request, started) })
		return
	}
	if !found {
		simulation.rejected++
		return
	}
	number := slices.Index(simulation.ids, chosen.ID())
	pool.BeginCall(now, chosen.ID(), request)
	simulation.after(now, hop, func(arrived bvclock.Time) {
		tool := &simulation.tools[number]
		duration, outcome := bvclock.Duration(0), Full
		switch {
		case tool.down:
			outcome = Unreachable
		case tool.running < simulatedSlots:
			tool.running++
			outcome = Served
			duration = bvclock.Duration(usualDuration * (0.5 + simulation.random.Float64()) * float64(tool.pace) / 100)
		}
		simulation.after(arrived, duration, func(ended bvclock.Time) {
			load := bvroute.Load{Running: tool.running, Slots: simulatedSlots, Pace: tool.pace}
			if outcome == Served {
				tool.running--
			}
			simulation.after(ended, hop, func(now bvclock.Time) {
				if outcome != Unreachable {
					pool.SetLoad(now, chosen.ID(), load)
				}
				pool.EndCall(now, chosen.ID(), Result{Outcome: outcome, Duration: now.Sub(arrived) + hop, Pace: now.Sub(arrived) + hop, ReportedPace: load.Pace})
				simulation.end(now, pool, request, started, outcome, number)
			})
		})
	})
}

// end ends a call or sends it again, as bvfront does.
func (simulation *toolSimulation) end(now bvclock.Time, pool *Pool, request *Request, started bvclock.Time, outcome Outcome, number int) {
	request.RecordSend(simulation.ids[number], outcome)
	if outcome == Served {
		simulation.took = append(simulation.took, float64(now.Sub(started)))
		return
	}
	if outcome == Full {
		simulation.rejections++
	} else {
		simulation.unreachable++
	}
	if !request.MaySendAgain() {
		simulation.rejected++
		return
	}
	simulation.begin(now, pool, request, started)
}

func (simulation *toolSimulation) quantile(share float64) float64 {
	slices.Sort(simulation.took)
	return simulation.took[int(share*float64(len(simulation.took)-1))]
}

// withoutTools disables the tool rules.
const withoutTools = bvmechanism.Set(1 << bvmechanism.Tools)

// Guards against calls that are rejected while other endpoints have free slots.
func TestToolsUnderLoadRejectFewCalls(t *testing.T) {
	before, now := newToolSimulation(1, withoutTools), newToolSimulation(1, 0)
	before.run(0.85, simulatedTime)
	now.run(0.85, simulatedTime)
	require.Less(t, 4*now.rejected, before.rejected)
	require.Less(t, 4*now.rejections, 3*before.rejections)
	require.LessOrEqual(t, now.quantile(0.99), 1.1*before.quantile(0.99))
}

// Guards against calls that are lost because one of seven endpoints is unreachable but listed.
func TestLostToolRejectsFewCalls(t *testing.T) {
	before, now := newToolSimulation(1, withoutTools), newToolSimulation(1, 0)
	for _, simulation := range []*toolSimulation{before, now} {
		simulation.failAt = 5 * bvclock.Time(bvclock.Second)
		simulation.run(0.7, simulatedTime)
		require.Positive(t, simulation.unreachable)
	}
	require.Less(t, 4*now.rejected, before.rejected)
}

// BenchmarkToolLoad reports what share of the calls is rejected and how long the others take, over
// three seeds.
func BenchmarkToolLoad(b *testing.B) {
	for _, load := range []float64{0.5, 0.7, 0.85, 0.95, 1.2} {
		for _, failAt := range []bvclock.Time{0, 5000} {
			for name, disabled := range map[string]bvmechanism.Set{"without": withoutTools, "with": 0} {
				b.Run(fmt.Sprintf("%v/fail=%d/%s", load, failAt, name), func(b *testing.B) {
					total := &toolSimulation{}
					for seed := range uint64(3) {
						simulation := newToolSimulation(seed, disabled)
						simulation.failAt = failAt
						simulation.run(load, 30*bvclock.Second)
						total.calls += simulation.calls
						total.rejected += simulation.rejected
						total.rejections += simulation.rejections
						total.took = append(total.took, simulation.took...)
					}
					b.ReportMetric(1000*float64(total.rejected)/float64(total.calls), "rejected/1000")
					b.ReportMetric(float64(total.rejections)/float64(total.calls), "rejections/call")
					b.ReportMetric(total.quantile(0.5), "p50-ms")
					b.ReportMetric(total.quantile(0.99), "p99-ms")
				})
			}
		}
	}
}
