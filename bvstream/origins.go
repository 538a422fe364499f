package bvstream

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
)

const (
	// originsPart is the part of the platform's store with the origins.
	originsPart = "stream-origins//"
	// originLifetime is how long an origin may be used after it was stored. It is stored again after
	// half of that.
	originLifetime = 12 * bvclock.Hour
	// originRetention is the age from which a stored origin is removed. It is longer than the
	// lifetime by more than the hosts' clocks differ.
	originRetention = 24 * bvclock.Hour
	// originTimeout bounds the wait for the store.
	originTimeout = 800 * bvclock.Millisecond
	// maxOriginTries is the number of times that a failed call to the store is made, and
	// originRetryPause the pause before it is repeated.
	maxOriginTries   = 3
	originRetryPause = 10 * bvclock.Millisecond
	// originPageRows is the number of rows that are read at once, and maxOriginPages bounds the
	// pages.
	originPageRows = 500
	maxOriginPages = 20
	// maxOriginPuts is the number of rows that one transaction writes.
	maxOriginPuts = 90
	// maxKnownOrigins bounds the origins in memory. Those above it are stored again for each stream.
	maxKnownOrigins = originPageRows * maxOriginPages
)

// errTooManyOrigins means that not all origins were read.
var errTooManyOrigins = errors.New("streams: too many origins are stored")

// HostOrigin is an origin of streams of a host name.
type HostOrigin struct {
	HostName string
	Origin
}

// originRow is a row in the platform's store.
type originRow struct {
	At int64 `json:"at_unix_ms"` // by the clock of the host that stored it
}

// origins knows which origins are stored.
type origins struct {
	parts    Parts
	wallTime func() time.Time

	storing singleflight.Group

	mutex  sync.Mutex
	stored map[HostOrigin]bvclock.Time // until when they may be used
}

func newOrigins(parts Parts) *origins {
	return &origins{parts: parts, wallTime: time.Now, stored: make(map[HostOrigin]bvclock.Time)}
}

// storedFor returns how long an origin may be used without storing it again.
func (origins *origins) storedFor(origin HostOrigin) bvclock.Duration {
	now := origins.parts.Clock.Now()
	origins.mutex.Lock()
	defer origins.mutex.Unlock()
	return max(origins.stored[origin].Sub(now), 0)
}

// isDue reports whether an origin must be stored, now or soon.
func (origins *origins) isDue(origin HostOrigin) bool {
	return origins.storedFor(origin) < originLifetime/2
}

// learn records that an origin may be used for some time.
func (origins *origins) learn(origin HostOrigin, duration bvclock.Duration) {
	if duration <= 0 {
		return
	}
	now := origins.parts.Clock.Now()
	origins.mutex.Lock()
	defer origins.mutex.Unlock()
	if len(origins.stored) >= maxKnownOrigins {
		origins.dropExpired(now)
	}
	if _, found := origins.stored[origin]; found || len(origins.stored) < maxKnownOrigins {
		origins.stored[origin] = max(origins.stored[origin], now.Add(min(duration, originLifetime)))
	}
}

func (origins *origins) dropExpired(now bvclock.Time) {
	for origin, until := range origins.stored {
		if !now.Before(until) {
			delete(origins.stored, origin)
		}
	}
}

// prefixOf returns the key prefix of the origins of a host name.
func prefixOf(host string) string { return originsPart + url.PathEscape(host) + "/" }

func keyOf(origin HostOrigin) string {
	return prefixOf(origin.HostName) + url.PathEscape(origin.Service) + "/" + url.PathEscape(origin.Version)
}

func decodeKey(key string) (HostOrigin, error) {
	parts := strings.Split(strings.TrimPrefix(key, originsPart), "/")
	if len(parts) != 3 {
		return HostOrigin{}, fmt.Errorf("streams: row %s: no host name, service and version", key)
	}
	for i, part := range parts {
		decoded, err := url.PathUnescape(part)
		if err != nil {
			return HostOrigin{}, fmt.Errorf("streams: row %s: %w", key, err)
		}
		parts[i] = decoded
	}
	return HostOrigin{parts[0], Origin{parts[1], parts[2]}}, nil
}

// store makes sure that an origin is stored, with one call for all streams that wait for it.
func (origins *origins) store(origin HostOrigin) error {
	_, err, _ := origins.storing.Do(keyOf(origin), origins.storeFunc(origin))
	return err
}

// startStoring starts to store an origin, unless that is in progress.
func (origins *origins) startStoring(origin HostOrigin) {
	origins.storing.DoChan(keyOf(origin), origins.storeFunc(origin))
}

func (origins *origins) storeFunc(origin HostOrigin) func() (any, error) {
	return func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), originTimeout.Std())
		defer cancel()
		return nil, origins.storeAll(ctx, prefixOf(origin.HostName), []HostOrigin{origin})
	}
}

// storeAll makes sure that origins are stored, whose keys have a common prefix. A write without an
// answer is repeated: it is the same one.
func (origins *origins) storeAll(ctx context.Context, prefix string, wanted []HostOrigin) error {
	var err error
	for range maxOriginTries {
		if err = origins.storeDue(ctx, prefix, wanted); err == nil {
			return nil
		}
		select {
		case <-bvclock.After(originRetryPause):
		case <-ctx.Done():
		}
	}
	origins.parts.Counters.Count("stream_origins", "not stored")
	return fmt.Errorf("streams: service and version can't be stored: %w", err)
}

// storeDue reads the stored origins, and stores those that are missing or old.
func (origins *origins) storeDue(ctx context.Context, prefix string, wanted []HostOrigin) error {
	isStored := func(origin HostOrigin) bool { return !origins.isDue(origin) }
	if _, err := origins.read(ctx, prefix); err != nil {
		return err
	}
	due := slices.DeleteFunc(slices.Clone(wanted), isStored)
	for batch := range slices.Chunk(due, maxOriginPuts) {
		if err := origins.commit(ctx, batch); err != nil {
			return err
		}
	}
	return nil
}

func (origins *origins) commit(ctx context.Context, batch []HostOrigin) error {
	value, _ := json.Marshal(originRow{origins.wallTime().UnixMilli()}) // an integer always encodes
	var transaction bvplatform.Transaction
	for _, origin := range batch {
		transaction.Puts = append(transaction.Puts, bvplatform.Put{Key: keyOf(origin), Value: value})
	}
	sentAt := origins.parts.Clock.Now()
	if _, err := origins.parts.Store.Commit(ctx, transaction); err != nil {
		return err
	}
	for _, origin := range batch {
		origins.parts.Counters.Count("stream_origins", "stored")
		origins.learn(origin, originLifetime-origins.parts.Clock.Now().Sub(sentAt))
	}
	return nil
}

// of returns the origins of a host name. It reads the store, since another host may just have stored
// a further one.
func (origins *origins) of(ctx context.Context, host string) ([]HostOrigin, error) {
	ctx, cancel := context.WithTimeout(ctx, originTimeout.Std())
	defer cancel()
	return origins.read(ctx, prefixOf(host))
}

// read returns the stored origins whose keys have a prefix, and removes those that are no longer in
// use.
func (origins *origins) read(ctx context.Context, prefix string) (found []HostOrigin, err error) {
	after := ""
	for range maxOriginPages {
		rows, err := origins.parts.Store.Scan(ctx, prefix, after, originPageRows)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			origin, isUsed, err := origins.readRow(row)
			if err != nil {
				return nil, err
			}
			if isUsed {
				found = append(found, origin)
			}
		}
		if len(rows) < originPageRows {
			return found, nil
		}
		after = rows[len(rows)-1].Key
	}
	return nil, errTooManyOrigins
}

func (origins *origins) readRow(row bvplatform.Row) (origin HostOrigin, isUsed bool, err error) {
	if origin, err = decodeKey(row.Key); err != nil {
		return origin, false, err
	}
	var value originRow
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return origin, false, fmt.Errorf("streams: row %s: %w", row.Key, err)
	}
	age := bvclock.Duration(origins.wallTime().UnixMilli() - value.At)
	if age > originRetention {
		go origins.remove(row)
		return origin, false, nil
	}
	origins.learn(origin, originLifetime-max(age, 0))
	return origin, true, nil
}

// remove removes a row, unless it has been written again.
func (origins *origins) remove(row bvplatform.Row) {
	ctx, cancel := context.WithTimeout(context.Background(), originTimeout.Std())
	defer cancel()
	_, err := origins.parts.Store.Commit(ctx, bvplatform.Transaction{
		Checks: []bvplatform.Check{{Key: row.Key, Version: row.Version}},
		Puts:   []bvplatform.Put{{Key: row.Key}},
	})
	origins.parts.Log.WithError(err).WithField("row", row.Key).Info("origin of streams removed after a day without use")
}
