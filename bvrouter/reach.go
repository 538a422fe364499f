package bvrouter

import (
	"context"
	"errors"
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

	mutex    sync.Mutex
	failures int // in a row
	answered bvclock.Time
	calls    map[int64]bvclock.Time // under way, by number
	number   int64
	clients  map[string]*bvplatform.Client
	lost     bool
}

func newReach(own Platform, clock bvclock.Clock, log logrus.FieldLogger, helpers func() []string) *reach {
	return &reach{
		own:     own,
		clock:   clock,
		log:     log,
		helpers: helpers,
		calls:   make(map[int64]bvclock.Time),
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
		reach.lost = lost
		reach.log.WithFields(logrus.Fields{"failures": reach.failures, "calls": len(reach.calls)}).
			Warn(map[bool]string{true: "store: lost", false: "store: regained"}[lost])
	}
	return !lost
}

func (reach *reach) hanging(now bvclock.Time) bool {
	for _, begun := range reach.calls {
		if now.Sub(begun) > suspectAfter && !reach.answered.After(begun) {
			return true
		}
	}
	return false
}

// serving reports whether the store can be asked at all.
func (reach *reach) serving() bool {
	return reach.up() || len(reach.helpers()) > 0
}

// track notes a call of this host's own, and calls it.
func (reach *reach) track(call func() error) error {
	reach.mutex.Lock()
	reach.number++
	number := reach.number
	reach.calls[number] = reach.clock.Now()
	reach.mutex.Unlock()
	err := call()
	reach.mutex.Lock()
	defer reach.mutex.Unlock()
	delete(reach.calls, number)
	var conflict *bvplatform.ConflictError
	if err == nil || errors.As(err, &conflict) || errors.Is(err, bvplatform.ErrNotFound) {
		reach.failures = 0
		reach.answered = reach.clock.Now()
		return err
	}
	if !errors.Is(err, context.Canceled) {
		reach.failures++
	}
	return err
}

// do calls the store, by whatever way there is. A call that may have been
// carried out is not repeated here.
func (reach *reach) do(ctx context.Context, call func(ctx context.Context, store bvplatform.Store) error) error {
	err := bvplatform.ErrUnavailable
	if reach.up() {
		err = reach.track(func() error { return call(ctx, reach.own) })
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

// Commit implements bvplatform.Store.
func (reach *reach) Commit(ctx context.Context, transaction bvplatform.Transaction) (version int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, storePatience.Std())
	defer cancel()
	err = reach.do(ctx, func(ctx context.Context, store bvplatform.Store) (err error) {
		version, err = store.Commit(ctx, transaction)
		return err
	})
	return version, err
}

// Read implements bvplatform.Store.
func (reach *reach) Read(ctx context.Context, keys ...string) (rows []bvplatform.Row, err error) {
	ctx, cancel := context.WithTimeout(ctx, storePatience.Std())
	defer cancel()
	err = reach.do(ctx, func(ctx context.Context, store bvplatform.Store) (err error) {
		rows, err = store.Read(ctx, keys...)
		return err
	})
	return rows, err
}

// Scan implements bvplatform.Store.
func (reach *reach) Scan(ctx context.Context, prefix, after string, limit int) (rows []bvplatform.Row, err error) {
	ctx, cancel := context.WithTimeout(ctx, storePatience.Std())
	defer cancel()
	err = reach.do(ctx, func(ctx context.Context, store bvplatform.Store) (err error) {
		rows, err = store.Scan(ctx, prefix, after, limit)
		return err
	})
	return rows, err
}

// Endpoints returns the list of endpoints. It also tries the own way while the
// store counts as lost, which shows when it is back.
func (reach *reach) Endpoints(ctx context.Context) (endpoints []bvplatform.Endpoint, err error) {
	ctx, cancel := context.WithTimeout(ctx, storePatience.Std())
	defer cancel()
	err = reach.track(func() (err error) {
		endpoints, err = reach.own.Endpoints(ctx)
		return err
	})
	return endpoints, err
}

// HelperEndpoints returns the list that another host goes by.
func (reach *reach) helperEndpoints(ctx context.Context) ([]bvplatform.Endpoint, error) {
	err := error(bvplatform.ErrUnavailable)
	for _, address := range reach.helpers() {
		var endpoints []bvplatform.Endpoint
		if endpoints, err = reach.client(address).Endpoints(ctx); err == nil {
			return endpoints, nil
		}
	}
	return nil, err
}

// direct is this host's own way, for other hosts to use.
func (reach *reach) direct() bvplatform.Store { return directStore{reach} }

// directStore never goes through another host: two hosts would send a call
// back and forth.
type directStore struct{ reach *reach }

func (store directStore) call(call func() error) error {
	if !store.reach.up() {
		return bvplatform.ErrUnavailable
	}
	return store.reach.track(call)
}

// Commit implements bvplatform.Store.
func (store directStore) Commit(ctx context.Context, transaction bvplatform.Transaction) (version int64, err error) {
	err = store.call(func() (err error) {
		version, err = store.reach.own.Commit(ctx, transaction)
		return err
	})
	return version, err
}

// Read implements bvplatform.Store.
func (store directStore) Read(ctx context.Context, keys ...string) (rows []bvplatform.Row, err error) {
	err = store.call(func() (err error) {
		rows, err = store.reach.own.Read(ctx, keys...)
		return err
	})
	return rows, err
}

// Scan implements bvplatform.Store.
func (store directStore) Scan(ctx context.Context, prefix, after string, limit int) (rows []bvplatform.Row, err error) {
	err = store.call(func() (err error) {
		rows, err = store.reach.own.Scan(ctx, prefix, after, limit)
		return err
	})
	return rows, err
}
