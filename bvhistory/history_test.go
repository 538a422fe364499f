package bvhistory

import (
	"bytes"
	"context"
	"encoding/base64"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvverdict"
)

// faultyStore loses the answers of the first commits, or fails all reads.
type faultyStore struct {
	bvplatform.Memory
	loseCommits int
	down        bool
	limit       int // of the bytes of a transaction, in base64; 0: none
}

func (store *faultyStore) Commit(ctx context.Context, transaction bvplatform.Transaction) (int64, error) {
	size := 0
	for _, put := range transaction.Puts {
		size += base64.StdEncoding.EncodedLen(len(put.Value))
	}
	if store.limit > 0 && size > store.limit {
		return 0, bvplatform.ErrRejected
	}
	version, err := store.Memory.Commit(ctx, transaction)
	if store.loseCommits > 0 {
		store.loseCommits--
		return 0, bvplatform.ErrUnknown
	}
	return version, err
}

func (store *faultyStore) Read(ctx context.Context, keys ...string) ([]bvplatform.Row, error) {
	if store.down {
		return nil, bvplatform.ErrUnavailable
	}
	return store.Memory.Read(ctx, keys...)
}

// noPeers implements Peers for hosts that have nothing cached.
type noPeers struct{}

func (noPeers) Chain(context.Context, string, string) Chain { return nil }

// storePeers implements Peers with the cached turns of a store, in their encoded form.
type storePeers struct{ store *Store }

func (peers storePeers) Chain(_ context.Context, _, turn string) Chain {
	chain, err := DecodeChain(peers.store.CachedChain(turn).Encode())
	if err != nil {
		return nil
	}
	return chain
}

// Guards against a conversation that stops while the store is unavailable.
func TestConversationIsTakenFromAnotherHost(t *testing.T) {
	shared := &faultyStore{}
	first := newTestStore(shared)
	addTurn(t, first, "", "t1", "a", "b\n")
	addTurn(t, first, "t1", "t2", "c", "d\n")
	shared.down = true
	second := newTestStore(shared)
	second.peers = storePeers{first}
	chain, err := second.Chain(t.Context(), "p", "t2")
	require.NoError(t, err)
	require.Equal(t, "ab\ncd\n", string(chain.Prompt(nil)))
	second.peers = noPeers{}
	_, err = second.Chain(t.Context(), "p", "t2")
	require.NoError(t, err, "it is cached from then on")
}

// Guards against an engine that receives an incomplete conversation, or another one.
func TestIncompleteConversationIsNotUsed(t *testing.T) {
	turns := Chain{{ID: "t1"}, {ID: "t2", Ancestors: []string{"t1"}}, {ID: "t3", Ancestors: []string{"t1", "t2"}}}
	require.True(t, turns.isCompleteUpTo("t3"))
	require.False(t, turns.isCompleteUpTo("t2"))
	require.False(t, turns[1:].isCompleteUpTo("t3"))
	require.False(t, Chain{turns[0], turns[2]}.isCompleteUpTo("t3"))
	require.False(t, Chain{}.isCompleteUpTo("t3"))
	_, err := DecodeChain(turns.Encode()[:8])
	require.Error(t, err)
}

func newTestStore(store bvplatform.Store) *Store {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	return NewStore(store, noPeers{}, 4096, log)
}

func addTurn(t *testing.T, store *Store, parent, id, input, output string) {
	t.Helper()
	chain, err := store.Chain(t.Context(), "p", parent)
	require.NoError(t, err)
	finished := FinishedTurn{ID: id, Input: []byte(input), Output: []byte(output), Retain: bvclock.Minute}
	require.NoError(t, store.Add(t.Context(), chain, finished))
}

func TestPromptIsTheHistoryAndTheNewInput(t *testing.T) {
	store := newTestStore(&faultyStore{})
	addTurn(t, store, "", "t1", "hello ", "one\ntwo\n")
	addTurn(t, store, "t1", "t2", "again ", "three\n")
	chain, err := store.Chain(t.Context(), "p", "t2")
	require.NoError(t, err)
	require.Equal(t, "hello one\ntwo\nagain three\nmore", string(chain.Prompt([]byte("more"))))
}

// Guards against a conversation that is lost when its host or all hosts fail.
func TestAnotherHostFindsTheConversation(t *testing.T) {
	shared := &faultyStore{}
	first := newTestStore(shared)
	addTurn(t, first, "", "t1", "a", "b\n")
	addTurn(t, first, "t1", "t2", "c", "d\n")
	chain, err := newTestStore(shared).Chain(t.Context(), "p", "t2")
	require.NoError(t, err)
	require.Equal(t, "ab\ncd\n", string(chain.Prompt(nil)))
}

func TestTwoTurnsMayContinueTheSameTurn(t *testing.T) {
	store := newTestStore(&faultyStore{})
	addTurn(t, store, "", "t1", "a", "b\n")
	addTurn(t, store, "t1", "left", "l", "1\n")
	addTurn(t, store, "t1", "right", "r", "2\n")
	chain, err := store.Chain(t.Context(), "p", "right")
	require.NoError(t, err)
	require.Equal(t, "ab\nr2\n", string(chain.Prompt(nil)))
}

// Guards against a host that reports a turn as unknown without an answer of the store.
func TestTurnIsUnknownOnlyIfTheStoreAnswers(t *testing.T) {
	shared := &faultyStore{}
	_, err := newTestStore(shared).Chain(t.Context(), "p", "nobody")
	require.Equal(t, bvverdict.UnknownRequest, bvverdict.From(err).Code())
	shared.down = true
	_, err = newTestStore(shared).Chain(t.Context(), "p", "nobody")
	require.Equal(t, bvverdict.PlatformUnavailable, bvverdict.From(err).Code())
	require.Positive(t, bvverdict.From(err).RetryAfter())
}

// partlyUnavailable is a store of which some shards don't answer.
type partlyUnavailable struct {
	faultyStore
	downShards map[string]bool // by the shard's name in keys
}

func (store *partlyUnavailable) isShardUp(key string) bool {
	return !store.downShards[strings.Split(key, "/")[1]]
}

func (store *partlyUnavailable) Commit(ctx context.Context, transaction bvplatform.Transaction) (int64, error) {
	if !store.isShardUp(transaction.Puts[0].Key) {
		return 0, bvplatform.ErrUnknown
	}
	return store.faultyStore.Commit(ctx, transaction)
}

func (store *partlyUnavailable) Read(ctx context.Context, keys ...string) ([]bvplatform.Row, error) {
	if !store.isShardUp(keys[0]) {
		return nil, bvplatform.ErrUnavailable
	}
	return store.faultyStore.Read(ctx, keys...)
}

// Guards against a turn that is lost while its shard of the store is unavailable.
func TestTurnIsPersistedWhileItsShardIsUnavailable(t *testing.T) {
	shared := &partlyUnavailable{downShards: map[string]bool{strings.Split(rowKey("t1", 0, 0), "/")[1]: true}}
	addTurn(t, newTestStore(shared), "", "t1", "a", "b\n")
	chain, err := newTestStore(shared).Chain(t.Context(), "p", "t1")
	require.NoError(t, err, "while the shard is still unavailable")
	require.Equal(t, "ab\n", string(chain.Prompt(nil)))
	shared.downShards = nil
	_, err = newTestStore(shared).Chain(t.Context(), "p", "t1")
	require.NoError(t, err, "when the shard is available again")
}

// Guards against a turn that is reported as unknown although one of its candidate
// shards could not be read and may hold it.
func TestTurnIsNotUnknownWhileOneOfItsShardsIsUnavailable(t *testing.T) {
	for candidate := range candidateShards {
		shared := &partlyUnavailable{downShards: map[string]bool{strings.Split(rowKey("t1", candidate, 0), "/")[1]: true}}
		_, err := newTestStore(shared).Chain(t.Context(), "p", "t1")
		require.Equal(t, bvverdict.PlatformUnavailable, bvverdict.From(err).Code())
	}
}

// Guards against a turn that is stored twice, or not at all, after a lost answer.
func TestLostAnswerIsWrittenAgain(t *testing.T) {
	shared := &faultyStore{loseCommits: 2}
	addTurn(t, newTestStore(shared), "", "t1", "a", "b\n")
	chain, err := newTestStore(shared).Chain(t.Context(), "p", "t1")
	require.NoError(t, err)
	require.Len(t, chain, 1)
}

// Guards against a turn that is reported as complete but is not persisted.
func TestTurnThatCantBePersistedIsAnError(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	store := newTestStore(&faultyStore{loseCommits: 1000})
	require.Error(t, store.Add(ctx, nil, FinishedTurn{ID: "t1"}))
}

func TestLongTurnIsSplitIntoRows(t *testing.T) {
	shared := &faultyStore{}
	long := strings.Repeat("long text ", 3000)
	addTurn(t, newTestStore(shared), "", "t1", long, "end\n")
	chain, err := newTestStore(shared).Chain(t.Context(), "p", "t1")
	require.NoError(t, err)
	require.Equal(t, long+"end\n", string(chain.Prompt(nil)))
}

// storeLimit is the platform's limit of a transaction.
const storeLimit = 1 << 20

// Guards against a turn whose answer never ends, since its input is longer than a transaction may be.
func TestTurnLongerThanATransactionIsKept(t *testing.T) {
	shared := &faultyStore{limit: storeLimit}
	long := strings.Repeat("long text ", 250_000)
	first := newTestStore(shared)
	addTurn(t, first, "", "t1", long, "end\n")
	addTurn(t, first, "t1", "t2", "and ", "on\n")
	chain, err := newTestStore(shared).Chain(t.Context(), "p", "t2")
	require.NoError(t, err)
	require.Equal(t, long+"end\nand on\n", string(chain.Prompt(nil)))
}

// Guards against a long conversation that can't go on once its chain is copied.
func TestCopyOfALongConversationIsKept(t *testing.T) {
	shared := &faultyStore{limit: storeLimit}
	store := newTestStore(shared)
	finished := FinishedTurn{ID: "t0", Input: bytes.Repeat([]byte("x"), 100_000), Output: []byte("y\n"), Retain: bvclock.Minute}
	var expected []byte
	parent := ""
	for number := range 30 {
		chain, err := store.Chain(t.Context(), "p", parent)
		require.NoError(t, err)
		for _, turn := range chain {
			turn.ChainStart -= 2 // the next turn comes two seconds later
		}
		finished.ID = fmt.Sprint("t", number)
		require.NoError(t, store.Add(t.Context(), chain, finished))
		expected = append(append(expected, finished.Input...), finished.Output...)
		parent = finished.ID
	}
	chain, err := newTestStore(shared).Chain(t.Context(), "p", parent)
	require.NoError(t, err)
	require.Equal(t, expected, chain.Prompt(nil))
}

// Guards against a long conversation that needs a row which has expired.
func TestLongConversationNeedsNoExpiredRow(t *testing.T) {
	now := int64(1000)
	finished := FinishedTurn{ID: "t", Input: []byte("x"), Output: []byte("y\n"), Retain: bvclock.Minute}
	var chain Chain
	for range 40 {
		turn := newTurn(chain, finished, now)
		for _, ancestor := range chain[len(chain)-len(turn.Ancestors):] {
			require.GreaterOrEqual(t, ancestor.Expires, now+60, "an ancestor expires while the turn is retained")
		}
		if len(turn.Ancestors) == 0 {
			require.Equal(t, string(chain.Prompt([]byte("x"))), string(turn.Input))
			chain = nil
		}
		chain = append(chain, turn)
		now += 7
	}
}

func TestCacheStaysWithinItsBytes(t *testing.T) {
	store := newTestStore(&faultyStore{})
	for i := range 100 {
		store.cacheTurn(&Turn{ID: string(rune('a' + i)), Input: make([]byte, 200_000)})
	}
	require.LessOrEqual(t, store.cachedBytes, cacheBytes)
	require.Positive(t, store.cache.Len())
}

func TestTurnIsReadAsItWasWritten(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		turn := &Turn{
			ID:         "t",
			Ancestors:  rapid.SliceOf(rapid.String()).Draw(rt, "ancestors"),
			ChainStart: rapid.Int64().Draw(rt, "oldest"),
			Expires:    rapid.Int64().Draw(rt, "expires"),
			Input:      rapid.SliceOf(rapid.Byte()).Draw(rt, "input"),
			Output:     rapid.SliceOf(rapid.Byte()).Draw(rt, "output"),
		}
		read, err := decodeTurn("t", turn.encode())
		require.NoError(rt, err)
		require.Equal(rt, len(turn.Ancestors), len(read.Ancestors))
		for i := range turn.Ancestors {
			require.Equal(rt, turn.Ancestors[i], read.Ancestors[i])
		}
		require.Equal(rt, string(turn.Input), string(read.Input))
		require.Equal(rt, string(turn.Output), string(read.Output))
		require.Equal(rt, turn.Expires, read.Expires)
	})
}

// emptyPlacementBytes is the length of an encoded Placement without an endpoint.
const emptyPlacementBytes = 2

func TestTruncatedRowIsAnError(t *testing.T) {
	encoded := (&Turn{ID: "t", Ancestors: []string{"a"}, Input: []byte("in"), Output: []byte("out")}).encode()
	for length := range encoded {
		if length == len(encoded)-emptyPlacementBytes {
			continue // complete, as earlier versions wrote it: TestRowWithoutPlacementIsRead
		}
		_, err := decodeTurn("t", encoded[:length])
		require.Error(t, err, "of %d bytes", length)
	}
}

// Guards against a sweep that removes turns which are still needed, or leaves rows of
// expired ones.
func TestSweepRemovesAllRowsOfAnExpiredTurn(t *testing.T) {
	shared := &faultyStore{}
	store := newTestStore(shared)
	expired := &Turn{ID: "gone", Expires: 1, Input: make([]byte, 10_000)}
	current := newTurn(nil, FinishedTurn{ID: "kept", Retain: bvclock.Minute}, time.Now().Unix())
	for _, turn := range []*Turn{expired, current} {
		_, err := shared.Memory.Commit(t.Context(), bvplatform.Transaction{Puts: store.encodeRows(turn, 0)})
		require.NoError(t, err)
	}
	removed := 0
	for range 40 * shards { // shards are chosen at random
		count, err := store.Sweep(t.Context())
		require.NoError(t, err)
		removed += count
	}
	require.Equal(t, len(store.encodeRows(expired, 0)), removed)
	_, err := newTestStore(shared).Chain(t.Context(), "p", "kept")
	require.NoError(t, err)
}

// Guards against a log line for each attempt to persist a turn.
func TestRetriedTurnIsLoggedOnce(t *testing.T) {
	var lines bytes.Buffer
	log := logrus.New()
	log.SetOutput(&lines)
	store := NewStore(&faultyStore{loseCommits: 5}, noPeers{}, 1<<16, log)
	require.NoError(t, store.Add(t.Context(), nil, FinishedTurn{ID: "t1", Retain: bvclock.Minute}))
	require.Equal(t, 1, strings.Count(lines.String(), "turn not kept yet"))
	require.Equal(t, 1, strings.Count(lines.String(), "turn kept after all"))
}

// Guards against a next turn that is not sent to the engine whose cache is warm.
func TestPlacementOfATurnIsPersisted(t *testing.T) {
	turn := &Turn{ID: "t", ChainStart: 1, Expires: 2, Input: []byte("in"), Output: []byte("out\n"), Placement: Placement{Endpoint: 1 << 63, Tokens: 4711}}
	decoded, err := decodeTurn("t", turn.encode())
	require.NoError(t, err)
	require.Equal(t, turn, decoded)
	chain, err := DecodeChain(Chain{turn}.Encode())
	require.NoError(t, err)
	require.Equal(t, turn.Placement, chain.Placement())
}

// Guards against rows of an earlier version that can't be read during an update.
func TestRowWithoutPlacementIsRead(t *testing.T) {
	turn := &Turn{ID: "t", Input: []byte("in"), Output: []byte("out\n")}
	encoded := turn.encode()
	decoded, err := decodeTurn("t", encoded[:len(encoded)-emptyPlacementBytes])
	require.NoError(t, err)
	require.Equal(t, turn, decoded)
}
