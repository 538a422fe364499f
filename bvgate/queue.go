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
	maxLevel  int  = 12
	// ageStep is the wait after which a request moves one level down. Without it a long
	// program starves at some turn while short ones keep arriving. With it any request
	// reaches level 0 after at most maxLevel steps, where the oldest program is served
	// first.
	ageStep = 10 * bvclock.Second
)

// request is a waiting Request.
type request struct {
	Request
	member      *member
	program     *program
	submittedAt bvclock.Time
	sequence    uint64 // order of arrival
	level       int
	agesAt      bvclock.Time
	estimate    Work
	retry       bool    // was sent before
	newProgram  bool    // is the first of its program
	bucket      *bucket // nil unless in a queue of the member
	index       int     // in the bucket
	timer       timer

	parkedAt        *endpoint // endpoint for whose slot it waits
	parkedUntil     bvclock.Time
	wasParked       bool      // was parked before and does not park again
	queuedAsSuspect bool      // waits among the suspects for an endpoint
	isolating       *endpoint // endpoint that is drained for it
}

// levelOf is the level of a program with the given attained service. A lower level is
// served first, and the programs of one level by age.
func levelOf(attained Work) int {
	if attained < levelBase {
		return 0
	}
	return min(bits.Len64(uint64(attained/levelBase)), maxLevel)
}

// bucket holds the waiting requests of one member, priority and level, oldest program
// first.
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
	if queued.program.firstSeen != other.program.firstSeen {
		return queued.program.firstSeen < other.program.firstSeen
	}
	return queued.sequence < other.sequence
}

// before reports whether a request is served before another one of the same member.
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

// queue holds the waiting requests of a member, ordered by the row's priority, then by
// the program's level of attained service, least first, then by the program's age.
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
		queue.buckets = slices.DeleteFunc(queue.buckets, bucket.isSame)
	}
}

func (bucket *bucket) isSame(other *bucket) bool { return bucket == other }

// peek returns the request that is served next, or nil.
func (queue *queue) peek() *request {
	if len(queue.buckets) == 0 {
		return nil
	}
	return queue.buckets[0].heap[0]
}

// workAhead returns the work of the requests that a new request would wait for.
func (queue *queue) workAhead(priority, level int) Work {
	var work Work
	for _, bucket := range queue.buckets {
		if bucket.priority < priority || bucket.priority == priority && bucket.level > level {
			break
		}
		work += bucket.work
	}
	return work
}

func (queue *queue) totalWork() Work {
	var work Work
	for _, bucket := range queue.buckets {
		work += bucket.work
	}
	return work
}
