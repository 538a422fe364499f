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
	// storeTimeout bounds a call to the store on a caller's behalf.
	storeTimeout = 800 * bvclock.Millisecond
	// leastStoreTimeout and storeTimeoutFactor bound a call by what calls usually take: a
	// connection on which an answer was lost delivers nothing more. Each call in a row
	// that ran out of time doubles the bound, up to storeTimeout, for a store that is
	// slow.
	leastStoreTimeout  = 60 * bvclock.Millisecond
	storeTimeoutFactor = 6
	// usualWeight is the weight of a new duration in the usual one.
	usualWeight = 0.1
	// trialInterval is the time between two calls that try whether a lost
	// store is back. Callers' own calls must not do so: a silent store holds each for
	// up to storeTimeout, where the caller should be refused at once.
	trialInterval = 100 * bvclock.Millisecond
	// suspectAfter is how long a call may be under way, with no other one
	// answered since it began, before the store counts as lost: a store that
	// is silent gives no error to count.
	suspectAfter = 300 * bvclock.Millisecond
	// lostAfter is how many calls in a row must fail.
	lostAfter = 2
)

// storeClient is this host's way to the platform's store: its own, or through
// another host while the store turns this one away. While there is neither,
// calls fail at once, so that callers are not held for what can't be had.
type storeClient struct {
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
	usual    float64       // duration of an answered call, in milliseconds
	overruns int           // calls in a row that ran out of time
	back     chan struct{} // closed when the store is next regained; nil where nobody waits

	doubts chan struct{} // holds one while a trial is due
}

func newStoreClient(own Platform, clock bvclock.Clock, log logrus.FieldLogger, helpers func() []string, count func(kind string)) *storeClient {
	return &storeClient{
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
func (client *storeClient) up() bool {
	now := client.clock.Now()
	client.mutex.Lock()
	defer client.mutex.Unlock()
	lost := client.failures >= lostAfter || client.hanging(now)
	if lost != client.lost {
		client.lost, client.lostAt = lost, now
		client.tell()
	}
	return !lost
}

// tell logs that the store was lost or regained, with what decided it.
func (client *storeClient) tell() {
	entry := client.log.WithFields(logrus.Fields{"failures": client.failures, "calls": len(client.calls)})
	if client.lost {
		entry.Warn("store: lost")
		return
	}
	entry.Info("store: regained")
	if client.back != nil {
		close(client.back)
		client.back = nil
	}
}

// untilRegained returns a context that also ends when the store, lost now or later, is
// regained.
//
// It is for questions that the store holds until something changes: a store that was
// silent never answers those of before.
func (client *storeClient) untilRegained(ctx context.Context) (context.Context, context.CancelFunc) {
	client.mutex.Lock()
	if client.back == nil {
		client.back = make(chan struct{})
	}
	back := client.back
	client.mutex.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-back:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

func (client *storeClient) hanging(now bvclock.Time) bool {
	for _, begun := range client.calls {
		if now.Sub(begun) > suspectAfter && !client.answered.After(begun) {
			return true
		}
	}
	return false
}

// Serving reports whether the store can be asked at all.
func (client *storeClient) Serving() bool {
	return client.up() || len(client.helpers()) > 0
}

// AwayFor returns for how long the store could not be asked, by any way; 0 where it
// can be. It is at least a millisecond from the first look on.
func (client *storeClient) UnreachableFor() bvclock.Duration {
	if client.Serving() {
		return 0
	}
	now := client.clock.Now()
	client.mutex.Lock()
	defer client.mutex.Unlock()
	return max(now.Sub(client.lostAt), 1)
}

// track makes a call by this host's own way and learns from it. A call that
// fails while others are answered says nothing of the store.
func (client *storeClient) track(ctx context.Context, kind string, call func(ctx context.Context) error) error {
	client.count(kind)
	begun := client.clock.Now()
	client.mutex.Lock()
	client.number++
	number := client.number
	client.calls[number] = begun
	timeout := client.timeout()
	client.mutex.Unlock()
	bounded, cancel := context.WithTimeout(ctx, timeout.Std())
	defer cancel()
	err := call(bounded)
	client.mutex.Lock()
	defer client.mutex.Unlock()
	delete(client.calls, number)
	now := client.clock.Now()
	var conflict *bvplatform.ConflictError
	switch {
	case err == nil, errors.As(err, &conflict), errors.Is(err, bvplatform.ErrNotFound):
		client.failures, client.overruns = 0, 0
		client.answered = now
		client.usual += usualWeight * (float64(now.Sub(begun)) - client.usual)
	case ctx.Err() != nil:
		// the caller gave up, for reasons of its own
	case !client.answered.After(begun):
		client.failures++
		if bounded.Err() != nil {
			client.overruns++
		}
	}
	return err
}

func (client *storeClient) failing() bool {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	return client.failures > 0
}

// doubt makes the next trial due at once after a failed call. Where only some
// parts of the store are away, two calls for such parts in a row would make it
// count as lost, for calls that it would answer too; the trial's answer shows
// that it is not.
func (client *storeClient) doubt() {
	select {
	case client.doubts <- struct{}{}:
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

// timeout is how long a call may take.
func (client *storeClient) timeout() bvclock.Duration {
	bound := max(leastStoreTimeout, bvclock.Duration(storeTimeoutFactor*client.usual))
	return min(bound<<min(client.overruns, 8), storeTimeout)
}

// watch tries the store after a failed call, and a lost one again and again,
// until ctx ends. Trials overlap, so that one which hangs does not hide that the
// store is back.
func (client *storeClient) watch(ctx context.Context, key string) {
	for ctx.Err() == nil {
		select {
		case <-client.doubts:
			go client.try(ctx, key)
		case <-bvclock.After(trialInterval):
			if !client.up() {
				go client.try(ctx, key)
			}
		case <-ctx.Done():
		}
	}
}

// try makes one call for the sake of its answer only.
func (client *storeClient) try(ctx context.Context, key string) {
	err := client.track(ctx, "try", func(ctx context.Context) error {
		_, err := client.own.Read(ctx, key)
		return err
	})
	if err != nil {
		client.log.WithError(err).Debug("store: still lost")
	}
}

// do calls the store, by whatever way there is. A call that may have been
// carried out is not repeated here.
func (client *storeClient) do(ctx context.Context, kind string, call func(ctx context.Context, store bvplatform.Store) error) error {
	err := bvplatform.ErrUnavailable
	if client.up() {
		err = client.track(ctx, kind, func(ctx context.Context) error { return call(ctx, client.own) })
		if client.failing() {
			client.doubt()
		}
		if !errors.Is(err, bvplatform.ErrUnavailable) {
			return err
		}
	}
	for _, address := range client.helpers() {
		err = call(ctx, client.helper(address))
		if !errors.Is(err, bvplatform.ErrUnavailable) {
			return err
		}
	}
	return err
}

func (client *storeClient) helper(address string) *bvplatform.Client {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	found := client.clients[address]
	if found == nil {
		found = &bvplatform.Client{Address: address, Timeout: relayTimeout}
		client.clients[address] = found
	}
	return found
}
