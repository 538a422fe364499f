package bvrouter

import (
	"context"
	"errors"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
)

// Commit implements bvplatform.Store.
func (client *storeClient) Commit(ctx context.Context, transaction bvplatform.Transaction) (version int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout.Std())
	defer cancel()
	err = client.callStore(ctx, kindOf("commit", putKeys(transaction)...), func(ctx context.Context, store bvplatform.Store) (err error) {
		version, err = store.Commit(ctx, transaction)
		return err
	})
	return version, err
}

// Read implements bvplatform.Store.
func (client *storeClient) Read(ctx context.Context, keys ...string) (rows []bvplatform.Row, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout.Std())
	defer cancel()
	err = client.callStore(ctx, kindOf("read", keys...), func(ctx context.Context, store bvplatform.Store) (err error) {
		rows, err = store.Read(ctx, keys...)
		return err
	})
	return rows, err
}

// Scan implements bvplatform.Store.
func (client *storeClient) Scan(ctx context.Context, prefix, after string, limit int) (rows []bvplatform.Row, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout.Std())
	defer cancel()
	err = client.callStore(ctx, kindOf("scan", prefix), func(ctx context.Context, store bvplatform.Store) (err error) {
		rows, err = store.Scan(ctx, prefix, after, limit)
		return err
	})
	return rows, err
}

// AwaitEndpoints waits for changes on the list of endpoints, by this host's own
// way only. A failure makes the store be tried at once, since a host without
// calls would learn late that it is lost. The error is errRegained where the question
// was given up because the store is back.
func (client *storeClient) AwaitEndpoints(ctx context.Context, after int64, wait bvclock.Duration) (bvplatform.EndpointChanges, error) {
	client.count("await endpoints")
	queryCtx, release := client.untilRegained(ctx)
	defer release()
	changes, err := client.platform.AwaitEndpoints(queryCtx, after, wait)
	if changes.Next != 0 {
		return changes, err
	}
	if queryCtx.Err() != nil && ctx.Err() == nil {
		return changes, errRegained
	}
	client.requestProbe()
	return changes, err
}

// errRegained means that a question was given up because the store is back: it never
// answers those of before.
var errRegained = errors.New("router: the store was regained")

// FirstEndpoints returns the first entries of the list of endpoints, by this host's own
// way only.
func (client *storeClient) FirstEndpoints(ctx context.Context, limit int) (changes bvplatform.EndpointChanges, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout.Std())
	defer cancel()
	var entryErr error
	err = client.track(ctx, "some endpoints", func(ctx context.Context) (err error) {
		changes, err = client.platform.FirstEndpoints(ctx, limit)
		if changes.Next != 0 {
			entryErr, err = err, nil // the store has answered
		}
		return err
	})
	return changes, errors.Join(err, entryErr)
}

// direct is this host's own way, for other hosts to use.
func (client *storeClient) direct() bvplatform.Store { return directStore{client} }

// directStore never goes through another host: two hosts would send a call
// back and forth.
type directStore struct{ client *storeClient }

func (store directStore) call(ctx context.Context, kind string, call func(ctx context.Context) error) error {
	if !store.client.isReachable() {
		return bvplatform.ErrUnavailable
	}
	return store.client.track(ctx, kind, call)
}

// Commit implements bvplatform.Store.
func (store directStore) Commit(ctx context.Context, transaction bvplatform.Transaction) (version int64, err error) {
	err = store.call(ctx, kindOf("commit", putKeys(transaction)...), func(ctx context.Context) (err error) {
		version, err = store.client.platform.Commit(ctx, transaction)
		return err
	})
	return version, err
}

// Read implements bvplatform.Store.
func (store directStore) Read(ctx context.Context, keys ...string) (rows []bvplatform.Row, err error) {
	err = store.call(ctx, kindOf("read", keys...), func(ctx context.Context) (err error) {
		rows, err = store.client.platform.Read(ctx, keys...)
		return err
	})
	return rows, err
}

// Scan implements bvplatform.Store.
func (store directStore) Scan(ctx context.Context, prefix, after string, limit int) (rows []bvplatform.Row, err error) {
	err = store.call(ctx, kindOf("scan", prefix), func(ctx context.Context) (err error) {
		rows, err = store.client.platform.Scan(ctx, prefix, after, limit)
		return err
	})
	return rows, err
}
