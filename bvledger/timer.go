package bvledger

import (
	"container/heap"

	"balsamvalve.example/bvclock"
)

type timer struct {
	at      bvclock.Time
	order   uint64 // number in the order of setting, to order equal times
	program *program
}

// timers is a heap of the times at which Tick must handle a program. A timer that its
// program has replaced is skipped.
type timers []timer

func (timers timers) Len() int { return len(timers) }

func (timers timers) Less(i, j int) bool {
	if timers[i].at != timers[j].at {
		return timers[i].at < timers[j].at
	}
	return timers[i].order < timers[j].order
}

func (timers timers) Swap(i, j int) { timers[i], timers[j] = timers[j], timers[i] }

func (timers *timers) Push(value any) { *timers = append(*timers, value.(timer)) }

func (timers *timers) Pop() any {
	old := *timers
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*timers = old[:len(old)-1]
	return last
}

// takeDue removes the due timers and returns their programs.
func (ledger *Ledger) takeDue(now bvclock.Time) []*program {
	var programs []*program
	for len(ledger.timers) > 0 && !ledger.timers[0].at.After(now) {
		timer := heap.Pop(&ledger.timers).(timer)
		if timer.program.closed || timer.program.wakeAt != timer.at {
			continue
		}
		timer.program.wakeAt = 0
		programs = append(programs, timer.program)
	}
	return programs
}

// schedule sets the program's timer if it is due earlier than the one set.
func (ledger *Ledger) schedule(program *program) {
	at := ledger.timeout(program)
	if program.closed || at == 0 || program.wakeAt != 0 && program.wakeAt <= at {
		return
	}
	program.wakeAt = at
	ledger.timerOrder++
	heap.Push(&ledger.timers, timer{at: at, order: ledger.timerOrder, program: program})
}

// timeout returns when the next timeout of the program is due; 0 means never.
func (ledger *Ledger) timeout(program *program) bvclock.Time {
	var at bvclock.Time
	for _, call := range program.queue {
		at = earlier(at, call.timeout())
		at = earlier(at, joinedTimeout(call))
	}
	if program.running != nil {
		at = earlier(at, program.running.timeout())
		at = earlier(at, joinedTimeout(program.running))
	}
	for _, turn := range program.turns[min(program.durableTurns, len(program.turns)):] {
		for _, waiter := range turn.waiters {
			at = earlier(at, waiter.timeout())
		}
	}
	if program.ending != nil {
		at = earlier(at, program.ending.abortBy)
		for _, caller := range program.ending.callers {
			at = earlier(at, caller.timeout())
		}
	}
	if program.isIdle() {
		at = earlier(at, ledger.idleTimeout(program))
	}
	return at
}

func joinedTimeout(call *call) bvclock.Time {
	var at bvclock.Time
	for _, joined := range call.joined {
		at = earlier(at, joined.timeout())
	}
	return at
}

// idleTimeout returns when Tick must handle an idle program; 0 means never.
func (ledger *Ledger) idleTimeout(program *program) bvclock.Time {
	if program.head.State.IsEnded() {
		return program.releasedAt.Add(ledger.settings.ReleaseInterval)
	}
	var at bvclock.Time
	if program.phase != phaseCold {
		at = program.activeAt.Add(ledger.settings.EvictAfter)
	}
	if program.head.Idle > 0 {
		at = earlier(at, program.activeAt.Add(program.head.Idle))
	}
	return at
}
