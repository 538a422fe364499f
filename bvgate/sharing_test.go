package bvgate

import (
	"container/heap"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"balsamvalve.example/bvclock"
)

// engines simulates endpoints: a granted call runs for a fixed time that depends on its
// tokens. It sums the work done for each member.
type engines struct {
	pool      *Pool
	now       bvclock.Time
	submitted map[RequestID]Request
	ends      endHeap
	started   []Request
	work      map[string]float64
	nextID    RequestID
}

type end struct {
	at bvclock.Time
	id RequestID
}

type endHeap []end

func (ends endHeap) Len() int { return len(ends) }
func (ends endHeap) Less(i, j int) bool {
	return ends[i].at < ends[j].at || ends[i].at == ends[j].at && ends[i].id < ends[j].id
}
func (ends endHeap) Swap(i, j int) { ends[i], ends[j] = ends[j], ends[i] }
func (ends *endHeap) Push(item any) {
	*ends = append(*ends, item.(end))
}
func (ends *endHeap) Pop() any {
	last := (*ends)[len(*ends)-1]
	*ends = (*ends)[:len(*ends)-1]
	return last
}

func newEngines(count, slots int) *engines {
	engines := &engines{pool: &Pool{limits: Limits{MaxBacklog: bvclock.Hour}}, submitted: make(map[RequestID]Request), work: make(map[string]float64)}
	for i := range count {
		engines.pool.UpdateEndpoint(0, EndpointReport{Name: endpointName(i), Slots: slots, CacheTokens: 200_000})
	}
	return engines
}

func endpointName(i int) string {
	return "engine-" + string(rune('a'+i/26/26)) + string(rune('a'+i/26%26)) + string(rune('a'+i%26))
}

func (engines *engines) submit(request Request) RequestID {
	engines.nextID++
	request.ID = engines.nextID
	engines.submitted[request.ID] = request
	engines.pool.Submit(engines.now, request)
	return request.ID
}

// tick runs a Tick and starts the granted calls; decoding takes 17 ms per token.
func (engines *engines) tick() []Effect {
	effects := engines.pool.Tick(engines.now)
	for _, effect := range effects {
		grant, ok := effect.(Grant)
		if !ok {
			continue
		}
		request := engines.submitted[grant.Request]
		engines.started = append(engines.started, request)
		engines.pool.MarkUsed(engines.now, grant.Request)
		engines.work[request.Member] += float64(request.PromptTokens)/10 + float64(request.OutputTokens)
		took := bvclock.Duration(request.PromptTokens/8 + 17*request.OutputTokens)
		heap.Push(&engines.ends, end{at: engines.now.Add(took), id: grant.Request})
	}
	return effects
}

// finishNext advances the time to the end of the next call and finishes it.
func (engines *engines) finishNext() Request {
	ended := heap.Pop(&engines.ends).(end)
	engines.now = max(engines.now, ended.at)
	request := engines.submitted[ended.id]
	engines.pool.Finish(engines.now, Finish{
		ID: ended.id, PromptTokens: request.PromptTokens, OutputTokens: request.OutputTokens,
	})
	return request
}

func (engines *engines) measureShare(until bvclock.Time, refill func(done Request)) float64 {
	engines.tick()
	before := map[string]float64{"a": engines.work["a"], "b": engines.work["b"]}
	for engines.now.Before(until) {
		refill(engines.finishNext())
		engines.tick()
	}
	a, b := engines.work["a"]-before["a"], engines.work["b"]-before["b"]
	return a / (a + b)
}

// shareError lets member a submit small calls and member b large ones, both more than
// their shares, and returns the largest relative error of a's share of the granted work
// in any of five windows of ten seconds.
func shareError(engines *engines, weight float64, set func(weights []MemberShare)) float64 {
	set([]MemberShare{{Member: "a", Weight: weight}, {Member: "b", Weight: 1}})
	submit := func(member string) {
		if member == "a" {
			engines.submit(Request{Member: "a", PromptTokens: 800, OutputTokens: 50})
			return
		}
		engines.submit(Request{Member: "b", PromptTokens: 4000, OutputTokens: 200})
	}
	for range 400 {
		submit("a")
		submit("b")
	}
	resubmit := func(done Request) { submit(done.Member) }
	engines.measureShare(bvclock.Time(10*bvclock.Second), resubmit)
	worst := 0.0
	for range 5 {
		share := engines.measureShare(engines.now.Add(10*bvclock.Second), resubmit)
		worst = max(worst, math.Abs(share*(weight+1)/weight-1))
	}
	return worst
}

func TestBackloggedMembersShareWorkByWeight(t *testing.T) {
	engines := newEngines(16, 16)
	require.LessOrEqual(t, shareError(engines, 3, engines.pool.SetMembers), 0.05)
}

func TestSharesHoldForAnyWeightsAndSizes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := newEngines(rapid.IntRange(6, 16).Draw(t, "endpoints"), rapid.IntRange(8, 16).Draw(t, "slots"))
		weight := float64(rapid.IntRange(1, 4).Draw(t, "weight"))
		require.LessOrEqual(t, shareError(engines, weight, engines.pool.SetMembers), 0.05)
	})
}

func TestIdleMemberLeavesItsShareAndClaimsLittleBack(t *testing.T) {
	engines := newEngines(4, 4)
	submit := func(member string) { engines.submit(Request{Member: member, PromptTokens: 800, OutputTokens: 50}) }
	for range 100 {
		submit("a")
	}
	alone := engines.measureShare(bvclock.Time(30*bvclock.Second), func(Request) { submit("a") })
	require.Equal(t, 1.0, alone)

	for range 100 {
		submit("b")
	}
	until := engines.now.Add(10 * bvclock.Second)
	require.InEpsilon(t, 0.5, engines.measureShare(until, func(done Request) { submit(done.Member) }), 0.05)
}

func TestProgramWithLeastAttainedServiceGoesFirst(t *testing.T) {
	engines := newEngines(1, 1)
	engines.submit(Request{Member: "m", Program: "running", OutputTokens: 1})
	engines.tick()
	engines.submit(Request{Member: "m", Program: "long", AttainedService: 10_000, OutputTokens: 1})
	engines.submit(Request{Member: "m", Program: "short", OutputTokens: 1})
	engines.submit(Request{Member: "m", Program: "urgent", AttainedService: 10_000, Priority: 1, OutputTokens: 1})
	for range 3 {
		engines.finishNext()
		engines.tick()
	}
	var order []string
	for _, request := range engines.started {
		order = append(order, request.Program)
	}
	require.Equal(t, []string{"running", "urgent", "short", "long"}, order)
}

func TestLongProgramFinishesThoughShortOnesKeepComing(t *testing.T) {
	// A long program waits for its next turn while new programs keep the only slot
	// taken. If it was served by attained service alone, it would never run again.
	engines := newEngines(1, 1)
	engines.submit(Request{Member: "m", Program: "new", OutputTokens: 50})
	engines.tick()
	long := engines.submit(Request{Member: "m", Program: "long", AttainedService: 1e9, OutputTokens: 1})
	for engines.pool.calls[long] == nil {
		require.Less(t, engines.now, bvclock.Time(bvclock.Duration(maxLevel)*ageStep+bvclock.Minute))
		for range 2 {
			engines.submit(Request{Member: "m", OutputTokens: 50})
		}
		engines.finishNext()
		engines.tick()
	}
}

func TestProgramStaysWhereItsPrefixIsCached(t *testing.T) {
	engines := newEngines(4, 4)
	engines.submit(Request{Member: "m", Program: "p", PromptTokens: 8000, OutputTokens: 10})
	first := engines.tick()[0].(Grant)
	engines.submit(Request{Member: "m", Program: "q", PromptTokens: 10, OutputTokens: 10})
	require.NotEqual(t, first.Endpoint, engines.tick()[0].(Grant).Endpoint)
	engines.finishNext()
	engines.finishNext()
	engines.submit(Request{Member: "m", Program: "p", PromptTokens: 8100, OutputTokens: 10})
	require.Equal(t, first.Endpoint, engines.tick()[0].(Grant).Endpoint)
}

func TestEndedProgramIsReleasedUntilConfirmed(t *testing.T) {
	pool := &Pool{}
	pool.UpdateEndpoint(0, EndpointReport{Name: "a", Slots: 1, CacheTokens: 1000})
	pool.Submit(0, Request{ID: 1, Member: "m", Program: "p", PromptTokens: 10})
	pool.Tick(0)
	pool.Finish(1, Finish{ID: 1, PromptTokens: 10, OutputTokens: 5, Pause: -1})
	release := []Effect{Release{Endpoint: "a", Member: "m", Program: "p"}}
	require.Equal(t, release, pool.Tick(1))
	require.Empty(t, pool.Tick(2))
	require.Equal(t, release, pool.Tick(pool.NextTick()))
	pool.ConfirmRelease(2000, "a", "m", "p")
	require.Zero(t, pool.NextTick())
	require.Empty(t, pool.programs)
}

func TestCacheOfAnAbandonedProgramIsReleased(t *testing.T) {
	// A program's owner crashes and its caller never returns, so no EndProgram is sent.
	// Its cache was held until other programs evicted it.
	pool := &Pool{}
	pool.UpdateEndpoint(0, EndpointReport{Name: "a", Slots: 1, CacheTokens: 1000})
	pool.Submit(0, Request{ID: 1, Member: "m", Program: "p", PromptTokens: 10})
	pool.Tick(0)
	pool.Finish(1, Finish{ID: 1, PromptTokens: 10, OutputTokens: 5})
	require.Empty(t, pool.Tick(1))
	require.Equal(t, []Effect{Release{Endpoint: "a", Member: "m", Program: "p"}}, pool.Tick(pool.NextTick()))
	pool.ConfirmRelease(pool.now, "a", "m", "p")
	require.Empty(t, pool.programs)
	require.Zero(t, pool.NextTick())
}
