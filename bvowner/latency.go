package bvowner

import (
	"sync"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvledger"
)

// Metrics records an owner's counters and durations.
type Metrics interface {
	Add(name string, delta int64)
	Observe(name string, duration bvclock.Duration)
}

// noMetrics discards all metrics.
type noMetrics struct{}

func (noMetrics) Add(string, int64)                { /* metrics are disabled */ }
func (noMetrics) Observe(string, bvclock.Duration) { /* metrics are disabled */ }

// minPruneSize is the number of programs up to which no pruning takes place.
const minPruneSize = 1024

// latencies measures the programs whose first call was answered here. A program that
// was taken over later is not measured, because the time of its first call is unknown.
type latencies struct {
	mutex    sync.Mutex
	programs map[bvledger.ProgramKey]*programTimes
	pruneAt  int
}

// programTimes holds the times of a program's first call and last answer.
type programTimes struct {
	firstCallAt  bvclock.Time
	lastAnswerAt bvclock.Time
}

// recordAnswer records the answer to a call that was submitted at submittedAt. It reports
// whether the programs should be pruned.
func (latencies *latencies) recordAnswer(key bvledger.ProgramKey, turn int32, submittedAt, now bvclock.Time) bool {
	latencies.mutex.Lock()
	defer latencies.mutex.Unlock()
	found := latencies.programs[key]
	switch {
	case found != nil:
		found.lastAnswerAt = now
	case turn == 1:
		if latencies.programs == nil {
			latencies.programs = make(map[bvledger.ProgramKey]*programTimes)
		}
		latencies.programs[key] = &programTimes{firstCallAt: submittedAt, lastAnswerAt: now}
	}
	return len(latencies.programs) > max(latencies.pruneAt, minPruneSize)
}

// takeLatency deletes an ended program and returns its latency, if it was measured.
func (latencies *latencies) takeLatency(key bvledger.ProgramKey) (latency bvclock.Duration, measured bool) {
	latencies.mutex.Lock()
	defer latencies.mutex.Unlock()
	found := latencies.programs[key]
	if found == nil {
		return 0, false
	}
	delete(latencies.programs, key)
	return found.lastAnswerAt.Sub(found.firstCallAt), true
}

// prune deletes the programs that this host no longer holds. Without it, each program
// that was handed over would stay in memory.
func (latencies *latencies) prune(held func(bvledger.ProgramKey) bool) {
	latencies.mutex.Lock()
	defer latencies.mutex.Unlock()
	for key := range latencies.programs {
		if !held(key) {
			delete(latencies.programs, key)
		}
	}
	latencies.pruneAt = 2 * len(latencies.programs)
}

// observeAnswer records the latency of a call that was answered.
func (session *session) observeAnswer(turn int32, repeated bool) {
	owner := session.owner
	if session.call == nil || repeated {
		return
	}
	now := owner.parts.Clock.Now()
	owner.metrics.Observe("call_latency", now.Sub(session.submittedAt))
	key := bvledger.ProgramKey{Member: session.call.GetMember(), Program: session.call.GetProgram()}
	if !owner.latencies.recordAnswer(key, turn, session.submittedAt, now) {
		return
	}
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	owner.latencies.prune(func(key bvledger.ProgramKey) bool {
		_, held := owner.ledger.Status(key)
		return held
	})
}

// observeProgramEnd records the latency of a program that has ended.
func (owner *Owner) observeProgramEnd(key bvledger.ProgramKey) {
	if latency, measured := owner.latencies.takeLatency(key); measured {
		owner.metrics.Observe("program_latency", latency)
	}
}
