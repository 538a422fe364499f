package bvrouter

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvroute"
)

// switchedPlatform can be switched off for this host.
type switchedPlatform struct {
	bvplatform.Memory
	err error
}

func (platform *switchedPlatform) Read(ctx context.Context, keys ...string) ([]bvplatform.Row, error) {
	if platform.err != nil {
		return nil, platform.err
	}
	return platform.Memory.Read(ctx, keys...)
}

func (platform *switchedPlatform) AwaitRoutes(context.Context, int64, bvclock.Duration) (*bvroute.Table, int64, error) {
	return nil, 0, platform.err
}

func quiet() *logrus.Logger {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	return log
}

func newTestReach(own Platform, clock bvclock.Clock, helpers ...string) *reach {
	return newReach(own, clock, quiet(), func() []string { return helpers })
}

// The store turns this host away and serves another one. The call goes through
// the other host.
func TestCallGoesThroughAnotherHost(t *testing.T) {
	shared := &switchedPlatform{}
	_, err := shared.Commit(t.Context(), bvplatform.Transaction{Puts: []bvplatform.Put{{Key: "t/p/k", Value: []byte("v")}}})
	require.NoError(t, err)
	helper := httptest.NewServer(bvplatform.NewHandler(newTestReach(shared, bvclock.Boot()).direct()))
	defer helper.Close()
	closed := newTestReach(&switchedPlatform{err: bvplatform.ErrUnavailable}, bvclock.Boot(), helper.Listener.Addr().String())
	rows, err := closed.Read(t.Context(), "t/p/k")
	require.NoError(t, err)
	require.Equal(t, "v", string(rows[0].Value))
	require.True(t, closed.serving())
}

// The store is away for all. Calls fail at once instead of each waiting for
// its time, so that callers can be told.
func TestLostStoreIsNotAskedAgainAndAgain(t *testing.T) {
	own := &switchedPlatform{err: bvplatform.ErrUnavailable}
	reach := newTestReach(own, bvclock.Boot())
	for range lostAfter {
		_, err := reach.Read(t.Context(), "t/p/k")
		require.ErrorIs(t, err, bvplatform.ErrUnavailable)
	}
	require.False(t, reach.serving())
	own.err = nil
	_, err := reach.Read(t.Context(), "t/p/k")
	require.ErrorIs(t, err, bvplatform.ErrUnavailable, "only the list's reader tries")
	_, err = reach.Endpoints(t.Context())
	require.NoError(t, err)
	require.True(t, reach.serving())
}

// The store is silent: a call hangs and gives no error to count. After a while
// it counts as lost, until something is answered.
func TestSilentStoreCountsAsLost(t *testing.T) {
	clock := &bvclock.Manual{}
	clock.Advance(1)
	reach := newTestReach(&switchedPlatform{}, clock)
	hang := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = reach.track(func() error { <-hang; return nil })
	}()
	require.Eventually(t, func() bool {
		reach.mutex.Lock()
		defer reach.mutex.Unlock()
		return len(reach.calls) == 1
	}, 10*bvclock.Second.Std(), bvclock.Millisecond.Std())
	require.True(t, reach.up())
	clock.Advance(suspectAfter + 1)
	require.False(t, reach.up())
	close(hang)
	<-done
	require.True(t, reach.up())
}

// A write through another host may have been carried out when its answer is
// lost there. It must not be tried through a third.
func TestUnknownOutcomeIsNotTriedElsewhere(t *testing.T) {
	closed := newTestReach(&switchedPlatform{err: bvplatform.ErrUnknown}, bvclock.Boot(), "127.0.0.1:1")
	_, err := closed.Read(t.Context(), "t/p/k")
	require.ErrorIs(t, err, bvplatform.ErrUnknown)
}

// A lost connection is not a failed check: a conflict is the store's answer.
func TestConflictIsAnAnswer(t *testing.T) {
	reach := newTestReach(&switchedPlatform{}, bvclock.Boot())
	for range lostAfter + 1 {
		_, err := reach.Commit(t.Context(), bvplatform.Transaction{Checks: []bvplatform.Check{{Key: "t/p/k", Version: 9}}})
		require.Error(t, err)
	}
	require.True(t, reach.up())
}
