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
	minStoreTimeout    = 60 * bvclock.Millisecond
	storeTimeoutFactor = 6
	// usualWeight is the weight of a new duration in the usual one.
	averageWeight = 0.1
	// trialInterval is the time between two calls that try whether a lost
	// store is back. Callers' own calls must not do so: a silent store holds each for
	// up to storeTimeout, where the caller should be refused at once.
	probeInterval = 100 * bvclock.Millisecond
	// suspectAfter is how long a call may be under way, with no other one
	// answered since it began, before the store counts as lost: a store that
	// is silent gives no error to count.
	hangAfter = 300 * bvclock.Millisecond
	// lostAfter is how many calls in a row must fail.
	maxFailures = 2
)

// storeClient is this host's way to the platform's store: its own, or through
// another host while the store turns this one away. While there is neither,
// calls fail at once, so that callers are not held for what can't be had.
type storeClient struct {
	platform Platform
	clock    bvclock.Clock
	log      logrus.FieldLogger
	relays   func() []string // addresses of hosts that reach the store
	count    func(kind string)

	mutex            sync.Mutex
	failures         int // in a row
	answeredAt       bvclock.Time
	calls            map[int64]bvclock.Time // under way, by number
	lastCall         int64
	clients          map[string]*bvplatform.Client
	unreachable      bool
	unreachableSince bvclock.Time
	averageCall      float64       // duration of an answered call, in milliseconds
	timeouts         int           // calls in a row that ran out of time
	regained         chan struct{} // closed when the store is next regained; nil where nobody waits

	probeRequests chan struct{} // holds one while a trial is due
}

func newStoreClient(platform Platform, clock bvclock.Clock, log logrus.FieldLogger, relays func() []string, count func(kind string)) *storeClient {
	return &storeClient{
		count:         count,
		platform:      platform,
		clock:         clock,
		log:           log,
		relays:        relays,
		calls:         make(map[int64]bvclock.Time),
		probeRequests: make(chan struct{}, 1),
		clients:       make(map[string]*bvplatform.Client),
	}
}

// up reports whether the store answers this host.
func (client *storeClient) isReachable() bool {
	now := client.clock.Now()
	client.mutex.Lock()
	defer client.mutex.Unlock()
	unreachable := client.failures >= maxFailures || client.hasHangingCall(now)
	if unreachable != client.unreachable {
		client.unreachable, client.unreachableSince = unreachable, now
		client.announceReachability()
	}
	return !unreachable
}

// tell logs that the store was lost or regained, with what decided it.
func (client *storeClient) announceReachability() {
	entry := client.log.WithFields(logrus.Fields{"failures": client.failures, "calls": len(client.calls)})
	if client.unreachable {
		entry.Warn("store: lost")
		return
	}
	entry.Info("store: regained")
	if client.regained != nil {
		close(client.regained)
		client.regained = nil
	}
}

// untilRegained returns a context that also ends when the store, lost now or later, is
// regained.
//
// It is for questions that the store holds until something changes: a store that was
// silent never answers those of before.
func (client *storeClient) untilRegained(ctx context.Context) (context.Context, context.CancelFunc) {
	client.mutex.Lock()
	if client.regained == nil {
		client.regained = make(chan struct{})
	}
	regained := client.regained
	client.mutex.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-regained:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

func (client *storeClient) hasHangingCall(now bvclock.Time) bool {
	for _, start := range client.calls {
		if now.Sub(start) > hangAfter && !client.answeredAt.After(start) {
			return true
		}
	}
	return false
}

// Serving reports whether the store can be asked at all.
func (client *storeClient) hasRoute() bool {
	return client.isReachable() || len(client.relays()) > 0
}

// AwayFor returns for how long the store could not be asked, by any way; 0 where it
// can be. It is at least a millisecond from the first look on.
func (client *storeClient) UnreachableFor() bvclock.Duration {
	if client.hasRoute() {
		return 0
	}
	now := client.clock.Now()
	client.mutex.Lock()
	defer client.mutex.Unlock()
	return max(now.Sub(client.unreachableSince), 1)
}

// track makes a call by this host's own way and learns from it. A call that
// fails while others are answered says nothing of the store.
func (client *storeClient) track(ctx context.Context, kind string, call func(ctx context.Context) error) error {
	client.count(kind)
	start := client.clock.Now()
	client.mutex.Lock()
	client.lastCall++
	number := client.lastCall
	client.calls[number] = start
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
		client.failures, client.timeouts = 0, 0
		client.answeredAt = now
		client.averageCall += averageWeight * (float64(now.Sub(start)) - client.averageCall)
	case ctx.Err() != nil:
		// the caller gave up, for reasons of its own
	case !client.answeredAt.After(start):
		client.failures++
		if bounded.Err() != nil {
			client.timeouts++
		}
	}
	return err
}

func (client *storeClient) hasFailures() bool {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	return client.failures > 0
}

// doubt makes the next trial due at once after a failed call. Where only some
// parts of the store are away, two calls for such parts in a row would make it
// count as lost, for calls that it would answer too; the trial's answer shows
// that it is not.
func (client *storeClient) requestProbe() {
	select {
	case client.probeRequests <- struct{}{}:
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
	bound := max(minStoreTimeout, bvclock.Duration(storeTimeoutFactor*client.averageCall))
	return min(bound<<min(client.timeouts, 8), storeTimeout)
}

// watch tries the store after a failed call, and a lost one again and again,
// until ctx ends. Trials overlap, so that one which hangs does not hide that the
// store is back.
func (client *storeClient) runProbes(ctx context.Context, key string) {
	for ctx.Err() == nil {
		select {
		case <-client.probeRequests:
			go client.probe(ctx, key)
		case <-bvclock.After(probeInterval):
			if !client.isReachable() {
				go client.probe(ctx, key)
			}
		case <-ctx.Done():
		}
	}
}

// try makes one call for the sake of its answer only.
func (client *storeClient) probe(ctx context.Context, key string) {
	err := client.track(ctx, "try", func(ctx context.Context) error {
		_, err := client.platform.Read(ctx, key)
		return err
	})
	if err != nil {
		client.log.WithError(err).Debug("store: still lost")
	}
}

// do calls the store, by whatever way there is. A call that may have been
// carried out is not repeated here.
func (client *storeClient) callStore(ctx context.Context, kind string, call func(ctx context.Context, store bvplatform.Store) error) error {
	err := bvplatform.ErrUnavailable
	if client.isReachable() {
		err = client.track(ctx, kind, func(ctx context.Context) error { return call(ctx, client.platform) })
		if client.hasFailures() {
			client.requestProbe()
		}
		if !errors.Is(err, bvplatform.ErrUnavailable) {
			return err
		}
	}
	for _, address := range client.relays() {
		err = call(ctx, client.relayClient(address))
		if !errors.Is(err, bvplatform.ErrUnavailable) {
			return err
		}
	}
	return err
}

func (client *storeClient) relayClient(address string) *bvplatform.Client {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	found := client.clients[address]
	if found == nil {
		found = &bvplatform.Client{Address: address, Timeout: relayTimeout}
		client.clients[address] = found
	}
	return found
}
