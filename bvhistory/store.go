// Package bvhistory persists the turns of conversations whose callers name their last
// turn instead of sending the whole history again. A turn is in the platform's store
// before its caller receives the end of its answer, so every host can read it from
// then on, whichever hosts fail.
//
// A row holds one turn and the ids of its ancestors, so the rows of a chain are read
// in parallel and nothing is stored twice. What is too long for one transaction is stored in
// parts, as if they were turns before it. A conversation that lasts longer than half
// of the retention time starts a new chain with a copy of its history, so that no row
// is needed for longer than one and a half times the retention time.
//
// # Usage
//
//	store := bvhistory.NewStore(platform, peers, rowBytes, log)
//	chain, err := store.Chain(ctx, program, parent) // all turns up to the parent
//	body := chain.Prompt(input)
//	...
//	err = store.Add(ctx, chain, bvhistory.FinishedTurn{ID: id, Input: input, Output: output, Retain: retain})
//
// # Cost
//
// A turn costs one write, and no read if its chain is cached on this host or on
// another one that handled turns of the program.
package bvhistory

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvverdict"
)

const (
	// shards is the number of shards of the store that turns are spread over; a shard
	// accepts 200 writes a second.
	shards = 256
	// candidateShards is the number of shards that a turn may be stored in: it is
	// written to the first one that accepts it. With a fifth of the store's shards
	// unavailable, as has happened, a conversation of nine turns is persisted with one
	// candidate in one of eight cases, with two in two of three, and with three in 11
	// of 12.
	candidateShards = 3
	// cacheBytes bounds the cache of turns, in bytes.
	cacheBytes = 6 << 20
	// rowOverhead is the memory that a turn takes besides its texts, in bytes.
	rowOverhead = 200
	// retryPause is the time between two attempts of a write.
	retryPause = 20 * bvclock.Millisecond
	// retryAfter is when callers should retry while the store is unreachable.
	retryAfter = 500 * bvclock.Millisecond
	// expireMargin covers clock skew and rows that are written late, in seconds.
	expireMargin = 30
)

// FinishedTurn is a turn that has run and is to be persisted.
type FinishedTurn struct {
	ID        string
	Input     []byte
	Output    []byte           // the data of each event, each followed by a line feed
	Retain    bvclock.Duration // retention time
	Placement Placement
}

// Peers are the other hosts.
type Peers interface {
	// Chain returns all turns up to the named one if a host that handled turns of the
	// program has them cached, else nil. It waits only for a short time.
	Chain(ctx context.Context, program, turn string) Chain
}

// Store reads and writes turns. Create it with NewStore; it is safe for
// concurrent use.
type Store struct {
	platform bvplatform.Store
	peers    Peers
	rowBytes int
	log      logrus.FieldLogger

	mutex       sync.Mutex
	cache       *simplelru.LRU[string, *Turn]
	cachedBytes int
}

// NewStore returns a Store that writes rows of at most rowBytes each.
func NewStore(durable bvplatform.Store, peers Peers, rowBytes int, log logrus.FieldLogger) *Store {
	store := &Store{platform: durable, peers: peers, rowBytes: rowBytes, log: log}
	const unbounded = 1 << 30 // the bound is in bytes, see cacheTurn
	store.cache, _ = simplelru.NewLRU(unbounded, func(_ string, turn *Turn) { store.cachedBytes -= turn.size() })
	return store
}

// Chain returns all turns up to the named one, or none for an empty name. The error
// is a *bvverdict.Error, with the code UnknownRequest only if the store itself has
// reported that there is no such turn.
//
// The turns of a program arrive at several hosts, and its conversation has a row for
// each turn. A request to a host that has it cached saves these reads. A copy from
// another host is as good as the row, since hosts cache only turns that are in the
// store, and a turn never changes.
func (store *Store) Chain(ctx context.Context, program, parent string) (Chain, error) {
	if parent == "" {
		return nil, nil
	}
	if chain := store.CachedChain(parent); chain != nil {
		return chain, nil
	}
	if chain := store.peers.Chain(ctx, program, parent); chain.isCompleteUpTo(parent) {
		for _, turn := range chain {
			store.cacheTurn(turn)
		}
		return chain, nil
	}
	return store.loadChain(ctx, parent)
}

// CachedChain returns all turns up to the named one if this host has them cached, else
// nil.
func (store *Store) CachedChain(parent string) Chain {
	last := store.cachedTurn(parent)
	if last == nil {
		return nil
	}
	chain := make(Chain, 0, len(last.Ancestors)+1)
	for _, ancestor := range last.Ancestors {
		turn := store.cachedTurn(ancestor)
		if turn == nil {
			return nil
		}
		chain = append(chain, turn)
	}
	return append(chain, last)
}

// loadChain reads the turns of a chain that are not cached from the store.
func (store *Store) loadChain(ctx context.Context, parent string) (Chain, error) {
	last, err := store.loadTurn(ctx, parent)
	if errors.Is(err, bvplatform.ErrNotFound) {
		return nil, bvverdict.Refuse(bvverdict.UnknownRequest, "there is no turn %s", parent)
	}
	if err != nil {
		return nil, unavailableError(err)
	}
	chain := make(Chain, len(last.Ancestors)+1)
	chain[len(last.Ancestors)] = last
	group, ctx := errgroup.WithContext(ctx)
	for i, ancestor := range last.Ancestors {
		if chain[i] = store.cachedTurn(ancestor); chain[i] != nil {
			continue
		}
		group.Go(func() (err error) {
			chain[i], err = store.loadTurn(ctx, ancestor)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, unavailableError(err)
	}
	return chain, nil
}

func unavailableError(cause error) error {
	return bvverdict.Refuse(bvverdict.PlatformUnavailable, "the conversation can't be read").
		WithRetryAfter(retryAfter).WithCause(cause)
}

// Add persists a turn. It returns when the turn is durable, or when ctx ends, in
// which case the turn must not be reported to the caller as complete.
func (store *Store) Add(ctx context.Context, chain Chain, finished FinishedTurn) error {
	turn := newTurn(chain, finished, time.Now().Unix())
	for _, part := range turn.splitInput() {
		if err := store.persist(ctx, part); err != nil {
			return err
		}
	}
	return store.persist(ctx, turn)
}

// persist writes a turn, or a part of one, in a single transaction.
func (store *Store) persist(ctx context.Context, turn *Turn) error {
	for attempt := 0; ; attempt++ {
		_, err := store.platform.Commit(ctx, bvplatform.Transaction{Puts: store.encodeRows(turn, attempt%candidateShards)})
		if err == nil {
			store.cacheTurn(turn)
			if attempt > 0 {
				store.log.WithFields(logrus.Fields{"request": turn.ID, "tries": attempt + 1}).Info("turn kept after all")
			}
			return nil
		}
		if errors.Is(err, bvplatform.ErrRejected) || ctx.Err() != nil {
			return bvverdict.New(bvverdict.Ran, bvverdict.PlatformUnavailable, "the turn can't be kept").WithCause(err)
		}
		// No other turn has the keys of these rows, so a second write of them changes
		// nothing: after a lost answer the write is retried without a check, and the
		// next attempt may go to another shard.
		if attempt == 0 { // logged once a turn: there is an attempt each 20 ms, for seconds
			store.log.WithField("request", turn.ID).WithError(err).Warn("turn not kept yet")
		}
		sleep(ctx, retryPause)
	}
}

func sleep(ctx context.Context, duration bvclock.Duration) {
	select {
	case <-bvclock.After(duration):
	case <-ctx.Done():
	}
}

// newTurn links a turn to its chain, or copies the chain into the turn if its oldest
// turn would otherwise have to be retained for too long.
func newTurn(chain Chain, finished FinishedTurn, now int64) *Turn {
	retain := int64(finished.Retain / bvclock.Second)
	turn := &Turn{ID: finished.ID, ChainStart: now, Expires: now + retain + retain/2 + expireMargin, Input: finished.Input, Output: finished.Output, Placement: finished.Placement}
	if len(chain) == 0 {
		return turn
	}
	last := chain[len(chain)-1]
	if now-last.ChainStart > retain/2 {
		turn.Input = chain.Prompt(finished.Input)
		return turn
	}
	turn.ChainStart = last.ChainStart
	turn.Ancestors = make([]string, 0, len(chain))
	for _, ancestor := range chain {
		turn.Ancestors = append(turn.Ancestors, ancestor.ID)
	}
	return turn
}

// Sweep removes expired turns from one shard, chosen at random.
func (store *Store) Sweep(ctx context.Context) (int, error) {
	now := uint64(time.Now().Unix())
	prefix := fmt.Sprintf("history/%02x/", rand.IntN(shards))
	return bvplatform.Sweep(ctx, store.platform, prefix, func(row bvplatform.Row) bool {
		return len(row.Value) >= headerBytes && binary.BigEndian.Uint64(row.Value[1:]) < now
	})
}

func (store *Store) cachedTurn(id string) *Turn {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	found, _ := store.cache.Get(id)
	return found
}

// cacheTurn adds a turn to the cache and evicts the least recently used turns.
func (store *Store) cacheTurn(turn *Turn) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.cache.Contains(turn.ID) {
		return
	}
	store.cache.Add(turn.ID, turn)
	store.cachedBytes += turn.size()
	for store.cachedBytes > cacheBytes {
		store.cache.RemoveOldest()
	}
}
