package bvsuspect

import (
	"context"
	"errors"
	"io"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvlog"
	"balsamvalve.example/bvmeasure"
	"balsamvalve.example/bvplatform"
)

// newHostSuspects returns the Suspects of a host that was started some time ago.
func newHostSuspects(store bvplatform.Store, uptime bvclock.Duration) (*Suspects, *bvclock.Manual) {
	clock := &bvclock.Manual{}
	clock.Advance(uptime)
	return New(clock, store, bvmeasure.New(), bvlog.New(io.Discard)), clock
}

// crash records that a request has crashed endpoints, from one number up to another.
func (suspects *Suspects) crash(request Fingerprint, from, to uint64) {
	for endpoint := from; endpoint < to; endpoint++ {
		suspects.RecordBrokenCall(BrokenCall{Content: contentOf(request), Endpoint: endpoint})
		suspects.RecordEndpointLoss(endpoint, Refused)
	}
}

func (suspects *Suspects) isDenied(request Fingerprint) bool {
	return suspects.Decide(contentOf(request)).Access == Denied
}

func savedCount(t *testing.T, store bvplatform.Store) int {
	rows, err := store.Scan(t.Context(), suspectPart, "", 10_000)
	require.NoError(t, err)
	return len(rows)
}

// Guards against crashes that are forgotten when all hosts restart.
func TestHostThatStartsKnowsSavedCrashes(t *testing.T) {
	store := &bvplatform.Memory{}
	before, _ := newHostSuspects(store, bvclock.Hour)
	before.crash(withQuery(1, 7), 0, crashLimit)
	require.NoError(t, before.Save(t.Context()))
	require.Equal(t, crashLimit, savedCount(t, store))
	after, clock := newHostSuspects(store, 0)
	require.NoError(t, after.Load(t.Context()))
	require.True(t, after.isDenied(withQuery(1, 7)))
	require.False(t, after.isDenied(withQuery(1, 8)))
	clock.Advance(crashRetention)
	require.False(t, after.isDenied(withQuery(1, 7)))
}

// Guards against a write for each request that was in flight at a crash.
func TestCrashIsSavedFromTheSecondOnOnly(t *testing.T) {
	store := &bvplatform.Memory{}
	suspects, _ := newHostSuspects(store, 0)
	for number := range uint64(50) {
		suspects.crash(request(number), 1, 2)
	}
	require.NoError(t, suspects.Save(t.Context()))
	require.Zero(t, savedCount(t, store))
	suspects.AddPeerReport("b", Report{Crash: Crash{request(1), 9}})
	require.NoError(t, suspects.Save(t.Context()))
	require.Equal(t, 1, savedCount(t, store), "the host that detected the other one saves it")
}

// Guards against a host that reads a withdrawn crash in the store.
func TestWithdrawnCrashIsRemovedFromTheStore(t *testing.T) {
	store := &bvplatform.Memory{}
	first, _ := newHostSuspects(store, 0)
	first.crash(request(1), 0, crashLimit)
	require.NoError(t, first.Save(t.Context()))
	second, _ := newHostSuspects(store, 0)
	require.NoError(t, second.Load(t.Context()))
	second.RecordAnswer(Answer{Content: contentOf(request(1))})
	require.NoError(t, second.Save(t.Context()))
	require.Zero(t, savedCount(t, store))
}

// failingStore fails a number of commits.
type failingStore struct {
	bvplatform.Memory
	failures int
}

func (store *failingStore) Commit(ctx context.Context, transaction bvplatform.Transaction) (int64, error) {
	if store.failures > 0 {
		store.failures--
		return 0, bvplatform.ErrUnavailable
	}
	return store.Memory.Commit(ctx, transaction)
}

func TestCrashIsSavedAfterAnOutage(t *testing.T) {
	store := &failingStore{failures: 2}
	suspects, _ := newHostSuspects(store, 0)
	suspects.crash(request(1), 0, 300)
	require.ErrorIs(t, suspects.Save(t.Context()), bvplatform.ErrUnavailable)
	require.ErrorIs(t, suspects.Save(t.Context()), bvplatform.ErrUnavailable)
	require.NoError(t, suspects.Save(t.Context()))
	require.Equal(t, 300, savedCount(t, store))
	writes, _ := store.Counts()
	require.EqualValues(t, 4, writes, "rows are gathered in transactions of a bounded size")
	require.NoError(t, suspects.Save(t.Context()))
	writes, _ = store.Counts()
	require.EqualValues(t, 4, writes)
}

// Guards against rows that stay in the store without end, and against rows of another writer.
func TestOldRowsAreRemovedAndForeignRowsSkipped(t *testing.T) {
	store := &bvplatform.Memory{}
	old := time.Now().Add(-2 * crashRetention.Std()).UnixMilli()
	for key, value := range map[string]string{
		crashKey(Crash{request(1), 1}): `{"any_query":1,"at_unix_ms":` + strconv.FormatInt(old, 10) + `}`,
		crashPrefix + "no-hash":        `{}`,
		crashPrefix + "nothing":        `{}`,
		suspectPart + "other":          `text`,
	} {
		_, err := store.Commit(t.Context(), bvplatform.Transaction{Puts: []bvplatform.Put{{Key: key, Value: []byte(value)}}})
		require.NoError(t, err)
	}
	suspects, _ := newHostSuspects(store, 0)
	require.NoError(t, suspects.Load(t.Context()))
	require.Zero(t, suspects.Len())
	rows, err := store.Read(t.Context(), crashKey(Crash{request(1), 1}))
	require.NoError(t, err)
	require.Zero(t, rows[0].Version)
}

func TestFailedLoadIsAnError(t *testing.T) {
	suspects, _ := newHostSuspects(unreadableStore{}, 0)
	require.Error(t, suspects.Load(t.Context()))
}

// unreadableStore fails each scan.
type unreadableStore struct{ bvplatform.Store }

func (unreadableStore) Scan(context.Context, string, string, int) ([]bvplatform.Row, error) {
	return nil, errors.New("no answer")
}
