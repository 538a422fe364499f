package bvexperiment

import (
	"container/heap"

	"balsamvalve.example/bvclock"
)

// eventQueue holds scheduled events. Events with the same time run in the order in
// which they were scheduled, so that each run gives the same result.
type eventQueue struct {
	items     eventHeap
	scheduled int
}

type event struct {
	at    bvclock.Time
	order int
	run   func()
}

func (queue *eventQueue) schedule(at bvclock.Time, do func()) {
	queue.scheduled++
	heap.Push(&queue.items, event{at: at, order: queue.scheduled, run: do})
}

func (queue *eventQueue) nextTime() (bvclock.Time, bool) {
	if len(queue.items) == 0 {
		return 0, false
	}
	return queue.items[0].at, true
}

// pop removes the first event if it is due, and returns its function.
func (queue *eventQueue) pop(now bvclock.Time) (func(), bool) {
	at, ok := queue.nextTime()
	if !ok || at.After(now) {
		return nil, false
	}
	return heap.Pop(&queue.items).(event).run, true
}

// eventHeap implements heap.Interface.
type eventHeap []event

func (events eventHeap) Len() int      { return len(events) }
func (events eventHeap) Swap(i, j int) { events[i], events[j] = events[j], events[i] }
func (events eventHeap) Less(i, j int) bool {
	if events[i].at != events[j].at {
		return events[i].at < events[j].at
	}
	return events[i].order < events[j].order
}

func (events *eventHeap) Push(item any) { *events = append(*events, item.(event)) }

func (events *eventHeap) Pop() any {
	last := len(*events) - 1
	item := (*events)[last]
	(*events)[last] = event{}
	*events = (*events)[:last]
	return item
}
