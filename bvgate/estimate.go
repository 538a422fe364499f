package bvgate

import (
	"math"

	"balsamvalve.example/bvclock"
)

const (
	// minLeft is the least part of the pool that is taken to be left for the
	// members with a backlog.
	minLeft = 0.05
	minRate = Work(1e-6)
)

// callWork is the usual work of a call.
func (pool *Pool) callWork() Work {
	return Work(pool.work.or(float64(pool.cost.Work(0, defaultOutput))))
}

// callTime is the usual time of a call in milliseconds.
func (pool *Pool) callTime() float64 {
	return pool.duration.or(pool.cost.decodeTime(defaultOutput, 1))
}

// rate is the pool's work a millisecond with all slots taken.
func (pool *Pool) rate() Work {
	return max(Work(float64(pool.slots)/pool.callTime())*pool.callWork(), minRate)
}

// flow measures the work a millisecond that a member is granted while it has
// a backlog, averaged over about flowWindow.
type flow struct {
	since bvclock.Time
	at    bvclock.Time
	work  float64 // of which older parts count less
}

const (
	flowWindow = 10 * bvclock.Second
	// flowLeast is how long a backlog lasts before its flow says anything.
	flowLeast = 2 * bvclock.Second
)

func (flow *flow) add(now bvclock.Time, work Work) {
	flow.work = flow.work*decay(now.Sub(flow.at)) + float64(work)
	flow.at = now
}

func decay(passed bvclock.Duration) float64 {
	return math.Exp(-float64(passed) / float64(flowWindow))
}

// rate returns the flow, or false if it is too young.
func (flow *flow) rate(now bvclock.Time) (Work, bool) {
	age := now.Sub(flow.since)
	if age < flowLeast {
		return 0, false
	}
	seen := float64(flowWindow) * (1 - decay(age))
	return max(Work(flow.work*decay(now.Sub(flow.at))/seen), minRate), true
}

// memberRate is the work a millisecond that a backlogged member gets: as
// measured, or at first its share of what the members without backlog leave.
// The share alone is a bad measure: it halves whenever the other member has a
// single request waiting.
func (pool *Pool) memberRate(now bvclock.Time, asking *member) Work {
	if asking.queued > 0 {
		if rate, ok := asking.flow.rate(now); ok {
			return rate
		}
	}
	weight := pool.backloggedWeight
	running := pool.backloggedRunning
	if asking.queued == 0 {
		weight += asking.weight()
		running += asking.running
	}
	others := float64(pool.runningTotal-running) / float64(max(pool.slots, 1))
	left := max(1-others, minLeft)
	return max(pool.rate()*Work(left*asking.weight()/weight), minRate)
}

// wait estimates how long a request would wait that is asked now.
func (pool *Pool) wait(now bvclock.Time, asking *member, priority, level int) bvclock.Duration {
	if pool.slots == 0 {
		return noEndpointWait + pool.limitWait(asking)
	}
	if len(pool.free) > 0 && asking.lines() == 0 {
		return pool.limitWait(asking)
	}
	ahead := asking.queue.ahead(priority, level) + asking.starts.ahead(priority, level) + asking.parkedWork
	next := float64(pool.callWork() / pool.rate())
	wait := bvclock.Duration(float64(ahead/pool.memberRate(now, asking)) + next)
	return max(wait, pool.limitWait(asking))
}

// limitWait is the wait that the member's own limits cause.
func (pool *Pool) limitWait(asking *member) bvclock.Duration {
	wait := 0.0
	if rate := asking.share.Rate; rate > 0 {
		wait = (float64(asking.queued+1) - asking.tokens) / rate * float64(bvclock.Second)
	}
	if limit := asking.share.Concurrency; limit > 0 {
		over := asking.running + asking.queued + 1 - limit
		wait = max(wait, float64(over)*pool.callTime()/float64(limit))
	}
	return bvclock.Duration(max(wait, 0))
}

// backlogTime is how long a member's waiting requests keep its share busy.
func (pool *Pool) backlogTime(now bvclock.Time, asking *member) bvclock.Duration {
	if asking.queued == 0 {
		return 0
	}
	if pool.slots == 0 {
		return noEndpointWait
	}
	work := asking.queue.work() + asking.starts.work() + asking.parkedWork
	return max(bvclock.Duration(float64(work/pool.memberRate(now, asking))), pool.limitWait(asking))
}

func (pool *Pool) expectOutput(asked *Request) int {
	learned := pool.outputs[outputKey{member: asked.Member, class: asked.Class}]
	if learned == nil {
		return defaultOutput
	}
	return max(int(learned.value), 1)
}

func (pool *Pool) learnOutput(request *Request, tokens int) {
	key := outputKey{member: request.Member, class: request.Class}
	learned := pool.outputs[key]
	if learned == nil {
		if pool.outputs == nil {
			pool.outputs = make(map[outputKey]*average)
		}
		learned = &average{}
		pool.outputs[key] = learned
	}
	learned.add(float64(tokens))
}

// allow lets the rate limit's tokens grow when a member asks.
func (pool *Pool) allow(now bvclock.Time, asking *member) {
	if asking.share.Rate > 0 && asking.timer.index == 0 {
		asking.ring(pool, now)
	}
}
