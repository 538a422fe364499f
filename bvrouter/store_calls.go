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

// AwaitEndpoints waits for changes of the list of endpoints, through this host's direct path
// only. A failure triggers an immediate probe, since a host without other calls would detect
// an unreachable store late. The error is errRegained if the request was canceled because
// the store is reachable again.
func (client *storeClient) AwaitEndpoints(ctx context.Context, after int64, wait, grace bvclock.Duration) (bvplatform.EndpointChanges, error) {
	client.count("await endpoints")
	queryCtx, release := client.untilRegained(ctx)
	defer release()
	changes, err := client.platform.AwaitEndpoints(queryCtx, after, wait, grace)
	if changes.Next != 0 {
		return changes, err
	}
	if queryCtx.Err() != nil && ctx.Err() == nil {
		return changes, errRegained
	}
	client.requestProbe()
	return changes, err
}

// errRegained means that a request was canceled because the store is reachable again: it
// never answers requests from before an outage.
var errRegained = errors.New("router: the store was regained")

// FirstEndpoints returns the first entries of the list of endpoints, through this host's
// direct path only.
func (client *storeClient) FirstEndpoints(ctx context.Context, limit int) (changes bvplatform.EndpointChanges, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout.Std())
	defer cancel()
	var entryErr error
	err = client.track(ctx, "some endpoints", func(ctx context.Context) (err error) {
		changes, err = client.platform.FirstEndpoints(ctx, limit)
		if changes.Next != 0 {
			entryErr, err = err, nil // the store has answered; only some entries can't be read
		}
		return err
	})
	return changes, errors.Join(err, entryErr)
}

// direct returns this host's direct path to the store, for use by other hosts.
func (client *storeClient) direct() bvplatform.Store { return directStore{client} }

// directStore never uses a relay: otherwise two hosts could send a call back and forth.
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
