package bvrouter

import (
	"context"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
)

// Commit implements bvplatform.Store.
func (reach *reach) Commit(ctx context.Context, transaction bvplatform.Transaction) (version int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, storePatience.Std())
	defer cancel()
	err = reach.do(ctx, kindOf("commit", putKeys(transaction)...), func(ctx context.Context, store bvplatform.Store) (err error) {
		version, err = store.Commit(ctx, transaction)
		return err
	})
	return version, err
}

// Read implements bvplatform.Store.
func (reach *reach) Read(ctx context.Context, keys ...string) (rows []bvplatform.Row, err error) {
	ctx, cancel := context.WithTimeout(ctx, storePatience.Std())
	defer cancel()
	err = reach.do(ctx, kindOf("read", keys...), func(ctx context.Context, store bvplatform.Store) (err error) {
		rows, err = store.Read(ctx, keys...)
		return err
	})
	return rows, err
}

// Scan implements bvplatform.Store.
func (reach *reach) Scan(ctx context.Context, prefix, after string, limit int) (rows []bvplatform.Row, err error) {
	ctx, cancel := context.WithTimeout(ctx, storePatience.Std())
	defer cancel()
	err = reach.do(ctx, kindOf("scan", prefix), func(ctx context.Context, store bvplatform.Store) (err error) {
		rows, err = store.Scan(ctx, prefix, after, limit)
		return err
	})
	return rows, err
}

// AwaitEndpoints waits for changes on the list of endpoints, by this host's own
// way only. A failure makes the store be tried at once, since a host without
// calls would learn late that it is lost.
func (reach *reach) AwaitEndpoints(ctx context.Context, after int64, wait bvclock.Duration) (bvplatform.EndpointChanges, error) {
	reach.count("await endpoints")
	ctx, cancel := context.WithTimeout(ctx, (wait + storePatience).Std())
	defer cancel()
	changes, err := reach.own.AwaitEndpoints(ctx, after, wait)
	if changes.Next == 0 {
		reach.doubt()
	}
	return changes, err
}

// helperEndpoints returns the list that another host goes by.
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

func (store directStore) call(ctx context.Context, kind string, call func(ctx context.Context) error) error {
	if !store.reach.up() {
		return bvplatform.ErrUnavailable
	}
	return store.reach.track(ctx, kind, call)
}

// Commit implements bvplatform.Store.
func (store directStore) Commit(ctx context.Context, transaction bvplatform.Transaction) (version int64, err error) {
	err = store.call(ctx, kindOf("commit", putKeys(transaction)...), func(ctx context.Context) (err error) {
		version, err = store.reach.own.Commit(ctx, transaction)
		return err
	})
	return version, err
}

// Read implements bvplatform.Store.
func (store directStore) Read(ctx context.Context, keys ...string) (rows []bvplatform.Row, err error) {
	err = store.call(ctx, kindOf("read", keys...), func(ctx context.Context) (err error) {
		rows, err = store.reach.own.Read(ctx, keys...)
		return err
	})
	return rows, err
}

// Scan implements bvplatform.Store.
func (store directStore) Scan(ctx context.Context, prefix, after string, limit int) (rows []bvplatform.Row, err error) {
	err = store.call(ctx, kindOf("scan", prefix), func(ctx context.Context) (err error) {
		rows, err = store.reach.own.Scan(ctx, prefix, after, limit)
		return err
	})
	return rows, err
}
