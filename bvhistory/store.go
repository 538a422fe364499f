// Package bvhistory keeps what was said in conversations whose callers name
// their last turn instead of sending everything again. A turn is in the
// platform's store before its caller sees the end of its answer, so any host
// finds it from then on, whatever fails.
//
// A row holds one turn and the ids of those before it, so that a chain is read
// side by side and nothing is stored twice. A conversation that goes on for
// longer than half of the time for which turns are kept starts a new chain
// with a copy of what was said, so that a row is never needed for longer than
// one and a half times that.
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
// A turn costs one write, and no read where its chain is at hand, on this host or
// on another one that had turns of the program.
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
	// shards is the number of parts that turns are spread over; a part takes
	// 200 writes a second.
	shards = 256
	// places is in how many parts a turn may stand: it is written to the first
	// that takes it. Where a fifth of the store's parts are away, as was seen, a
	// conversation of nine turns is kept with one part in one case of eight, with
	// two in two of three, and with three in 11 of 12.
	places = 3
	// cacheBytes is the most that is kept at hand, in bytes.
	cacheBytes = 6 << 20
	// rowOverhead is what a turn costs in memory beside its texts.
	rowOverhead = 200
	// retryPause is the time between two tries of a write.
	retryPause = 20 * bvclock.Millisecond
	// comeBack is when to try again while the store can't be reached.
	comeBack = 500 * bvclock.Millisecond
	// expireMargin covers clocks that differ and rows written late.
	expireMargin = 30
)

// FinishedTurn is a turn that has ended.
type FinishedTurn struct {
	ID        string
	Input     []byte
	Output    []byte           // the data of each event, each with a line feed behind it
	Retain    bvclock.Duration // how long it is kept
	Placement Placement
}

// Peers are the other hosts.
type Peers interface {
	// Chain returns all turns up to the named one if a host that had turns of
	// the program has them at hand, else nil. It waits a short time only.
	Chain(ctx context.Context, program, turn string) Chain
}

// Store reads and writes turns. Make one with NewStore; it is safe for
// concurrent use.
type Store struct {
	durable  bvplatform.Store
	peers    Peers
	rowBytes int
	log      logrus.FieldLogger

	mutex sync.Mutex
	cache *simplelru.LRU[string, *Turn]
	bytes int
}

// NewStore returns a Store whose rows hold at most rowBytes each.
func NewStore(durable bvplatform.Store, peers Peers, rowBytes int, log logrus.FieldLogger) *Store {
	store := &Store{durable: durable, peers: peers, rowBytes: rowBytes, log: log}
	const unbounded = 1 << 30 // the bound is in bytes, see remember
	store.cache, _ = simplelru.NewLRU(unbounded, func(_ string, turn *Turn) { store.bytes -= turn.size() })
	return store
}

// Chain returns all turns up to the one that is named, or none for an empty
// name. The error is a *bvverdict.Error: UnknownRequest only where the store
// itself says that there is no such turn.
//
// A program's turns come through several hosts, and its conversation has a row
// for each turn. Asking a host that has it at hand saves these reads. What
// another host has is as good as the row, since hosts hold only turns that are in
// the store, and a turn never changes.
func (store *Store) Chain(ctx context.Context, program, parent string) (Chain, error) {
	if parent == "" {
		return nil, nil
	}
	if chain := store.CachedChain(parent); chain != nil {
		return chain, nil
	}
	if chain := store.peers.Chain(ctx, program, parent); chain.endsWith(parent) {
		for _, turn := range chain {
			store.remember(turn)
		}
		return chain, nil
	}
	return store.load(ctx, parent)
}

// CachedChain returns all turns up to the one that is named if they are at hand, else
// nil.
func (store *Store) CachedChain(parent string) Chain {
	last := store.cached(parent)
	if last == nil {
		return nil
	}
	chain := make(Chain, 0, len(last.Ancestors)+1)
	for _, ancestor := range last.Ancestors {
		turn := store.cached(ancestor)
		if turn == nil {
			return nil
		}
		chain = append(chain, turn)
	}
	return append(chain, last)
}

// load reads from the store what is not at hand.
func (store *Store) load(ctx context.Context, parent string) (Chain, error) {
	last, err := store.turn(ctx, parent)
	if errors.Is(err, bvplatform.ErrNotFound) {
		return nil, bvverdict.Refuse(bvverdict.UnknownRequest, "there is no turn %s", parent)
	}
	if err != nil {
		return nil, unavailable(err)
	}
	chain := make(Chain, len(last.Ancestors)+1)
	chain[len(last.Ancestors)] = last
	group, ctx := errgroup.WithContext(ctx)
	for i, ancestor := range last.Ancestors {
		if chain[i] = store.cached(ancestor); chain[i] != nil {
			continue
		}
		group.Go(func() (err error) {
			chain[i], err = store.turn(ctx, ancestor)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, unavailable(err)
	}
	return chain, nil
}

func unavailable(cause error) error {
	return bvverdict.Refuse(bvverdict.PlatformUnavailable, "the conversation can't be read").
		WithRetryAfter(comeBack).WithCause(cause)
}

// Add keeps a turn. It returns when the turn is durable, or when ctx ends, in
// which case the caller must not be told that its turn is complete.
func (store *Store) Add(ctx context.Context, chain Chain, said FinishedTurn) error {
	now := time.Now().Unix()
	turn := newTurn(chain, said, now)
	for try := 0; ; try++ {
		_, err := store.durable.Commit(ctx, bvplatform.Transaction{Puts: store.rows(turn, try%places)})
		if err == nil {
			store.remember(turn)
			if try > 0 {
				store.log.WithFields(logrus.Fields{"request": said.ID, "tries": try + 1}).Info("turn kept after all")
			}
			return nil
		}
		if errors.Is(err, bvplatform.ErrRejected) || ctx.Err() != nil {
			return bvverdict.New(bvverdict.Ran, bvverdict.PlatformUnavailable, "the turn can't be kept").WithCause(err)
		}
		// The same rows under a name that nobody else uses: writing them
		// twice changes nothing, so an answer that was lost needs no look,
		// and the next try may go to another part.
		if try == 0 { // once a turn: there is a try each 20 ms, for seconds
			store.log.WithField("request", said.ID).WithError(err).Warn("turn not kept yet")
		}
		wait(ctx, retryPause)
	}
}

func wait(ctx context.Context, duration bvclock.Duration) {
	select {
	case <-bvclock.After(duration):
	case <-ctx.Done():
	}
}

// newTurn links a turn to its chain, or copies the chain where its oldest turn
// would have to be kept for too long.
func newTurn(chain Chain, said FinishedTurn, now int64) *Turn {
	retain := int64(said.Retain / bvclock.Second)
	turn := &Turn{ID: said.ID, ChainStart: now, Expires: now + retain + retain/2 + expireMargin, Input: said.Input, Output: said.Output, Placement: said.Placement}
	if len(chain) == 0 {
		return turn
	}
	last := chain[len(chain)-1]
	if now-last.ChainStart > retain/2 {
		turn.Input = chain.Prompt(said.Input)
		return turn
	}
	turn.ChainStart = last.ChainStart
	turn.Ancestors = make([]string, 0, len(chain))
	for _, ancestor := range chain {
		turn.Ancestors = append(turn.Ancestors, ancestor.ID)
	}
	return turn
}

// Sweep removes expired turns, in a part that is drawn at random.
func (store *Store) Sweep(ctx context.Context) (int, error) {
	now := uint64(time.Now().Unix())
	prefix := fmt.Sprintf("history/%02x/", rand.IntN(shards))
	return bvplatform.Sweep(ctx, store.durable, prefix, func(row bvplatform.Row) bool {
		return len(row.Value) >= headBytes && binary.BigEndian.Uint64(row.Value[1:]) < now
	})
}

func (store *Store) cached(id string) *Turn {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	found, _ := store.cache.Get(id)
	return found
}

// remember keeps a turn at hand; those not used for longest yield.
func (store *Store) remember(turn *Turn) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.cache.Contains(turn.ID) {
		return
	}
	store.cache.Add(turn.ID, turn)
	store.bytes += turn.size()
	for store.bytes > cacheBytes {
		store.cache.RemoveOldest()
	}
}
