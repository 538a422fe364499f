package bvgate

import "balsamvalve.example/bvclock"

// rate is the pool's work a millisecond with all slots taken.
func (pool *Pool) rate() Work {
	duration := pool.duration.or(pool.cost.decodeTime(defaultOutput, 1))
	work := pool.work.or(float64(pool.cost.Work(0, defaultOutput)))
	return Work(float64(pool.slots) * work / duration)
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

// wait estimates how long a request would wait that is asked now.
func (pool *Pool) wait(asking *member, priority, level int) bvclock.Duration {
	if len(pool.free) > 0 && asking.queue.len == 0 {
		return 0
	}
	ahead := asking.queue.ahead(priority, level) + asking.parkedWork
	next := Work(pool.work.or(float64(pool.cost.Work(0, defaultOutput))))
	return bvclock.Duration(float64(ahead)/float64(pool.memberRate(asking)) + float64(next/max(pool.rate(), 1e-6)))
}

// memberRate is the work a millisecond that a backlogged member gets: its
// share of what the members without backlog leave.
func (pool *Pool) memberRate(asking *member) Work {
	weight := pool.backloggedWeight
	running := pool.backloggedRunning
	if asking.queued == 0 {
		weight += asking.weight()
		running += asking.running
	}
	others := float64(pool.runningTotal-running) / float64(max(pool.slots, 1))
	left := max(1-others, minLeft)
	return max(pool.rate()*Work(left*asking.weight()/weight), 1e-6)
}

const minLeft = 0.05
