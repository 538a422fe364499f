package bvgate

import (
	"container/heap"

	"balsamvalve.example/bvclock"
)

// timerHandler handles the expiry of a timer.
type timerHandler interface {
	fire(pool *Pool, now bvclock.Time)
}

// timer is an element of the heap of timers. The zero value is not set.
type timer struct {
	at       bvclock.Time
	sequence uint64 // of setting; orders equal times
	index    int    // in the heap, from 1; 0 when not set
	handler  timerHandler
}

type timerHeap []*timer

func (timers timerHeap) Len() int { return len(timers) }

func (timers timerHeap) Less(i, j int) bool {
	if timers[i].at != timers[j].at {
		return timers[i].at < timers[j].at
	}
	return timers[i].sequence < timers[j].sequence
}

func (timers timerHeap) Swap(i, j int) {
	timers[i], timers[j] = timers[j], timers[i]
	timers[i].index = i + 1
	timers[j].index = j + 1
}

func (timers *timerHeap) Push(item any) {
	added := item.(*timer)
	*timers = append(*timers, added)
	added.index = len(*timers)
}

func (timers *timerHeap) Pop() any {
	last := (*timers)[len(*timers)-1]
	(*timers)[len(*timers)-1] = nil
	*timers = (*timers)[:len(*timers)-1]
	last.index = 0
	return last
}

// setTimer sets or moves a timer.
func (pool *Pool) setTimer(set *timer, at bvclock.Time, handler timerHandler) {
	pool.sequence++
	set.at, set.sequence, set.handler = at, pool.sequence, handler
	if set.index == 0 {
		heap.Push(&pool.timers, set)
		return
	}
	heap.Fix(&pool.timers, set.index-1)
}

func (pool *Pool) stopTimer(set *timer) {
	if set.index != 0 {
		heap.Remove(&pool.timers, set.index-1)
	}
}

func (pool *Pool) fireTimers(now bvclock.Time) {
	for len(pool.timers) > 0 && !pool.timers[0].at.After(now) {
		fired := heap.Pop(&pool.timers).(*timer)
		fired.handler.fire(pool, now)
	}
}
