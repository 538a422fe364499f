package bvrouter

import (
	"context"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvloopback"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvroute"
)

// switchedPlatform is a platform whose calls can be made to fail.
type switchedPlatform struct {
	bvplatform.Memory
	err   error
	reads int
}

func (platform *switchedPlatform) Read(ctx context.Context, keys ...string) ([]bvplatform.Row, error) {
	platform.reads++
	if platform.err != nil {
		return nil, platform.err
	}
	return platform.Memory.Read(ctx, keys...)
}

func (platform *switchedPlatform) AwaitRoutes(context.Context, int64, bvclock.Duration, bvclock.Duration) (*bvroute.Table, int64, error) {
	return nil, 0, platform.err
}

func (platform *switchedPlatform) AwaitEndpoints(context.Context, int64, bvclock.Duration, bvclock.Duration) (bvplatform.EndpointChanges, error) {
	return bvplatform.EndpointChanges{Next: 1}, platform.err
}

func (platform *switchedPlatform) FirstEndpoints(context.Context, int) (bvplatform.EndpointChanges, error) {
	return bvplatform.EndpointChanges{Whole: true, Next: 1}, platform.err
}

func silentLogger() *logrus.Logger {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	return log
}

func newTestStoreClient(platform Platform, clock bvclock.Clock, relays ...string) *storeClient {
	return newStoreClient(platform, clock, silentLogger(), func() []string { return relays }, func(string) {})
}

// Guards against calls that fail while the store rejects only this host.
func TestCallGoesThroughAnotherHost(t *testing.T) {
	shared := &switchedPlatform{}
	_, err := shared.Commit(t.Context(), bvplatform.Transaction{Puts: []bvplatform.Put{{Key: "t/p/k", Value: []byte("v")}}})
	require.NoError(t, err)
	relay := bvloopback.NewServer(bvplatform.NewHandler(newTestStoreClient(shared, bvclock.Boot()).direct()))
	defer relay.Close()
	cutOff := newTestStoreClient(&switchedPlatform{err: bvplatform.ErrUnavailable}, bvclock.Boot(), relay.Listener.Addr().String())
	rows, err := cutOff.Read(t.Context(), "t/p/k")
	require.NoError(t, err)
	require.Equal(t, "v", string(rows[0].Value))
	require.True(t, cutOff.hasRoute())
}

// Guards against calls that wait for an unreachable store or serve as its probes.
func TestLostStoreIsNotAskedAgainAndAgain(t *testing.T) {
	own := &switchedPlatform{err: bvplatform.ErrUnavailable}
	clock := &bvclock.Manual{}
	clock.Advance(bvclock.Minute)
	client := newTestStoreClient(own, clock)
	for range maxFailures {
		_, err := client.Read(t.Context(), "t/p/k")
		require.ErrorIs(t, err, bvplatform.ErrUnavailable)
	}
	require.False(t, client.hasRoute())
	_, _ = client.Read(t.Context(), "t/p/k")
	reads := own.reads
	for range 10 {
		_, err := client.Read(t.Context(), "t/p/k")
		require.ErrorIs(t, err, bvplatform.ErrUnavailable)
	}
	require.Equal(t, reads, own.reads)
	own.err = nil
	clock.Advance(bvclock.Minute)
	_, err := client.Read(t.Context(), "t/p/k")
	require.ErrorIs(t, err, bvplatform.ErrUnavailable, "a caller's call is not a probe")
	client.probe(t.Context(), "t/p/k")
	require.True(t, client.hasRoute())
	_, err = client.Read(t.Context(), "t/p/k")
	require.NoError(t, err)
}

// Guards against a silent store that returns no errors and so never counts as lost.
func TestSilentStoreCountsAsLost(t *testing.T) {
	clock := &bvclock.Manual{}
	clock.Advance(1)
	client := newTestStoreClient(&switchedPlatform{}, clock)
	hang := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = client.track(context.Background(), "read", func(context.Context) error { <-hang; return nil })
	}()
	require.Eventually(t, func() bool {
		client.mutex.Lock()
		defer client.mutex.Unlock()
		return len(client.calls) == 1
	}, 10*bvclock.Second.Std(), bvclock.Millisecond.Std())
	require.True(t, client.isReachable())
	clock.Advance(hangAfter + 1)
	require.False(t, client.isReachable())
	close(hang)
	<-done
	require.True(t, client.isReachable())
}

// Guards against a write that is made twice, through two other hosts.
func TestCallWithUnknownOutcomeIsNotRepeated(t *testing.T) {
	cutOff := newTestStoreClient(&switchedPlatform{err: bvplatform.ErrUnknown}, bvclock.Boot(), "127.0.0.1:1")
	_, err := cutOff.Read(t.Context(), "t/p/k")
	require.ErrorIs(t, err, bvplatform.ErrUnknown)
}

// Guards against unavailable parts of the store that make all calls fail.
func TestPartlyUnreachableStoreIsNotLost(t *testing.T) {
	own := &switchedPlatform{}
	client := newTestStoreClient(own, bvclock.Boot())
	go client.runProbes(t.Context(), "hosts//a")
	for range 20 {
		err := client.callStore(t.Context(), "read", func(context.Context, bvplatform.Store) error { return bvplatform.ErrUnavailable })
		require.ErrorIs(t, err, bvplatform.ErrUnavailable)
		require.Eventually(t, func() bool { return !client.hasFailures() }, 10*bvclock.Second.Std(), bvclock.Millisecond.Std(),
			"the host probes a part that is available")
		require.True(t, client.isReachable())
	}
}

// Guards against counting a conflict as a failed call: it is an answer of the store.
func TestConflictIsAnAnswer(t *testing.T) {
	client := newTestStoreClient(&switchedPlatform{}, bvclock.Boot())
	for range maxFailures + 1 {
		_, err := client.Commit(t.Context(), bvplatform.Transaction{Checks: []bvplatform.Check{{Key: "t/p/k", Version: 9}}})
		require.Error(t, err)
	}
	require.True(t, client.isReachable())
}

// Guards against lost answers that make the store count as lost.
func TestLostAnswersDoNotMakeTheStoreCountAsLost(t *testing.T) {
	clock := &bvclock.Manual{}
	clock.Advance(1)
	client := newTestStoreClient(&switchedPlatform{}, clock)
	for range 20 {
		err := client.track(t.Context(), "read", func(ctx context.Context) error {
			clock.Advance(1)
			require.NoError(t, client.track(ctx, "read", func(context.Context) error { return nil }))
			clock.Advance(minStoreTimeout)
			return bvplatform.ErrUnknown
		})
		require.ErrorIs(t, err, bvplatform.ErrUnknown)
	}
	require.True(t, client.isReachable())
	require.Equal(t, minStoreTimeout, client.timeout())
}

// Guards against timeouts that a slow store always exceeds.
func TestTimeoutGrowsForASlowStore(t *testing.T) {
	client := newTestStoreClient(&switchedPlatform{}, bvclock.Boot())
	client.timeouts = 2
	require.Equal(t, 4*minStoreTimeout, client.timeout())
	client.timeouts = 60
	require.Equal(t, storeTimeout, client.timeout())
	client.timeouts, client.averageDuration = 0, 100
	require.Equal(t, 600*bvclock.Millisecond, client.timeout())
}

// Guards against a host that detects seconds late that the store is reachable again.
func TestRequestFromBeforeAnOutageEndsWhenTheStoreIsRegained(t *testing.T) {
	own := &switchedPlatform{err: bvplatform.ErrUnavailable}
	client := newTestStoreClient(own, bvclock.Boot())
	queryCtx, release := client.untilRegained(t.Context())
	defer release()
	for range maxFailures {
		client.probe(t.Context(), "t/p/k")
	}
	require.False(t, client.isReachable())
	require.NoError(t, queryCtx.Err())
	own.err = nil
	client.probe(t.Context(), "t/p/k")
	require.True(t, client.isReachable())
	<-queryCtx.Done()
	laterCtx, release := client.untilRegained(t.Context())
	defer release()
	require.NoError(t, laterCtx.Err(), "a request made after the outage is not canceled")
}

// silentPlatform never answers a request for changes.
type silentPlatform struct{ switchedPlatform }

func (*silentPlatform) AwaitEndpoints(ctx context.Context, _ int64, _, _ bvclock.Duration) (bvplatform.EndpointChanges, error) {
	<-ctx.Done()
	return bvplatform.EndpointChanges{}, bvplatform.ErrUnavailable
}

// Guards against the use of a relay when only a request from before an outage was lost.
func TestRequestForEndpointsReportsThatTheStoreIsRegained(t *testing.T) {
	own := &silentPlatform{switchedPlatform{err: bvplatform.ErrUnavailable}}
	client := newTestStoreClient(own, bvclock.Boot())
	for range maxFailures {
		client.probe(t.Context(), "t/p/k")
	}
	require.False(t, client.isReachable())
	failed := make(chan error, 1)
	go func() {
		_, err := client.AwaitEndpoints(t.Context(), 1, bvclock.Hour, bvclock.Hour)
		failed <- err
	}()
	require.Eventually(t, func() bool {
		client.mutex.Lock()
		defer client.mutex.Unlock()
		return client.regained != nil
	}, time.Minute, time.Millisecond)
	own.err = nil
	client.probe(t.Context(), "t/p/k")
	require.True(t, client.isReachable())
	require.ErrorIs(t, <-failed, errRegained)
}
