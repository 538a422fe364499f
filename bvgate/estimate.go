package bvgate

import (
	"math"

	"balsamvalve.example/bvclock"
)

const (
	// minSpareShare is the minimum part of the pool that is assumed to be available to
	// members with a backlog.
	minSpareShare = 0.05
	minRate       = Work(1e-6)
)

// callWork is the average work of a call.
func (pool *Pool) callWork() Work {
	return Work(pool.averageWork.valueOr(float64(pool.cost.Work(0, defaultOutputTokens))))
}

// callTime is the average duration of a call in milliseconds.
func (pool *Pool) callTime() float64 {
	return pool.averageDuration.valueOr(pool.cost.decodeTime(defaultOutputTokens, 1))
}

// rate is the pool's work per millisecond with all slots taken.
func (pool *Pool) rate() Work {
	return max(Work(float64(pool.slots)/pool.callTime())*pool.callWork(), minRate)
}

// rateMeter measures the work per millisecond granted to a member while it has a
// backlog, averaged over about rateWindow.
type rateMeter struct {
	since     bvclock.Time
	updatedAt bvclock.Time
	work      float64 // decays exponentially
}

const (
	rateWindow = 10 * bvclock.Second
	// minRateAge is how long a backlog must exist before its rate is used.
	minRateAge = 2 * bvclock.Second
)

func (meter *rateMeter) add(now bvclock.Time, work Work) {
	meter.work = meter.work*decay(now.Sub(meter.updatedAt)) + float64(work)
	meter.updatedAt = now
}

func decay(passed bvclock.Duration) float64 {
	return math.Exp(-float64(passed) / float64(rateWindow))
}

// rate returns the measured rate, or false if the measurement is too short.
func (meter *rateMeter) rate(now bvclock.Time) (Work, bool) {
	age := now.Sub(meter.since)
	if age < minRateAge {
		return 0, false
	}
	measured := float64(rateWindow) * (1 - decay(age))
	return max(Work(meter.work*decay(now.Sub(meter.updatedAt))/measured), minRate), true
}

// memberRate is the work per millisecond that a backlogged member gets: the measured
// rate or, until there is one, its share of the capacity that members without a backlog
// leave. The share alone is a poor estimate: it halves whenever the other member has a
// single request waiting.
func (pool *Pool) memberRate(now bvclock.Time, requester *member) Work {
	if requester.queued > 0 {
		if rate, ok := requester.grantRate.rate(now); ok {
			return rate
		}
	}
	weight := pool.backloggedWeight
	running := pool.backloggedRunning
	if requester.queued == 0 {
		weight += requester.weight()
		running += requester.running
	}
	others := float64(pool.runningTotal-running) / float64(max(pool.slots, 1))
	left := max(1-others, minSpareShare)
	return max(pool.rate()*Work(left*requester.weight()/weight), minRate)
}

// estimateWait estimates how long a request submitted now would wait.
func (pool *Pool) estimateWait(now bvclock.Time, requester *member, priority, level int) bvclock.Duration {
	if pool.slots == 0 {
		return noEndpointWait + pool.limitWait(requester)
	}
	if len(pool.freeEndpoints) > 0 && requester.queueLen() == 0 {
		return pool.limitWait(requester)
	}
	ahead := requester.queue.workAhead(priority, level) + requester.newPrograms.workAhead(priority, level) + requester.parkedWork
	next := float64(pool.callWork() / pool.rate())
	wait := bvclock.Duration(float64(ahead/pool.memberRate(now, requester)) + next)
	return max(wait, pool.limitWait(requester))
}

// limitWait is the wait caused by the member's own limits.
func (pool *Pool) limitWait(requester *member) bvclock.Duration {
	wait := 0.0
	if rate := requester.share.Rate; rate > 0 {
		wait = (float64(requester.queued+1) - requester.rateTokens) / rate * float64(bvclock.Second)
	}
	if limit := requester.share.Concurrency; limit > 0 {
		over := requester.running + requester.queued + 1 - limit
		wait = max(wait, float64(over)*pool.callTime()/float64(limit))
	}
	return bvclock.Duration(max(wait, 0))
}

// backlogTime is how long the member's waiting requests occupy its share.
func (pool *Pool) backlogTime(now bvclock.Time, requester *member) bvclock.Duration {
	if requester.queued == 0 {
		return 0
	}
	if pool.slots == 0 {
		return noEndpointWait
	}
	work := requester.queue.totalWork() + requester.newPrograms.totalWork() + requester.parkedWork
	return max(bvclock.Duration(float64(work/pool.memberRate(now, requester))), pool.limitWait(requester))
}

func (pool *Pool) expectedOutput(submitted *Request) int {
	learned := pool.averageOutputs[outputKey{member: submitted.Member, class: submitted.Class}]
	if learned == nil {
		return defaultOutputTokens
	}
	return max(int(learned.value), 1)
}

func (pool *Pool) learnOutput(request *Request, tokens int) {
	key := outputKey{member: request.Member, class: request.Class}
	learned := pool.averageOutputs[key]
	if learned == nil {
		if pool.averageOutputs == nil {
			pool.averageOutputs = make(map[outputKey]*average)
		}
		learned = &average{}
		pool.averageOutputs[key] = learned
	}
	learned.add(float64(tokens))
}

// refreshRateLimit refills the rate limit's tokens when a member submits a request.
func (pool *Pool) refreshRateLimit(now bvclock.Time, requester *member) {
	if requester.share.Rate > 0 && requester.timer.index == 0 {
		requester.fire(pool, now)
	}
}
