package bvgate

import (
	"container/heap"
	"math/bits"
	"slices"

	"balsamvalve.example/bvclock"
)

const (
	// levelBase is the work of the lowest level; each level doubles it.
	levelBase Work = 4000
	lastLevel int  = 12
	// ageStep is the wait after which a request goes one level down. Without
	// it a long program starves while short ones keep coming: it shows as a
	// program that stops at some turn. With it any request is at level 0
	// after at most lastLevel steps, and there the oldest program goes first.
	ageStep = 10 * bvclock.Second
)

// request is a Request that waits.
type request struct {
	Request
	member   *member
	program  *program
	askedAt  bvclock.Time
	order    uint64 // of asking
	level    int
	agesAt   bvclock.Time
	estimate Work
	repeated bool    // was sent before
	start    bool    // begins a program
	bucket   *bucket // nil unless in the member's queue
	index    int     // in the bucket
	timer    timer

	parkedAt    *endpoint // whose slot it waits for
	parkedUntil bvclock.Time
	restless    bool      // was parked once in vain
	aside       bool      // is a suspect that waits for an endpoint
	isolates    *endpoint // which is emptied for it
}

// level is that of a program with the given attained service: programs of one
// level are served by age, a lower level first.
func level(attained Work) int {
	if attained < levelBase {
		return 0
	}
	return min(bits.Len64(uint64(attained/levelBase)), lastLevel)
}

// bucket holds the waiting requests of one member, priority and level, oldest
// program first.
type bucket struct {
	priority int
	level    int
	work     Work
	heap     []*request
}

func (bucket *bucket) Len() int { return len(bucket.heap) }

func (bucket *bucket) Less(i, j int) bool {
	return bucket.heap[i].older(bucket.heap[j])
}

func (queued *request) older(other *request) bool {
	if queued.program.firstAt != other.program.firstAt {
		return queued.program.firstAt < other.program.firstAt
	}
	return queued.order < other.order
}

// before is the order within a member.
func (queued *request) before(other *request) bool {
	if queued.Priority != other.Priority {
		return queued.Priority > other.Priority
	}
	if queued.level != other.level {
		return queued.level < other.level
	}
	return queued.older(other)
}

func (bucket *bucket) Swap(i, j int) {
	bucket.heap[i], bucket.heap[j] = bucket.heap[j], bucket.heap[i]
	bucket.heap[i].index = i
	bucket.heap[j].index = j
}

func (bucket *bucket) Push(item any) {
	added := item.(*request)
	added.index = len(bucket.heap)
	bucket.heap = append(bucket.heap, added)
}

func (bucket *bucket) Pop() any {
	last := bucket.heap[len(bucket.heap)-1]
	bucket.heap[len(bucket.heap)-1] = nil
	bucket.heap = bucket.heap[:len(bucket.heap)-1]
	return last
}

// queue holds the waiting requests of a member: table priority first, then
// least attained service of the program in levels, then age of the program.
type queue struct {
	buckets []*bucket // highest priority first, then lowest level
	len     int
}

func compareBuckets(a, b *bucket) int {
	if a.priority != b.priority {
		return b.priority - a.priority
	}
	return a.level - b.level
}

func (queue *queue) bucket(priority, level int) *bucket {
	wanted := &bucket{priority: priority, level: level}
	at, ok := slices.BinarySearchFunc(queue.buckets, wanted, compareBuckets)
	if !ok {
		queue.buckets = slices.Insert(queue.buckets, at, wanted)
	}
	return queue.buckets[at]
}

func (queue *queue) add(added *request) {
	bucket := queue.bucket(added.Priority, added.level)
	added.bucket = bucket
	bucket.work += added.estimate
	heap.Push(bucket, added)
	queue.len++
}

func (queue *queue) remove(removed *request) {
	bucket := removed.bucket
	heap.Remove(bucket, removed.index)
	bucket.work -= removed.estimate
	removed.bucket = nil
	queue.len--
	if bucket.Len() == 0 {
		queue.buckets = slices.DeleteFunc(queue.buckets, bucket.is)
	}
}

func (bucket *bucket) is(other *bucket) bool { return bucket == other }

// first returns the request that goes first, or nil.
func (queue *queue) first() *request {
	if len(queue.buckets) == 0 {
		return nil
	}
	return queue.buckets[0].heap[0]
}

// ahead returns the work of what goes before a new request.
func (queue *queue) ahead(priority, level int) Work {
	var work Work
	for _, bucket := range queue.buckets {
		if bucket.priority < priority || bucket.priority == priority && bucket.level > level {
			break
		}
		work += bucket.work
	}
	return work
}

func (queue *queue) work() Work {
	var work Work
	for _, bucket := range queue.buckets {
		work += bucket.work
	}
	return work
}
