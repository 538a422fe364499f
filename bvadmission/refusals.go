package bvadmission

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"balsamvalve.example/bvclock"
)

const (
	// maxRefusals bounds the rejected programs that a tracker keeps. The one that was
	// rejected first is dropped.
	maxRefusals = 1024
	// refusalRetention is how long after the time given a rejection is kept.
	refusalRetention = 10 * bvclock.Second
)

// Refusals are the rejected programs that a host keeps as their tracker. The zero value has
// none. It is not safe for concurrent use.
type Refusals struct {
	programs *simplelru.LRU[uint64, refusedAt]
}

type refusedAt struct{ first, due bvclock.Time }

// Record records a rejection of a program. The first one and the time that was given with it
// are kept until that time.
func (refusals *Refusals) Record(now bvclock.Time, program uint64, refusal Refusal) {
	if refusals.programs == nil {
		refusals.programs, _ = simplelru.NewLRU[uint64, refusedAt](maxRefusals, nil)
	}
	refused := refusedAt{first: now.Add(-max(refusal.Waited, 0)), due: now.Add(max(refusal.DueIn, 0))}
	if known, found := refusals.find(now, program); found {
		refused.first = min(refused.first, known.first)
	}
	refusals.programs.Add(program, refused)
}

// Find returns what is known of a program's rejections.
func (refusals *Refusals) Find(now bvclock.Time, program uint64) (Refusal, bool) {
	known, found := refusals.find(now, program)
	if !found {
		return Refusal{}, false
	}
	return Refusal{Waited: max(now.Sub(known.first), 1), DueIn: max(known.due.Sub(now), 0)}, true
}

func (refusals *Refusals) find(now bvclock.Time, program uint64) (refusedAt, bool) {
	if refusals.programs == nil {
		return refusedAt{}, false
	}
	known, found := refusals.programs.Get(program)
	if !found {
		return refusedAt{}, false
	}
	if now.Sub(known.due) > refusalRetention {
		refusals.programs.Remove(program)
		return refusedAt{}, false
	}
	return known, true
}
