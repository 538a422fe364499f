package bvowner

import (
	"sync"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvledger"
)

// Measure counts what an owner does.
type Metrics interface {
	Add(name string, delta int64)
	Observe(name string, duration bvclock.Duration)
}

// noMeasure counts nothing.
type noMeasure struct{}

func (noMeasure) Add(string, int64)                { /* nobody asked */ }
func (noMeasure) Observe(string, bvclock.Duration) { /* nobody asked */ }

// pruneFloor is how many programs are kept at least before those that this
// host no longer has are looked for.
const pruneFloor = 1024

// latencies are the programs whose first call was answered here. A program
// that was taken over in between is not measured: its first call is not known.
type latencies struct {
	mutex    sync.Mutex
	programs map[bvledger.ProgramKey]*progress
	pruneAt  int
}

// progress is when a program's first call came and its last answer went.
type progress struct {
	began    bvclock.Time
	answered bvclock.Time
}

// answer notes the answer of a call that came at began. It reports whether
// the programs should be pruned.
func (latencies *latencies) answer(key bvledger.ProgramKey, turn int32, began, now bvclock.Time) bool {
	latencies.mutex.Lock()
	defer latencies.mutex.Unlock()
	found := latencies.programs[key]
	switch {
	case found != nil:
		found.answered = now
	case turn == 1:
		if latencies.programs == nil {
			latencies.programs = make(map[bvledger.ProgramKey]*progress)
		}
		latencies.programs[key] = &progress{began: began, answered: now}
	}
	return len(latencies.programs) > max(latencies.pruneAt, pruneFloor)
}

// end forgets an ended program and returns its latency, if it was measured.
func (latencies *latencies) end(key bvledger.ProgramKey) (latency bvclock.Duration, measured bool) {
	latencies.mutex.Lock()
	defer latencies.mutex.Unlock()
	found := latencies.programs[key]
	if found == nil {
		return 0, false
	}
	delete(latencies.programs, key)
	return found.answered.Sub(found.began), true
}

// prune forgets the programs that are no longer held. Without it, each program
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

// answered measures a call that got its answer.
func (session *session) answered(turn int32, repeated bool) {
	owner := session.owner
	if session.call == nil || repeated {
		return
	}
	now := owner.parts.Clock.Now()
	owner.measure.Observe("call_latency", now.Sub(session.began))
	key := bvledger.ProgramKey{Member: session.call.GetMember(), Program: session.call.GetProgram()}
	if !owner.latencies.answer(key, turn, session.began, now) {
		return
	}
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	owner.latencies.prune(func(key bvledger.ProgramKey) bool {
		_, held := owner.ledger.Status(key)
		return held
	})
}

// programEnded measures a program that has ended.
func (owner *Owner) programEnded(key bvledger.ProgramKey) {
	if latency, measured := owner.latencies.end(key); measured {
		owner.measure.Observe("program_latency", latency)
	}
}
