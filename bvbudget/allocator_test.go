package bvbudget

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvverdict"
)

// faultyStore is a store that injects nextFault into the next call: it is down, loses the
// answer, or delays or drops the write.
type faultyStore struct {
	bvplatform.Memory
	mutex     sync.Mutex
	nextFault string
	delayed   []bvplatform.Transaction
}

func (store *faultyStore) fault() string {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	fault := store.nextFault
	store.nextFault = ""
	return fault
}

func (store *faultyStore) Commit(ctx context.Context, transaction bvplatform.Transaction) (int64, error) {
	switch store.fault() {
	case "down":
		return 0, bvplatform.ErrUnavailable
	case "lost":
		_, _ = store.Memory.Commit(ctx, transaction)
		return 0, bvplatform.ErrUnknown
	case "late":
		store.mutex.Lock()
		defer store.mutex.Unlock()
		store.delayed = append(store.delayed, transaction)
		return 0, bvplatform.ErrUnknown
	case "never":
		return 0, bvplatform.ErrUnknown
	}
	version, err := store.Memory.Commit(ctx, transaction)
	var conflict *bvplatform.ConflictError
	if errors.As(err, &conflict) {
		conflict.Rows, _ = store.Memory.Read(ctx, conflict.Keys...)
	}
	return version, err
}

func (store *faultyStore) Read(ctx context.Context, keys ...string) ([]bvplatform.Row, error) {
	if store.fault() == "down" {
		return nil, bvplatform.ErrUnavailable
	}
	return store.Memory.Read(ctx, keys...)
}

// lossyLenders pass requests to the allocators of other hosts; replies may be lost or late.
type lossyLenders struct {
	cluster *cluster
	self    string
}

func (lenders lossyLenders) RequestTokens(_ context.Context, host string, request TokenRequest) Answer {
	lender := lenders.cluster.allocators[host]
	if lender == nil || host == lenders.self || lenders.cluster.isolated {
		return NotAsked
	}
	reply := lender.LendTokens(lenders.self, request)
	switch lenders.cluster.lendingFault {
	case "lost":
		return Unanswered
	case "late":
		lenders.cluster.lateReplies = append(lenders.cluster.lateReplies, lateReply{lenders.self, request.Program, reply})
		return Unanswered
	}
	lenders.cluster.allocators[lenders.self].AcceptTokens(request.Program, reply)
	if reply.Undecided {
		return Undecided
	}
	return Answered
}

// AddressOfIncarnation implements Lenders.
func (lenders lossyLenders) AddressOfIncarnation(incarnation string) (string, bool) {
	for host, allocator := range lenders.cluster.allocators {
		if allocator.incarnation == incarnation && !lenders.cluster.isolated {
			return host, true
		}
	}
	return "", false
}

type lateReply struct {
	host, program string
	reply         TokenReply
}

// cluster is a few hosts with one store, and the oracle: the tokens that were delivered to
// callers.
type cluster struct {
	store        *faultyStore
	clock        *bvclock.Manual
	allocators   map[string]*Allocator
	lendingFault string
	isolated     bool            // no host knows another
	retained     map[string]bool // programs whose turns are retained
	lateReplies  []lateReply
	reservations []*Reservation
	delivered    map[string]int
	starts       int
}

const (
	testBudget      = 1716
	testMaxTokens   = 572
	testEventTokens = 22
)

func discardLogger() *logrus.Logger {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	return log
}

func newCluster() *cluster {
	cluster := &cluster{store: &faultyStore{}, clock: &bvclock.Manual{}, allocators: make(map[string]*Allocator), delivered: make(map[string]int), retained: make(map[string]bool)}
	for _, host := range []string{"a", "b", "c"} {
		cluster.restart(host)
	}
	return cluster
}

// restart replaces a host's allocator, which loses all its state.
func (cluster *cluster) restart(host string) {
	cluster.starts++
	incarnation := fmt.Sprintf("%s%d", host, cluster.starts)
	cluster.allocators[host] = NewAllocator(cluster.store, lossyLenders{cluster, host}, incarnation, cluster.clock, discardLogger())
	cluster.allocators[host].wallTime = func() time.Time { return time.UnixMilli(int64(cluster.clock.Now())) }
}

// spendAndClose delivers events of a turn to its caller and ends the turn.
func (cluster *cluster) spendAndClose(at, events int) {
	reservation := cluster.reservations[at]
	for range events {
		if reservation.Spend(testEventTokens) {
			cluster.delivered[reservation.account.program] += testEventTokens
		}
	}
	reservation.Close()
	cluster.reservations = append(cluster.reservations[:at], cluster.reservations[at+1:]...)
}

// dropReservations drops the reservations of a host, which is about to restart.
func (cluster *cluster) dropReservations(host string) {
	remaining := cluster.reservations[:0]
	for _, reservation := range cluster.reservations {
		if reservation.allocator != cluster.allocators[host] {
			remaining = append(remaining, reservation)
		}
	}
	cluster.reservations = remaining
}

// stop ends the turns of a host as planned, and restarts it.
func (cluster *cluster) stop(host string) {
	for _, reservation := range cluster.reservations {
		if reservation.allocator == cluster.allocators[host] {
			reservation.Close()
		}
	}
	cluster.dropReservations(host)
	cluster.allocators[host].ReleaseUnspent(context.Background())
	cluster.restart(host)
}

// exchangeHolders reports to all hosts which hosts hold tokens of which programs, as
// digests do.
func (cluster *cluster) exchangeHolders() {
	for host, allocator := range cluster.allocators {
		programs := allocator.TakeReservedPrograms()
		for other, receiver := range cluster.allocators {
			if other != host {
				receiver.AddHolder(host, programs)
			}
		}
	}
}

// commitDelayed commits the delayed writes whose checks still hold.
func (cluster *cluster) commitDelayed() {
	for _, transaction := range cluster.store.delayed {
		_, _ = cluster.store.Memory.Commit(context.Background(), transaction)
	}
	cluster.store.delayed = nil
}

// maxDeliverable returns the tokens of a program that were delivered to callers or can be
// without another write to the store.
func (cluster *cluster) maxDeliverable(program string) int {
	tokens := cluster.delivered[program]
	for _, allocator := range cluster.allocators {
		if account := allocator.accounts[program]; account != nil {
			tokens += account.free + account.reserved
		}
	}
	return tokens
}

func (cluster *cluster) reserve(host, program string) error {
	return cluster.reserveOf(host, program, testBudget)
}

// reserveOf reserves a turn of a program with a budget.
func (cluster *cluster) reserveOf(host, program string, budget int) error {
	reservation, err := cluster.allocators[host].Reserve(context.Background(), Turn{
		Program: program, Budget: budget, MaxTokens: testMaxTokens, MinTokens: testEventTokens, Retained: cluster.retained[program], Retain: bvclock.Minute,
	})
	if err == nil {
		cluster.reservations = append(cluster.reservations, reservation)
	}
	cluster.exchangeHolders()
	return err
}

// Guards against tokens that are counted twice after lost, late or refused messages.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cluster := newCluster()
		hosts := rapid.SampledFrom([]string{"a", "a", "b", "b", "c"})
		programs := rapid.SampledFrom([]string{"p", "p", "p", "q"})
		rt.Repeat(map[string]func(*rapid.T){
			"reserve": func(rt *rapid.T) {
				cluster.store.nextFault = rapid.SampledFrom([]string{"", "", "", "down", "lost", "late", "never"}).Draw(rt, "fault")
				cluster.lendingFault = rapid.SampledFrom([]string{"", "", "lost", "late"}).Draw(rt, "lending")
				_ = cluster.reserve(hosts.Draw(rt, "host"), programs.Draw(rt, "program"))
			},
			"spend": func(rt *rapid.T) {
				if len(cluster.reservations) == 0 {
					return
				}
				reservation := cluster.reservations[rapid.IntRange(0, len(cluster.reservations)-1).Draw(rt, "turn")]
				for range rapid.IntRange(1, 30).Draw(rt, "events") {
					if reservation.Spend(testEventTokens) {
						cluster.delivered[reservation.account.program] += testEventTokens
					}
				}
			},
			"end": func(rt *rapid.T) {
				if len(cluster.reservations) == 0 {
					return
				}
				at := rapid.IntRange(0, len(cluster.reservations)-1).Draw(rt, "turn")
				cluster.reservations[at].Close()
				cluster.reservations = append(cluster.reservations[:at], cluster.reservations[at+1:]...)
			},
			"pause": func(rt *rapid.T) {
				cluster.store.nextFault = rapid.SampledFrom([]string{"", "down", "lost", "late", "never"}).Draw(rt, "fault")
				cluster.clock.Advance(defaultSettleTime)
				cluster.allocators[hosts.Draw(rt, "host")].ReleaseIdle(context.Background())
			},
			"late write": func(rt *rapid.T) {
				cluster.commitDelayed()
			},
			"late answer": func(rt *rapid.T) {
				for _, reply := range cluster.lateReplies {
					cluster.allocators[reply.host].AcceptTokens(reply.program, reply.reply)
				}
				cluster.lateReplies = nil
			},
			"die": func(rt *rapid.T) {
				host := hosts.Draw(rt, "host")
				cluster.dropReservations(host)
				cluster.restart(host)
			},
			"stop": func(rt *rapid.T) {
				host := hosts.Draw(rt, "host")
				cluster.store.nextFault = rapid.SampledFrom([]string{"", "", "down", "lost", "late", "never"}).Draw(rt, "fault")
				cluster.stop(host)
			},
			"": func(rt *rapid.T) {
				for _, program := range []string{"p", "q"} {
					if tokens := cluster.maxDeliverable(program); tokens > testBudget {
						rt.Fatalf("program %s can get %d tokens of a budget of %d", program, tokens, testBudget)
					}
				}
			},
		})
	})
}

// The oracle above must detect an allocator that lends tokens without deducting them.
func TestOracleCatchesALenderThatDoesNotDeductLentTokens(t *testing.T) {
	cluster := newCluster()
	require.NoError(t, cluster.reserve("a", "p"))
	lenderAccount := cluster.allocators["a"].accounts["p"]
	for range 5 {
		lenderAccount.free = testMaxTokens
		require.NoError(t, cluster.reserve("b", "p"))
	}
	for _, reservation := range cluster.reservations {
		for reservation.Spend(testEventTokens) {
			cluster.delivered["p"] += testEventTokens
		}
	}
	require.Greater(t, cluster.delivered["p"], testBudget)
}

// Guards against a spent budget that is lost when all hosts restart.
func TestStoppedProgramIsRefusedAfterAllHostsRestarted(t *testing.T) {
	cluster := newCluster()
	for cluster.reserve("a", "p") == nil {
		last := cluster.reservations[len(cluster.reservations)-1]
		for last.Spend(testEventTokens) {
			cluster.delivered["p"] += testEventTokens
		}
		last.Close()
	}
	for host := range cluster.allocators {
		cluster.restart(host)
	}
	err := cluster.reserve("b", "p")
	require.Equal(t, bvverdict.PlatformUnavailable, bvverdict.From(err).Code(), "other hosts may not be discovered yet")
	require.Equal(t, bvverdict.NotRun, bvverdict.Of(err))
	cluster.clock.Advance(discoveryTime)
	err = cluster.reserve("b", "p")
	require.Equal(t, bvverdict.BudgetExceeded, bvverdict.From(err).Code())
	require.Equal(t, bvverdict.NotRun, bvverdict.Of(err))
}

// Guards against a host that knows no other host and refuses a program as over budget.
func TestHostThatHasJustStartedReportsNoBudgetAsSpent(t *testing.T) {
	cluster := newCluster()
	for _, host := range []string{"a", "b", "b"} {
		require.NoError(t, cluster.reserve(host, "p"))
	}
	cluster.restart("c")
	cluster.isolated = true
	err := cluster.reserve("c", "p")
	require.Equal(t, bvverdict.PlatformUnavailable, bvverdict.From(err).Code())
	cluster.isolated = false
	for _, reservation := range cluster.reservations {
		reservation.Close()
	}
	require.NoError(t, cluster.reserve("c", "p"))
}

// Guards against a turn that is refused although another host holds tokens for it.
func TestTurnContinuesAtAnotherHostWhileTheStoreIsUnavailable(t *testing.T) {
	cluster := newCluster()
	require.NoError(t, cluster.reserve("a", "p"))
	cluster.reservations[0].Close()
	cluster.store.nextFault = "down"
	require.NoError(t, cluster.reserve("b", "p"))
}

// Guards against a budget that counts as spent while the store is unavailable.
func TestUnavailableStoreDoesNotMeanASpentBudget(t *testing.T) {
	cluster := newCluster()
	cluster.store.nextFault = "down"
	err := bvverdict.From(cluster.reserve("a", "p"))
	require.Equal(t, bvverdict.PlatformUnavailable, err.Code())
	require.Equal(t, bvverdict.NotRun, err.Verdict())
	require.Positive(t, err.RetryAfter())
}

// Guards against a program that ends with most of its budget unspent at other hosts.
func TestProgramCanSpendItsBudgetThroughAnyHost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cluster := newCluster()
		exchanged := rapid.Bool().Draw(rt, "digests arrive")
		spent := 0
		for range 30 {
			host := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "host")
			reservation, err := cluster.allocators[host].Reserve(context.Background(), Turn{
				Program: "p", Budget: testBudget, MaxTokens: testMaxTokens, Retain: bvclock.Minute,
			})
			if exchanged {
				cluster.exchangeHolders()
			}
			if err != nil {
				require.Equal(rt, bvverdict.BudgetExceeded, bvverdict.From(err).Code())
				require.Greater(rt, spent+testMaxTokens, testBudget, "refused although the budget covers the turn")
				return
			}
			for range rapid.IntRange(0, testMaxTokens/testEventTokens).Draw(rt, "events") {
				require.True(rt, reservation.Spend(testEventTokens))
				spent += testEventTokens
			}
			reservation.Close()
		}
	})
}

// Guards against a lost reply of another host that ends a program.
func TestUnansweredRequestDoesNotMeanASpentBudget(t *testing.T) {
	cluster := newCluster()
	require.NoError(t, cluster.reserve("a", "p"))
	require.NoError(t, cluster.reserve("b", "p"))
	require.NoError(t, cluster.reserve("b", "p")) // the row has nothing left
	for _, reservation := range cluster.reservations {
		reservation.Close()
	}
	cluster.lendingFault = "lost"
	err := bvverdict.From(cluster.reserve("c", "p"))
	require.Equal(t, bvverdict.PlatformUnavailable, err.Code())
	require.Positive(t, err.RetryAfter())
}

// Guards against unspent tokens that the next host does not find.
func TestUnspentTokensAreReturned(t *testing.T) {
	cluster := newCluster()
	require.NoError(t, cluster.reserve("a", "p"))
	require.True(t, cluster.reservations[0].Spend(testEventTokens))
	cluster.reservations[0].Close()
	cluster.clock.Advance(defaultSettleTime)
	cluster.allocators["a"].ReleaseIdle(context.Background())
	cluster.restart("a")
	for range 2 {
		require.NoError(t, cluster.reserve("b", "p"))
	}
}

// Guards against a planned stop that loses unspent tokens.
func TestPlannedStopReturnsUnspentTokens(t *testing.T) {
	cluster := newCluster()
	require.NoError(t, cluster.reserve("a", "p"))
	cluster.reservations[0].Close()
	cluster.allocators["a"].ReleaseUnspent(context.Background())
	cluster.restart("a")
	for range testBudget / testMaxTokens {
		require.NoError(t, cluster.reserve("b", "p"))
	}
}

// Guards against a planned stop that loses unspent tokens after other hosts have changed the row.
func TestPlannedStopReturnsUnspentTokensOfAChangedRow(t *testing.T) {
	cluster := newCluster()
	require.NoError(t, cluster.reserve("a", "p"))
	require.NoError(t, cluster.reserve("b", "p"))
	cluster.stop("a")
	for range testBudget/testMaxTokens - 1 {
		require.NoError(t, cluster.reserve("b", "p"))
	}
}

// Guards against a planned stop that loses unspent tokens of a row that must be read again first.
func TestPlannedStopReturnsUnspentTokensOfAnUnknownRow(t *testing.T) {
	cluster := newCluster()
	require.NoError(t, cluster.reserve("a", "p"))
	cluster.reservations[0].Close()
	cluster.clock.Advance(defaultSettleTime)
	cluster.store.nextFault = "down"
	cluster.allocators["a"].ReleaseIdle(context.Background())
	cluster.stop("a")
	for range testBudget / testMaxTokens {
		require.NoError(t, cluster.reserve("b", "p"))
	}
}

// Guards against a planned stop that loses unspent tokens because a return of them is in progress.
func TestPlannedStopWaitsForAReturnInProgress(t *testing.T) {
	cluster := newCluster()
	require.NoError(t, cluster.reserve("a", "p"))
	lock := cluster.allocators["a"].accounts["p"].lock
	lock <- struct{}{}
	time.AfterFunc(20*time.Millisecond, func() { <-lock })
	cluster.stop("a")
	for range testBudget / testMaxTokens {
		require.NoError(t, cluster.reserve("b", "p"))
	}
}

// Guards against tokens that are spent at one host and reserved by another.
func TestTokensOfAnUncertainReturnAreNotReused(t *testing.T) {
	cluster := newCluster()
	require.NoError(t, cluster.reserve("a", "p"))
	cluster.reservations[0].Close()
	cluster.clock.Advance(defaultSettleTime)
	cluster.store.nextFault = "late"
	cluster.allocators["a"].ReleaseIdle(context.Background())
	require.NotEmpty(t, cluster.store.delayed)
	require.NoError(t, cluster.reserve("a", "p"))
	cluster.commitDelayed()
	for range 4 {
		_ = cluster.reserve("b", "p")
	}
	require.LessOrEqual(t, cluster.maxDeliverable("p"), testBudget)
}

// Guards against an engine that generates more than the requested maximum.
func TestMoreThanReservedIsNotDelivered(t *testing.T) {
	cluster := newCluster()
	require.NoError(t, cluster.reserve("a", "p"))
	require.True(t, cluster.reservations[0].Spend(testMaxTokens))
	require.False(t, cluster.reservations[0].Spend(testEventTokens))
}
