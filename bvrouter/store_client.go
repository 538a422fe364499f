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
	// minStoreTimeout and storeTimeoutFactor bound a call by the average duration of calls: a
	// connection on which an answer was lost delivers no further answers. Each consecutive
	// call that times out doubles the bound, up to storeTimeout, to allow for a slow store.
	minStoreTimeout    = 60 * bvclock.Millisecond
	storeTimeoutFactor = 6
	// averageWeight is the weight of a new duration in the moving average.
	averageWeight = 0.1
	// probeInterval is the time between two probes of an unreachable store. Callers'
	// requests must not serve as probes: a silent store would hold each for up to
	// storeTimeout, although the caller should be refused immediately.
	probeInterval = 100 * bvclock.Millisecond
	// hangAfter is how long a call may be in flight, with no call answered since it
	// started, before the store counts as lost: a silent store returns no errors that
	// could be counted.
	hangAfter = 300 * bvclock.Millisecond
	// maxFailures is the number of consecutive failed calls after which the store counts
	// as lost.
	maxFailures = 2
)

// storeClient calls the platform's store, directly or, while the store does not answer this
// host, through another host. If there is no path, calls fail immediately, so that callers
// don't wait for calls that can't succeed.
type storeClient struct {
	platform Platform
	clock    bvclock.Clock
	log      logrus.FieldLogger
	relays   func() []string // returns addresses of hosts that reach the store
	count    func(kind string)

	mutex            sync.Mutex
	failures         int // consecutive failed calls
	answeredAt       bvclock.Time
	calls            map[int64]bvclock.Time // start times of calls in flight, by number
	lastCallNumber   int64
	clients          map[string]*bvplatform.Client
	unreachable      bool
	unreachableSince bvclock.Time
	averageDuration  float64       // moving average of the duration of answered calls, in milliseconds
	timeouts         int           // consecutive calls that timed out
	regained         chan struct{} // closed when the store is next regained; nil if nothing waits for that

	probeRequests chan struct{} // holds one element while a probe is due
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

// isReachable reports whether the store answers this host directly.
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

// announceReachability logs that the store was lost or regained, with the counts that
// decided it. When it is regained, contexts of untilRegained are canceled.
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

// untilRegained returns a context that is also canceled when the store is next regained
// after an outage.
//
// It is for requests that the store holds until something changes: after an outage, the
// store never answers requests from before it.
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

// hasRoute reports whether the store can be reached directly or through another host.
func (client *storeClient) hasRoute() bool {
	return client.isReachable() || len(client.relays()) > 0
}

// UnreachableFor returns how long the store has been unreachable by any path; 0 if it is
// reachable, otherwise at least a millisecond.
func (client *storeClient) UnreachableFor() bvclock.Duration {
	if client.hasRoute() {
		return 0
	}
	now := client.clock.Now()
	client.mutex.Lock()
	defer client.mutex.Unlock()
	return max(now.Sub(client.unreachableSince), 1)
}

// track makes a call through the direct path and updates the state of the store from its
// outcome. A call that fails while others are answered does not count as a failure.
func (client *storeClient) track(ctx context.Context, kind string, call func(ctx context.Context) error) error {
	client.count(kind)
	start := client.clock.Now()
	client.mutex.Lock()
	client.lastCallNumber++
	number := client.lastCallNumber
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
		client.averageDuration += averageWeight * (float64(now.Sub(start)) - client.averageDuration)
	case ctx.Err() != nil:
		// canceled by the caller, so no sign of a failure of the store
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

// requestProbe makes a probe due immediately after a failed call. If only some parts of the
// store are unavailable, two consecutive calls to such parts would make the store count as
// lost, also for calls that it would answer; the probe's answer prevents that.
func (client *storeClient) requestProbe() {
	select {
	case client.probeRequests <- struct{}{}:
	default: // a probe is due already
	}
}

// kindOf names a call by its operation and the table of its first key.
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

// averageAnswerTime returns the moving average of the duration of answered calls.
func (client *storeClient) averageAnswerTime() bvclock.Duration {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	return bvclock.Duration(client.averageDuration)
}

// timeout returns the timeout of the next call.
func (client *storeClient) timeout() bvclock.Duration {
	bound := max(minStoreTimeout, bvclock.Duration(storeTimeoutFactor*client.averageDuration))
	return min(bound<<min(client.timeouts, 8), storeTimeout)
}

// runProbes probes the store after a failed call, and repeatedly while it is lost, until
// ctx is canceled. Probes overlap, so that a hanging one does not delay the detection that
// the store is reachable again.
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

// probe makes a call only to find out whether the store answers.
func (client *storeClient) probe(ctx context.Context, key string) {
	err := client.track(ctx, "try", func(ctx context.Context) error {
		_, err := client.platform.Read(ctx, key)
		return err
	})
	if err != nil {
		client.log.WithError(err).Debug("store: probe failed")
	}
}

// callStore calls the store directly or through other hosts. A call that may have taken
// effect is not repeated.
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
