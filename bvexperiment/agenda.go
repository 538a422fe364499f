package bvexperiment

import (
	"container/heap"

	"balsamvalve.example/bvclock"
)

// agenda holds what is to happen later. Things due at the same time happen in
// the order in which they were planned, so that each run is the same.
type agenda struct {
	items planned
	count int
}

type plan struct {
	at    bvclock.Time
	order int
	do    func()
}

func (agenda *agenda) add(at bvclock.Time, do func()) {
	agenda.count++
	heap.Push(&agenda.items, plan{at: at, order: agenda.count, do: do})
}

func (agenda *agenda) next() (bvclock.Time, bool) {
	if len(agenda.items) == 0 {
		return 0, false
	}
	return agenda.items[0].at, true
}

// take removes the first thing that is due.
func (agenda *agenda) take(now bvclock.Time) (func(), bool) {
	at, ok := agenda.next()
	if !ok || at.After(now) {
		return nil, false
	}
	return heap.Pop(&agenda.items).(plan).do, true
}

// planned implements heap.Interface.
type planned []plan

func (planned planned) Len() int      { return len(planned) }
func (planned planned) Swap(i, j int) { planned[i], planned[j] = planned[j], planned[i] }
func (planned planned) Less(i, j int) bool {
	if planned[i].at != planned[j].at {
		return planned[i].at < planned[j].at
	}
	return planned[i].order < planned[j].order
}

func (planned *planned) Push(item any) { *planned = append(*planned, item.(plan)) }

func (planned *planned) Pop() any {
	last := len(*planned) - 1
	item := (*planned)[last]
	(*planned)[last] = plan{}
	*planned = (*planned)[:last]
	return item
}
