package bvrouter

import (
	"context"
	"errors"
	"strings"
	"sync"

	"github.com/sirupsen/logrus"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
)

const (
	// storePatience bounds a call to the store on a caller's behalf. The
	// store answers in 4 to 9 ms; with answers sixty times as slow it is
	// still within.
	storePatience = 800 * bvclock.Millisecond
	// leastPatience and patienceFactor bound a call by what calls usually take:
	// a connection on which an answer was lost delivers nothing more, and the
	// caller behind it waits for nothing. Each call in a row that ran out of
	// time doubles the bound, up to storePatience, for a store that is slow.
	leastPatience  = 60 * bvclock.Millisecond
	patienceFactor = 6
	// usualWeight is the weight of a new duration in the usual one.
	usualWeight = 0.1
	// trialInterval is the time between two calls that try whether a lost
	// store is back. Callers' own calls must not do so: a silent store holds
	// each for up to storePatience, and with thirteen hosts that would be most
	// of the programs that begin, held in place of refused.
	trialInterval = 100 * bvclock.Millisecond
	// suspectAfter is how long a call may be under way, with no other one
	// answered since it began, before the store counts as lost: a store that
	// is silent gives no error to count.
	suspectAfter = 300 * bvclock.Millisecond
	// lostAfter is how many calls in a row must fail.
	lostAfter = 2
)

// reach is this host's way to the platform's store: its own, or through
// another host while the store turns this one away. While there is neither,
// calls fail at once, so that callers are not held for what can't be had.
type reach struct {
	own     Platform
	clock   bvclock.Clock
	log     logrus.FieldLogger
	helpers func() []string // addresses of hosts that reach the store
	count   func(kind string)

	mutex    sync.Mutex
	failures int // in a row
	answered bvclock.Time
	calls    map[int64]bvclock.Time // under way, by number
	number   int64
	clients  map[string]*bvplatform.Client
	lost     bool
	lostAt   bvclock.Time
	usual    float64 // duration of an answered call, in milliseconds
	overruns int     // calls in a row that ran out of time

	doubts chan struct{} // holds one while a trial is due
}

func newReach(own Platform, clock bvclock.Clock, log logrus.FieldLogger, helpers func() []string, count func(kind string)) *reach {
	return &reach{
		count:   count,
		own:     own,
		clock:   clock,
		log:     log,
		helpers: helpers,
		calls:   make(map[int64]bvclock.Time),
		doubts:  make(chan struct{}, 1),
		clients: make(map[string]*bvplatform.Client),
	}
}

// up reports whether the store answers this host.
func (reach *reach) up() bool {
	now := reach.clock.Now()
	reach.mutex.Lock()
	defer reach.mutex.Unlock()
	lost := reach.failures >= lostAfter || reach.hanging(now)
	if lost != reach.lost {
		reach.lost, reach.lostAt = lost, now
		reach.tell()
	}
	return !lost
}

// tell logs that the store was lost or regained, with what decided it.
func (reach *reach) tell() {
	entry := reach.log.WithFields(logrus.Fields{"failures": reach.failures, "calls": len(reach.calls)})
	if reach.lost {
		entry.Warn("store: lost")
		return
	}
	entry.Info("store: regained")
}

func (reach *reach) hanging(now bvclock.Time) bool {
	for _, begun := range reach.calls {
		if now.Sub(begun) > suspectAfter && !reach.answered.After(begun) {
			return true
		}
	}
	return false
}

// Serving reports whether the store can be asked at all.
func (reach *reach) Serving() bool {
	return reach.up() || len(reach.helpers()) > 0
}

// AwayFor returns for how long the store could not be asked, by any way; 0 where it
// can be. It is at least a millisecond from the first look on.
func (reach *reach) AwayFor() bvclock.Duration {
	if reach.Serving() {
		return 0
	}
	now := reach.clock.Now()
	reach.mutex.Lock()
	defer reach.mutex.Unlock()
	return max(now.Sub(reach.lostAt), 1)
}

// track makes a call by this host's own way and learns from it. A call that
// fails while others are answered says nothing of the store.
func (reach *reach) track(ctx context.Context, kind string, call func(ctx context.Context) error) error {
	reach.count(kind)
	begun := reach.clock.Now()
	reach.mutex.Lock()
	reach.number++
	number := reach.number
	reach.calls[number] = begun
	patience := reach.patience()
	reach.mutex.Unlock()
	bounded, cancel := context.WithTimeout(ctx, patience.Std())
	defer cancel()
	err := call(bounded)
	reach.mutex.Lock()
	defer reach.mutex.Unlock()
	delete(reach.calls, number)
	now := reach.clock.Now()
	var conflict *bvplatform.ConflictError
	switch {
	case err == nil, errors.As(err, &conflict), errors.Is(err, bvplatform.ErrNotFound):
		reach.failures, reach.overruns = 0, 0
		reach.answered = now
		reach.usual += usualWeight * (float64(now.Sub(begun)) - reach.usual)
	case ctx.Err() != nil:
		// the caller gave up, for reasons of its own
	case !reach.answered.After(begun):
		reach.failures++
		if bounded.Err() != nil {
			reach.overruns++
		}
	}
	return err
}

func (reach *reach) failing() bool {
	reach.mutex.Lock()
	defer reach.mutex.Unlock()
	return reach.failures > 0
}

// doubt makes the next trial due at once after a failed call. Where only some
// parts of the store are away, two calls for such parts in a row would make it
// count as lost, for calls that it would answer too; the trial's answer shows
// that it is not.
func (reach *reach) doubt() {
	select {
	case reach.doubts <- struct{}{}:
	default: // one is due already
	}
}

// kindOf names a call by what it does and the table of its first key.
func kindOf(call string, keys ...string) string {
	if len(keys) == 0 {
		return call
	}
	table, _, _ := strings.Cut(keys[0], "/")
	return call + " " + table
}

// putKeys returns the keys that a transaction writes.
func putKeys(transaction bvplatform.Transaction) []string {
	keys := make([]string, 0, len(transaction.Puts))
	for _, put := range transaction.Puts {
		keys = append(keys, put.Key)
	}
	return keys
}

// patience is how long a call may take.
func (reach *reach) patience() bvclock.Duration {
	bound := max(leastPatience, bvclock.Duration(patienceFactor*reach.usual))
	return min(bound<<min(reach.overruns, 8), storePatience)
}

// watch tries the store after a failed call, and a lost one again and again,
// until ctx ends. Trials overlap, so that one which hangs does not hide that the
// store is back.
func (reach *reach) watch(ctx context.Context, key string) {
	for ctx.Err() == nil {
		select {
		case <-reach.doubts:
			go reach.try(ctx, key)
		case <-bvclock.After(trialInterval):
			if !reach.up() {
				go reach.try(ctx, key)
			}
		case <-ctx.Done():
		}
	}
}

// try makes one call for the sake of its answer only.
func (reach *reach) try(ctx context.Context, key string) {
	err := reach.track(ctx, "try", func(ctx context.Context) error {
		_, err := reach.own.Read(ctx, key)
		return err
	})
	if err != nil {
		reach.log.WithError(err).Debug("store: still lost")
	}
}

// do calls the store, by whatever way there is. A call that may have been
// carried out is not repeated here.
func (reach *reach) do(ctx context.Context, kind string, call func(ctx context.Context, store bvplatform.Store) error) error {
	err := bvplatform.ErrUnavailable
	if reach.up() {
		err = reach.track(ctx, kind, func(ctx context.Context) error { return call(ctx, reach.own) })
		if reach.failing() {
			reach.doubt()
		}
		if !errors.Is(err, bvplatform.ErrUnavailable) {
			return err
		}
	}
	for _, address := range reach.helpers() {
		err = call(ctx, reach.client(address))
		if !errors.Is(err, bvplatform.ErrUnavailable) {
			return err
		}
	}
	return err
}

func (reach *reach) client(address string) *bvplatform.Client {
	reach.mutex.Lock()
	defer reach.mutex.Unlock()
	found := reach.clients[address]
	if found == nil {
		found = &bvplatform.Client{Address: address, Timeout: relayTimeout}
		reach.clients[address] = found
	}
	return found
}
