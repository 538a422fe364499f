package bvrouter

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvroute"
)

// bubbleClock is the clock of a test in virtual time.
type bubbleClock struct{}

func (bubbleClock) Now() bvclock.Time { return bvclock.Time(time.Now().UnixMilli()) }

const (
	// answerTime is how long the fake store takes to answer.
	answerTime = 5 * bvclock.Millisecond
	// connectTimeout is how long a request waits for a connection to a silent store.
	connectTimeout = 500 * bvclock.Millisecond
)

// fakeStore is a platform with a list of endpoints in virtual time. While it is silent, it
// answers nothing, and it never answers requests from before or during that time.
type fakeStore struct {
	Platform // no other method is called

	mutex     sync.Mutex
	version   int64 // of the desired state
	rows      map[string]bvplatform.Endpoint
	changed   map[string]int64 // change sequence number of each name
	sequence  int64
	silent    bool
	hangsNext bool             // the next request for changes gets no answer
	readTime  bvclock.Duration // of a full list
	fullReads int              // reads of the full list
	partHangs bool             // the next read of a part of the list gets no answer
	notify    chan struct{}
}

func newFakeStore(names ...string) *fakeStore {
	store := &fakeStore{rows: make(map[string]bvplatform.Endpoint), changed: make(map[string]int64), notify: make(chan struct{})}
	for _, endpoint := range endpointsNamed(names...) {
		endpoint.Serves = "apps"
		store.put(endpoint)
	}
	return store
}

// change runs a function that changes the store, and wakes the requests that it holds.
func (store *fakeStore) change(apply func()) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	apply()
	close(store.notify)
	store.notify = make(chan struct{})
}

func (store *fakeStore) put(endpoint bvplatform.Endpoint) {
	store.change(func() {
		store.sequence++
		store.rows[endpoint.Name], store.changed[endpoint.Name] = endpoint, store.sequence
	})
}

func (store *fakeStore) remove(name string) {
	store.change(func() {
		store.sequence++
		delete(store.rows, name)
		store.changed[name] = store.sequence
	})
}

func (store *fakeStore) setSilent(silent bool) { store.change(func() { store.silent = silent }) }

func (store *fakeStore) hangNext() { store.change(func() { store.hangsNext = true }) }

// fullReadCount returns how often the full list was read.
func (store *fakeStore) fullReadCount() int {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.fullReads
}

// hangs reports whether the next request for changes gets no answer.
func (store *fakeStore) hangs() bool {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.hangsNext
}

// state returns whether the store answers, and a channel that is closed at its next change.
func (store *fakeStore) state() (silent bool, notify chan struct{}) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.silent, store.notify
}

func (store *fakeStore) takeHang() bool {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	hangs := store.hangsNext
	store.hangsNext = false
	return hangs
}

// since returns the changes after a sequence number, or the full list for number 0.
func (store *fakeStore) since(after int64) bvplatform.EndpointChanges {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	changes := bvplatform.EndpointChanges{Next: store.sequence, Whole: after == 0}
	for _, name := range slices.Sorted(maps.Keys(store.changed)) {
		endpoint, listed := store.rows[name]
		switch {
		case listed && store.changed[name] > after:
			changes.Listed = append(changes.Listed, endpoint)
		case !listed && !changes.Whole && store.changed[name] > after:
			changes.Gone = append(changes.Gone, name)
		}
	}
	return changes
}

// allNames returns the names of all endpoints that were ever listed.
func (store *fakeStore) allNames() []string {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return slices.Collect(maps.Keys(store.changed))
}

// listed returns the listed endpoints, sorted by name.
func (store *fakeStore) listed() []bvplatform.Endpoint {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	var listed []bvplatform.Endpoint
	for _, name := range slices.Sorted(maps.Keys(store.rows)) {
		listed = append(listed, store.rows[name])
	}
	return listed
}

// AwaitEndpoints implements Platform.
func (store *fakeStore) AwaitEndpoints(ctx context.Context, after int64, wait, grace bvclock.Duration) (bvplatform.EndpointChanges, error) {
	if after == 0 {
		store.change(func() { store.fullReads++ })
		answer := store.since(0)
		pause(ctx, store.readTime)
		return answer, ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, (wait + grace).Std())
	defer cancel()
	if silent, _ := store.state(); silent {
		pause(ctx, connectTimeout)
		return bvplatform.EndpointChanges{}, bvplatform.ErrUnavailable
	}
	if store.takeHang() {
		<-ctx.Done()
	}
	pause(ctx, answerTime)
	end := bvclock.After(wait)
	for {
		silent, notify := store.state()
		if silent {
			<-ctx.Done()
		}
		if ctx.Err() != nil {
			return bvplatform.EndpointChanges{}, bvplatform.NoAnswerError(true, ctx.Err())
		}
		if changes := store.since(after); !changes.IsEmpty() {
			return changes, nil
		}
		select {
		case <-notify:
		case <-ctx.Done():
		case <-end:
			return store.since(after), nil
		}
	}
}

// FirstEndpoints implements Platform.
func (store *fakeStore) FirstEndpoints(ctx context.Context, limit int) (bvplatform.EndpointChanges, error) {
	hangs := false
	store.change(func() { hangs, store.partHangs = store.partHangs, false })
	if hangs {
		<-ctx.Done()
		return bvplatform.EndpointChanges{}, bvplatform.NoAnswerError(true, ctx.Err())
	}
	pause(ctx, answerTime)
	answer := store.since(0)
	answer.Whole = len(answer.Listed) <= limit
	answer.Listed = answer.Listed[:min(len(answer.Listed), limit)]
	return answer, ctx.Err()
}

// Read implements bvplatform.Store.
func (store *fakeStore) Read(ctx context.Context, keys ...string) ([]bvplatform.Row, error) {
	if silent, _ := store.state(); silent {
		<-ctx.Done()
	}
	pause(ctx, answerTime)
	if ctx.Err() != nil {
		return nil, bvplatform.NoAnswerError(true, ctx.Err())
	}
	return make([]bvplatform.Row, len(keys)), nil
}

// setVersion writes a version of the desired state.
func (store *fakeStore) setVersion(version int64) { store.change(func() { store.version = version }) }

func (store *fakeStore) table() (*bvroute.Table, int64) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	table, _ := bvroute.NewTable(bvroute.Rows{Version: store.version}) // a table without rows is valid
	return table, store.version
}

// AwaitRoutes implements Platform.
func (store *fakeStore) AwaitRoutes(ctx context.Context, after int64, wait, grace bvclock.Duration) (*bvroute.Table, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, (wait + grace).Std())
	defer cancel()
	if store.takeHang() {
		<-ctx.Done()
	}
	pause(ctx, answerTime)
	for end := bvclock.After(wait); ; {
		_, notify := store.state()
		if ctx.Err() != nil {
			return nil, after, bvplatform.NoAnswerError(true, ctx.Err())
		}
		if table, version := store.table(); version > after {
			return table, version, nil
		}
		select {
		case <-notify:
		case <-ctx.Done():
		case <-end:
			return nil, after, nil
		}
	}
}
