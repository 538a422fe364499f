package bvsuspect

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
)

// claimOf claims an exclusive run of a request, as a host does for a decision.
func (suspects *Suspects) claimOf(t *testing.T, request Fingerprint) (*Claim, error) {
	decision := suspects.Decide(contentOf(request))
	require.Equal(t, Exclusive, decision.Access)
	return suspects.Claim(t.Context(), decision)
}

// newTwoHosts returns two hosts with one store. Both know of a suspect that runs exclusively.
func newTwoHosts() (first, second *Suspects) {
	store := &bvplatform.Memory{}
	first, _ = newHostSuspects(store, 0)
	first.crash(request(1), 0, exclusiveCrashes)
	second, _ = newHostSuspects(store, 0)
	second.crash(request(1), 0, exclusiveCrashes)
	return first, second
}

// Guards against a suspect that runs through two hosts at the same time.
func TestOneHostRunsASuspectAtATime(t *testing.T) {
	first, second := newTwoHosts()
	claim, err := first.claimOf(t, request(1))
	require.NoError(t, err)
	_, err = second.claimOf(t, request(1))
	require.ErrorIs(t, err, ErrClaimed)
	first.EndClaim(claim)
	require.NoError(t, first.Save(t.Context()))
	_, err = second.claimOf(t, request(1))
	require.NoError(t, err, "the run crashed nothing")
}

// Guards against a host that does not know of the latest crash and runs the suspect once more.
func TestClaimOfARunThatCrashedStays(t *testing.T) {
	first, outdated := newTwoHosts()
	claim, err := first.claimOf(t, request(1))
	require.NoError(t, err)
	first.crash(request(1), 8, 9)
	first.EndClaim(claim)
	require.NoError(t, first.Save(t.Context()))
	_, err = outdated.claimOf(t, request(1))
	require.ErrorIs(t, err, ErrClaimed)
}

// Guards against crashes that are forgotten because all hosts end during the exclusive run.
func TestClaimSavesTheCrashesThatItRestsOn(t *testing.T) {
	store := &bvplatform.Memory{}
	host, _ := newHostSuspects(store, 0)
	for endpoint := range uint64(exclusiveCrashes) {
		host.AddPeerReport("b", Report{Crash: Crash{request(1), endpoint}})
	}
	_, err := host.claimOf(t, request(1))
	require.NoError(t, err)
	started, _ := newHostSuspects(store, 0)
	require.NoError(t, started.Load(t.Context()))
	require.Equal(t, exclusiveCrashes, started.Decide(contentOf(request(1))).Crashes)
}

// Guards against a request that is refused for hours because its claimant has died.
func TestAbandonedClaimIsTakenOver(t *testing.T) {
	store := &bvplatform.Memory{}
	host, _ := newHostSuspects(store, 0)
	host.crash(request(1), 0, exclusiveCrashes)
	claim, err := host.claimOf(t, request(1))
	require.NoError(t, err)
	_, err = host.claimOf(t, request(1))
	require.ErrorIs(t, err, ErrClaimed)
	old := `{"owner":1,"at_unix_ms":` + strconv.FormatInt(time.Now().UnixMilli()-int64(claimLifetime), 10) + `}`
	_, err = store.Commit(t.Context(), bvplatform.Transaction{Puts: []bvplatform.Put{{Key: claim.key(), Value: []byte(old)}}})
	require.NoError(t, err)
	_, err = host.claimOf(t, request(1))
	require.NoError(t, err)
}

// lossyStore carries out the next commit without an answer.
type lossyStore struct {
	bvplatform.Memory
	losesNext bool
}

func (store *lossyStore) Commit(ctx context.Context, transaction bvplatform.Transaction) (int64, error) {
	version, err := store.Memory.Commit(ctx, transaction)
	if store.losesNext {
		store.losesNext = false
		return 0, bvplatform.ErrUnknown
	}
	return version, err
}

func TestClaimHoldsThoughTheStoresAnswerIsLost(t *testing.T) {
	store := &lossyStore{losesNext: true}
	host, _ := newHostSuspects(store, 0)
	host.crash(request(1), 0, exclusiveCrashes)
	claim, err := host.claimOf(t, request(1))
	require.NoError(t, err)
	host.EndClaim(claim)
	require.NoError(t, host.Save(t.Context()))
	_, err = host.claimOf(t, request(1))
	require.NoError(t, err, "the claim was removed")
}

// Guards against a suspect that runs through several hosts because the store can't be asked.
func TestSuspectDoesNotRunWithoutTheStore(t *testing.T) {
	store := &failingStore{failures: 1}
	host, _ := newHostSuspects(store, 0)
	host.crash(request(1), 0, exclusiveCrashes)
	_, err := host.claimOf(t, request(1))
	require.ErrorIs(t, err, bvplatform.ErrUnavailable)
}

// Guards against a request that is refused for good, or crashes an endpoint at each retry.
func TestDeniedRequestMayRunOnceAfterGrowingPauses(t *testing.T) {
	var table Table
	now := bvclock.Time(0)
	for endpoint := range uint64(crashLimit) {
		table.RecordCrash(now, Crash{request(1), endpoint}, false)
	}
	for number, pause := range append(exclusivePauses, bvclock.Hour, bvclock.Hour) {
		decision := table.Decide(now.Add(pause-1), request(1))
		require.Equal(t, Denied, decision.Access)
		require.EqualValues(t, 1, decision.RetryAfter)
		now = now.Add(pause)
		require.Equal(t, Exclusive, table.Decide(now, request(1)).Access)
		table.RecordCrash(now, Crash{request(1), uint64(100 + number)}, true)
		table.Reports(now)
	}
	require.NotEmpty(t, table.suspects, "it is not forgotten between two runs")
}

func TestRequestWithOneCrashRunsFreely(t *testing.T) {
	var table Table
	table.RecordCrash(10, Crash{request(1), 1}, false)
	require.Equal(t, Free, table.Decide(10, request(1)).Access)
	table.RecordCrash(10, Crash{request(1), 2}, false)
	require.Equal(t, Exclusive, table.Decide(10, request(1)).Access)
}

// Guards against a part that is cleared by answers, but runs nowhere for minutes after each.
func TestClaimOfACrashedRunEndsWhenAnAnswerWithdrawsACrash(t *testing.T) {
	suspects, clock := newHostSuspects(&bvplatform.Memory{}, bvclock.Hour)
	suspects.unixMilli = func() int64 { return int64(clock.Now()) }
	content := Content{Shared: []Fingerprint{newShared(Part, 7)}}
	claim := func() *Claim {
		claim, err := suspects.Claim(t.Context(), suspects.Decide(content))
		require.NoError(t, err)
		return claim
	}
	suspects.crash(content.Shared[0], 1, 1+sharedExclusiveCrashes)
	crashed := claim()
	suspects.crash(content.Shared[0], 100, 101)
	suspects.EndClaim(crashed)
	clock.Advance(exclusivePauses[0])
	answered, sentAt := claim(), clock.Now()
	clock.Advance(1)
	suspects.RecordAnswer(Answer{Content: content, SentAt: sentAt})
	suspects.EndClaim(answered)
	require.NoError(t, suspects.Save(t.Context()))
	claim()
}
