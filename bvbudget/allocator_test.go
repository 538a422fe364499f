package bvbudget

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvverdict"
)

// faultyStore is a store whose answers are lost, and whose writes may come
// late, as the next draws say.
type faultyStore struct {
	bvplatform.Memory
	mutex sync.Mutex
	next  string
	late  []bvplatform.Transaction
}

func (store *faultyStore) fault() string {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	fault := store.next
	store.next = ""
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
		store.late = append(store.late, transaction)
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

// lossyLenders pass questions to the allocators of other hosts; answers may be
// lost or late.
type lossyLenders struct {
	world *world
	self  string
}

func (lenders lossyLenders) RequestTokens(_ context.Context, host string, want TokenRequest) (asked, answered bool) {
	lender := lenders.world.allocators[host]
	if lender == nil || host == lenders.self || lenders.world.deaf {
		return false, false
	}
	given := lender.LendTokens(lenders.self, want)
	switch lenders.world.lending {
	case "lost":
		return true, false
	case "late":
		lenders.world.letters = append(lenders.world.letters, letter{lenders.self, want.Program, given.Tokens})
		return true, false
	}
	lenders.world.allocators[lenders.self].AcceptTokens(want.Program, given.Tokens, given.Holders)
	return true, !given.Undecided
}

// AddressOfIncarnation implements Lenders: an incarnation of the world's is its host's name
// and a number.
func (lenders lossyLenders) AddressOfIncarnation(incarnation string) (string, bool) {
	for host, allocator := range lenders.world.allocators {
		if allocator.host == incarnation && !lenders.world.deaf {
			return host, true
		}
	}
	return "", false
}

type letter struct {
	host, program string
	tokens        int
}

// world is some hosts over one store, and the oracle: the tokens that callers
// were handed.
type world struct {
	store      *faultyStore
	clock      *bvclock.Manual
	allocators map[string]*Allocator
	lending    string
	deaf       bool // no host has heard of another
	letters    []letter
	open       []*Reservation
	handed     map[string]int
	starts     int
}

const (
	testBudget = 1716
	testMost   = 572
	testEvent  = 22
)

func quiet() *logrus.Logger {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	return log
}

func newWorld() *world {
	world := &world{store: &faultyStore{}, clock: &bvclock.Manual{}, allocators: make(map[string]*Allocator), handed: make(map[string]int)}
	for _, host := range []string{"a", "b", "c"} {
		world.restart(host)
	}
	return world
}

// restart replaces a host's allocator: all that it knew is lost.
func (world *world) restart(host string) {
	world.starts++
	incarnation := fmt.Sprintf("%s%d", host, world.starts)
	world.allocators[host] = NewAllocator(world.store, lossyLenders{world, host}, incarnation, world.clock, quiet())
}

// spendAndEnd hands events of an open turn to its caller and ends it.
func (world *world) spendAndEnd(at, events int) {
	reservation := world.open[at]
	for range events {
		if reservation.Spend(testEvent) {
			world.handed[reservation.account.program] += testEvent
		}
	}
	reservation.Close()
	world.open = append(world.open[:at], world.open[at+1:]...)
}

// dropTurnsOf forgets the turns under way on a host, which is about to end.
func (world *world) dropTurnsOf(host string) {
	kept := world.open[:0]
	for _, reservation := range world.open {
		if reservation.allocator != world.allocators[host] {
			kept = append(kept, reservation)
		}
	}
	world.open = kept
}

// tellHolders passes on which hosts hold which programs, as digests do.
func (world *world) tellHolders() {
	for host, allocator := range world.allocators {
		begun := allocator.TakeReservedPrograms()
		for other, listener := range world.allocators {
			if other != host {
				listener.AddHolder(host, begun)
			}
		}
	}
}

// carryOutLate carries out the writes that were held back, if their conditions
// still hold.
func (world *world) carryOutLate() {
	for _, transaction := range world.store.late {
		_, _ = world.store.Memory.Commit(context.Background(), transaction)
	}
	world.store.late = nil
}

// couldHand is what callers have of a program, and may get without another
// write of the store.
func (world *world) couldHand(program string) int {
	tokens := world.handed[program]
	for _, allocator := range world.allocators {
		if account := allocator.accounts[program]; account != nil {
			tokens += account.free + account.open
		}
	}
	return tokens
}

func (world *world) reserve(host, program string, continues bool) error {
	reservation, err := world.allocators[host].Reserve(context.Background(), Turn{
		Program: program, Budget: testBudget, MaxTokens: testMost, Continues: continues, Retain: bvclock.Minute,
	})
	if err == nil {
		world.open = append(world.open, reservation)
	}
	world.tellHolders()
	return err
}

// Guards against tokens that are counted twice, whatever is lost, late or refused.
func TestBudgetIsNeverPassed(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		world := newWorld()
		hosts := rapid.SampledFrom([]string{"a", "a", "b", "b", "c"})
		programs := rapid.SampledFrom([]string{"p", "p", "p", "q"})
		rt.Repeat(map[string]func(*rapid.T){
			"reserve": func(rt *rapid.T) {
				world.store.next = rapid.SampledFrom([]string{"", "", "", "down", "lost", "late", "never"}).Draw(rt, "fault")
				world.lending = rapid.SampledFrom([]string{"", "", "lost", "late"}).Draw(rt, "lending")
				_ = world.reserve(hosts.Draw(rt, "host"), programs.Draw(rt, "program"), rapid.Bool().Draw(rt, "continues"))
			},
			"spend": func(rt *rapid.T) {
				if len(world.open) == 0 {
					return
				}
				reservation := world.open[rapid.IntRange(0, len(world.open)-1).Draw(rt, "turn")]
				for range rapid.IntRange(1, 30).Draw(rt, "events") {
					if reservation.Spend(testEvent) {
						world.handed[reservation.account.program] += testEvent
					}
				}
			},
			"end": func(rt *rapid.T) {
				if len(world.open) == 0 {
					return
				}
				at := rapid.IntRange(0, len(world.open)-1).Draw(rt, "turn")
				world.open[at].Close()
				world.open = append(world.open[:at], world.open[at+1:]...)
			},
			"pause": func(rt *rapid.T) {
				world.store.next = rapid.SampledFrom([]string{"", "down", "lost", "late", "never"}).Draw(rt, "fault")
				world.clock.Advance(defaultSettle)
				world.allocators[hosts.Draw(rt, "host")].ReleaseIdle(context.Background())
			},
			"late write": func(rt *rapid.T) {
				world.carryOutLate()
			},
			"late answer": func(rt *rapid.T) {
				for _, letter := range world.letters {
					world.allocators[letter.host].AcceptTokens(letter.program, letter.tokens, nil)
				}
				world.letters = nil
			},
			"die": func(rt *rapid.T) {
				host := hosts.Draw(rt, "host")
				world.dropTurnsOf(host)
				world.restart(host)
			},
			"": func(rt *rapid.T) {
				for _, program := range []string{"p", "q"} {
					if could := world.couldHand(program); could > testBudget {
						rt.Fatalf("program %s can get %d tokens of a budget of %d", program, could, testBudget)
					}
				}
			},
		})
	})
}

// The oracle above must notice an allocator that lends without giving up.
func TestOracleCatchesALenderThatKeepsWhatItLends(t *testing.T) {
	world := newWorld()
	require.NoError(t, world.reserve("a", "p", false))
	generous := world.allocators["a"].accounts["p"]
	for range 5 {
		generous.free = testMost
		require.NoError(t, world.reserve("b", "p", true))
	}
	for _, reservation := range world.open {
		for reservation.Spend(testEvent) {
			world.handed["p"] += testEvent
		}
	}
	require.Greater(t, world.handed["p"], testBudget)
}

// Guards against a spent budget that is forgotten with all hosts.
func TestStoppedProgramIsRefusedAfterAllHostsRestarted(t *testing.T) {
	world := newWorld()
	for world.reserve("a", "p", false) == nil {
		last := world.open[len(world.open)-1]
		for last.Spend(testEvent) {
			world.handed["p"] += testEvent
		}
		last.Close()
	}
	for host := range world.allocators {
		world.restart(host)
	}
	err := world.reserve("b", "p", false)
	require.Equal(t, bvverdict.PlatformUnavailable, bvverdict.From(err).Code(), "another host may not have been heard yet")
	require.Equal(t, bvverdict.NotRun, bvverdict.Of(err))
	world.clock.Advance(acquaintance)
	err = world.reserve("b", "p", false)
	require.Equal(t, bvverdict.BudgetExceeded, bvverdict.From(err).Code())
	require.Equal(t, bvverdict.NotRun, bvverdict.Of(err))
}

// Guards against a host that has heard nobody and says that a budget is spent.
func TestHostThatHasJustStartedSaysOfNoBudgetThatItIsSpent(t *testing.T) {
	world := newWorld()
	for _, host := range []string{"a", "b", "b"} {
		require.NoError(t, world.reserve(host, "p", host == "b"))
	}
	world.restart("c")
	world.deaf = true
	err := world.reserve("c", "p", true)
	require.Equal(t, bvverdict.PlatformUnavailable, bvverdict.From(err).Code())
	world.deaf = false
	for _, open := range world.open {
		open.Close()
	}
	require.NoError(t, world.reserve("c", "p", true))
}

// Guards against a turn that is refused though another host holds its tokens.
func TestTurnGoesOnThroughAnotherHostWhileTheStoreIsAway(t *testing.T) {
	world := newWorld()
	require.NoError(t, world.reserve("a", "p", false))
	world.open[0].Close()
	world.store.next = "down"
	require.NoError(t, world.reserve("b", "p", true))
}

// Guards against a budget that counts as spent while the store is away.
func TestLostStoreIsNoSpentBudget(t *testing.T) {
	world := newWorld()
	world.store.next = "down"
	err := bvverdict.From(world.reserve("a", "p", false))
	require.Equal(t, bvverdict.PlatformUnavailable, err.Code())
	require.Equal(t, bvverdict.NotRun, err.Verdict())
	require.Positive(t, err.RetryAfter())
}

// Guards against a program that ends with most of its budget unspent at other hosts.
func TestProgramCanSpendItsBudgetThroughAnyHost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		world := newWorld()
		told := rapid.Bool().Draw(rt, "digests arrive")
		spent := 0
		for turn := range 30 {
			host := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "host")
			reservation, err := world.allocators[host].Reserve(context.Background(), Turn{
				Program: "p", Budget: testBudget, MaxTokens: testMost, Continues: turn > 0, Retain: bvclock.Minute,
			})
			if told {
				world.tellHolders()
			}
			if err != nil {
				require.Equal(rt, bvverdict.BudgetExceeded, bvverdict.From(err).Code())
				require.Greater(rt, spent+testMost, testBudget, "refused although the budget holds the turn")
				return
			}
			for range rapid.IntRange(0, testMost/testEvent).Draw(rt, "events") {
				require.True(rt, reservation.Spend(testEvent))
				spent += testEvent
			}
			reservation.Close()
		}
	})
}

// Guards against a lost answer of another host that ends a program.
func TestUnansweredQuestionIsNoSpentBudget(t *testing.T) {
	world := newWorld()
	require.NoError(t, world.reserve("a", "p", false))
	require.NoError(t, world.reserve("b", "p", true))
	require.NoError(t, world.reserve("b", "p", true)) // the row has nothing left
	for _, open := range world.open {
		open.Close()
	}
	world.lending = "lost"
	err := bvverdict.From(world.reserve("c", "p", true))
	require.Equal(t, bvverdict.PlatformUnavailable, err.Code())
	require.Positive(t, err.RetryAfter())
}

// Guards against unspent tokens that the next host does not find.
func TestUnspentTokensAreGivenBack(t *testing.T) {
	world := newWorld()
	require.NoError(t, world.reserve("a", "p", false))
	require.True(t, world.open[0].Spend(testEvent))
	world.open[0].Close()
	world.clock.Advance(defaultSettle)
	world.allocators["a"].ReleaseIdle(context.Background())
	world.restart("a")
	for range 2 {
		require.NoError(t, world.reserve("b", "p", true))
	}
}

// Guards against a planned stop that takes unspent tokens along.
func TestPlannedStopGivesUpWhatIsUnspent(t *testing.T) {
	world := newWorld()
	require.NoError(t, world.reserve("a", "p", false))
	world.open[0].Close()
	world.allocators["a"].ReleaseUnspent(context.Background())
	world.restart("a")
	for range testBudget / testMost {
		require.NoError(t, world.reserve("b", "p", true))
	}
}

// Guards against tokens that are spent here and reserved by another host.
func TestTokensGivenBackInDoubtAreNotUsedAgain(t *testing.T) {
	world := newWorld()
	require.NoError(t, world.reserve("a", "p", false))
	world.open[0].Close()
	world.clock.Advance(defaultSettle)
	world.store.next = "late"
	world.allocators["a"].ReleaseIdle(context.Background())
	require.NotEmpty(t, world.store.late)
	require.NoError(t, world.reserve("a", "p", true))
	world.carryOutLate()
	for range 4 {
		_ = world.reserve("b", "p", true)
	}
	require.LessOrEqual(t, world.couldHand("p"), testBudget)
}

// Guards against an engine that generates more than it was asked for.
func TestMoreThanReservedIsNotHandedOut(t *testing.T) {
	world := newWorld()
	require.NoError(t, world.reserve("a", "p", false))
	require.True(t, world.open[0].Spend(testMost))
	require.False(t, world.open[0].Spend(testEvent))
}

// Guards against rows of programs that are long over.
func TestRowIsRemovedAfterItsTime(t *testing.T) {
	world := newWorld()
	require.NoError(t, world.reserve("a", "p", false))
	world.open[0].Close()
	world.clock.Advance(bvclock.Minute + forgetAfter + 1)
	world.allocators["a"].ReleaseIdle(context.Background())
	rows, err := world.store.Memory.Scan(context.Background(), "budget/", "", 10)
	require.NoError(t, err)
	require.Empty(t, rows)
	require.Zero(t, world.allocators["a"].Len())
}
