package bvhistory

import (
	"bytes"
	"context"
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

// store loses the answers of the first commits, or of all reads.
type store struct {
	bvplatform.Memory
	loseCommits int
	down        bool
}

func (store *store) Commit(ctx context.Context, transaction bvplatform.Transaction) (int64, error) {
	version, err := store.Memory.Commit(ctx, transaction)
	if store.loseCommits > 0 {
		store.loseCommits--
		return 0, bvplatform.ErrUnknown
	}
	return version, err
}

func (store *store) Read(ctx context.Context, keys ...string) ([]bvplatform.Row, error) {
	if store.down {
		return nil, bvplatform.ErrUnavailable
	}
	return store.Memory.Read(ctx, keys...)
}

// noPeers are other hosts that have nothing at hand.
type noPeers struct{}

func (noPeers) Chain(context.Context, string, string) Chain { return nil }

// fewPeers are other hosts that answer with a store's turns, as they travel.
type fewPeers struct{ store *Store }

func (peers fewPeers) Chain(_ context.Context, _, turn string) Chain {
	chain, err := DecodeChain(peers.store.CachedChain(turn).Encode())
	if err != nil {
		return nil
	}
	return chain
}

// Guards against a conversation that stops while the store is away.
func TestConversationIsTakenFromAnotherHost(t *testing.T) {
	shared := &store{}
	first := newTestStore(shared)
	say(t, first, "", "t1", "a", "b\n")
	say(t, first, "t1", "t2", "c", "d\n")
	shared.down = true
	second := newTestStore(shared)
	second.peers = fewPeers{first}
	chain, err := second.Chain(t.Context(), "p", "t2")
	require.NoError(t, err)
	require.Equal(t, "ab\ncd\n", string(chain.Prompt(nil)))
	second.peers = noPeers{}
	_, err = second.Chain(t.Context(), "p", "t2")
	require.NoError(t, err, "it is at hand from then on")
}

// Guards against an engine that gets a part of a conversation, or another one.
func TestConversationThatIsNotWholeIsNotTaken(t *testing.T) {
	turns := Chain{{ID: "t1"}, {ID: "t2", Ancestors: []string{"t1"}}, {ID: "t3", Ancestors: []string{"t1", "t2"}}}
	require.True(t, turns.endsWith("t3"))
	require.False(t, turns.endsWith("t2"))
	require.False(t, turns[1:].endsWith("t3"))
	require.False(t, Chain{turns[0], turns[2]}.endsWith("t3"))
	require.False(t, Chain{}.endsWith("t3"))
	_, err := DecodeChain(turns.Encode()[:8])
	require.Error(t, err)
}

func newTestStore(store bvplatform.Store) *Store {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	return NewStore(store, noPeers{}, 4096, log)
}

func say(t *testing.T, store *Store, parent, id, input, output string) {
	t.Helper()
	chain, err := store.Chain(t.Context(), "p", parent)
	require.NoError(t, err)
	said := FinishedTurn{ID: id, Input: []byte(input), Output: []byte(output), Retain: bvclock.Minute}
	require.NoError(t, store.Add(t.Context(), chain, said))
}

func TestPromptIsAllThatWasSaidAndTheNewInput(t *testing.T) {
	store := newTestStore(&store{})
	say(t, store, "", "t1", "hello ", "one\ntwo\n")
	say(t, store, "t1", "t2", "again ", "three\n")
	chain, err := store.Chain(t.Context(), "p", "t2")
	require.NoError(t, err)
	require.Equal(t, "hello one\ntwo\nagain three\nmore", string(chain.Prompt([]byte("more"))))
}

// Guards against a conversation that is lost with its host, or with all.
func TestAnotherHostFindsTheConversation(t *testing.T) {
	shared := &store{}
	first := newTestStore(shared)
	say(t, first, "", "t1", "a", "b\n")
	say(t, first, "t1", "t2", "c", "d\n")
	chain, err := newTestStore(shared).Chain(t.Context(), "p", "t2")
	require.NoError(t, err)
	require.Equal(t, "ab\ncd\n", string(chain.Prompt(nil)))
}

func TestTwoTurnsMayContinueTheSameTurn(t *testing.T) {
	store := newTestStore(&store{})
	say(t, store, "", "t1", "a", "b\n")
	say(t, store, "t1", "left", "l", "1\n")
	say(t, store, "t1", "right", "r", "2\n")
	chain, err := store.Chain(t.Context(), "p", "right")
	require.NoError(t, err)
	require.Equal(t, "ab\nr2\n", string(chain.Prompt(nil)))
}

// Guards against a host that calls a turn unknown without the store's word.
func TestUnknownTurnIsSaidOnlyByTheStore(t *testing.T) {
	shared := &store{}
	_, err := newTestStore(shared).Chain(t.Context(), "p", "nobody")
	require.Equal(t, bvverdict.UnknownRequest, bvverdict.From(err).Code())
	shared.down = true
	_, err = newTestStore(shared).Chain(t.Context(), "p", "nobody")
	require.Equal(t, bvverdict.PlatformUnavailable, bvverdict.From(err).Code())
	require.Positive(t, bvverdict.From(err).RetryAfter())
}

// partlyAway is a store of which some parts answer nothing.
type partlyAway struct {
	store
	away map[string]bool // by part
}

func (store *partlyAway) has(key string) bool {
	return !store.away[strings.Split(key, "/")[1]]
}

func (store *partlyAway) Commit(ctx context.Context, transaction bvplatform.Transaction) (int64, error) {
	if !store.has(transaction.Puts[0].Key) {
		return 0, bvplatform.ErrUnknown
	}
	return store.store.Commit(ctx, transaction)
}

func (store *partlyAway) Read(ctx context.Context, keys ...string) ([]bvplatform.Row, error) {
	if !store.has(keys[0]) {
		return nil, bvplatform.ErrUnavailable
	}
	return store.store.Read(ctx, keys...)
}

// Guards against a turn that is lost while its part of the store is away.
func TestTurnIsKeptWhileItsPartOfTheStoreIsAway(t *testing.T) {
	shared := &partlyAway{away: map[string]bool{strings.Split(key("t1", 0, 0), "/")[1]: true}}
	say(t, newTestStore(shared), "", "t1", "a", "b\n")
	chain, err := newTestStore(shared).Chain(t.Context(), "p", "t1")
	require.NoError(t, err, "while the part is still away")
	require.Equal(t, "ab\n", string(chain.Prompt(nil)))
	shared.away = nil
	_, err = newTestStore(shared).Chain(t.Context(), "p", "t1")
	require.NoError(t, err, "when the part is back")
}

// One of the places of a turn can't be read: nobody can say that there is none.
func TestTurnIsNotUnknownWhileOneOfItsPlacesIsAway(t *testing.T) {
	for place := range places {
		shared := &partlyAway{away: map[string]bool{strings.Split(key("t1", place, 0), "/")[1]: true}}
		_, err := newTestStore(shared).Chain(t.Context(), "p", "t1")
		require.Equal(t, bvverdict.PlatformUnavailable, bvverdict.From(err).Code())
	}
}

// Guards against a turn that stands twice, or not at all, after a lost answer.
func TestLostAnswerIsWrittenAgain(t *testing.T) {
	shared := &store{loseCommits: 2}
	say(t, newTestStore(shared), "", "t1", "a", "b\n")
	chain, err := newTestStore(shared).Chain(t.Context(), "p", "t1")
	require.NoError(t, err)
	require.Len(t, chain, 1)
}

// Guards against a turn that is reported as complete and is not kept.
func TestTurnThatCantBeKeptIsNoCompleteTurn(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	store := newTestStore(&store{loseCommits: 1000})
	require.Error(t, store.Add(ctx, nil, FinishedTurn{ID: "t1"}))
}

func TestLongTurnIsSplitIntoRows(t *testing.T) {
	shared := &store{}
	long := strings.Repeat("long text ", 3000)
	say(t, newTestStore(shared), "", "t1", long, "end\n")
	chain, err := newTestStore(shared).Chain(t.Context(), "p", "t1")
	require.NoError(t, err)
	require.Equal(t, long+"end\n", string(chain.Prompt(nil)))
}

// Guards against a long conversation that needs a row which has expired.
func TestLongConversationNeedsNoExpiredRow(t *testing.T) {
	now := int64(1000)
	said := FinishedTurn{ID: "t", Input: []byte("x"), Output: []byte("y\n"), Retain: bvclock.Minute}
	var chain Chain
	for range 40 {
		turn := newTurn(chain, said, now)
		for _, ancestor := range chain[len(chain)-len(turn.Ancestors):] {
			require.GreaterOrEqual(t, ancestor.Expires, now+60, "an ancestor lapses while the turn is kept")
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
	store := newTestStore(&store{})
	for i := range 100 {
		store.remember(&Turn{ID: string(rune('a' + i)), Input: make([]byte, 200_000)})
	}
	require.LessOrEqual(t, store.bytes, cacheBytes)
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

// ranBytes is what a Placement without an endpoint takes in a row.
const ranBytes = 2

func TestRowThatIsCutOffIsAnError(t *testing.T) {
	encoded := (&Turn{ID: "t", Ancestors: []string{"a"}, Input: []byte("in"), Output: []byte("out")}).encode()
	for length := range encoded {
		if length == len(encoded)-ranBytes {
			continue // whole, as earlier versions wrote it: TestRowThatDoesNotTellWhereItRanIsRead
		}
		_, err := decodeTurn("t", encoded[:length])
		require.Error(t, err, "of %d bytes", length)
	}
}

// Turns are swept when nothing can need them any more, with all their rows.
func TestExpiredTurnIsSweptWhole(t *testing.T) {
	shared := &store{}
	store := newTestStore(shared)
	gone := &Turn{ID: "gone", Expires: 1, Input: make([]byte, 10_000)}
	kept := newTurn(nil, FinishedTurn{ID: "kept", Retain: bvclock.Minute}, time.Now().Unix())
	for _, turn := range []*Turn{gone, kept} {
		_, err := shared.Memory.Commit(t.Context(), bvplatform.Transaction{Puts: store.rows(turn, 0)})
		require.NoError(t, err)
	}
	removed := 0
	for range 40 * shards { // parts are drawn at random
		count, err := store.Sweep(t.Context())
		require.NoError(t, err)
		removed += count
	}
	require.Equal(t, len(store.rows(gone, 0)), removed)
	_, err := newTestStore(shared).Chain(t.Context(), "p", "kept")
	require.NoError(t, err)
}

// Guards against a line for each try to keep a turn.
func TestTurnThatIsNotKeptYetIsToldOnce(t *testing.T) {
	var lines bytes.Buffer
	log := logrus.New()
	log.SetOutput(&lines)
	store := NewStore(&store{loseCommits: 5}, noPeers{}, 1<<16, log)
	require.NoError(t, store.Add(t.Context(), nil, FinishedTurn{ID: "t1", Retain: bvclock.Minute}))
	require.Equal(t, 1, strings.Count(lines.String(), "turn not kept yet"))
	require.Equal(t, 1, strings.Count(lines.String(), "turn kept after all"))
}

// Guards against a next turn that does not know where the engine's cache is warm.
func TestWhereATurnRanIsKept(t *testing.T) {
	turn := &Turn{ID: "t", ChainStart: 1, Expires: 2, Input: []byte("in"), Output: []byte("out\n"), Placement: Placement{Endpoint: 1 << 63, Tokens: 4711}}
	decoded, err := decodeTurn("t", turn.encode())
	require.NoError(t, err)
	require.Equal(t, turn, decoded)
	chain, err := DecodeChain(Chain{turn}.Encode())
	require.NoError(t, err)
	require.Equal(t, turn.Placement, chain.Placement())
}

// During an update, rows are there that an earlier version wrote.
func TestRowThatDoesNotTellWhereItRanIsRead(t *testing.T) {
	turn := &Turn{ID: "t", Input: []byte("in"), Output: []byte("out\n")}
	encoded := turn.encode()
	decoded, err := decodeTurn("t", encoded[:len(encoded)-ranBytes])
	require.NoError(t, err)
	require.Equal(t, turn, decoded)
}
