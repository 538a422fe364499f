package bvbudget

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvlease"
	"balsamvalve.example/bvverdict"
)

// oneGrantor lets one process of host a grant for all programs, as bvlease does:
// never another one after it, unless it went on from what that one left behind.
type oneGrantor struct {
	world       *world
	incarnation string // the process that may grant
}

func (grantor *oneGrantor) Holder(string) (bvlease.Host, bool) {
	return bvlease.Host{Name: "a", Incarnation: grantor.world.allocators["a"].host, Address: "a"}, true
}

func (grantor *oneGrantor) MayGrant(bvclock.Time, string, bvclock.Duration) bool { return false }

// grantorAt is the view of one host.
type grantorAt struct {
	*oneGrantor
	self string
}

func (grantor grantorAt) MayGrant(bvclock.Time, string, bvclock.Duration) bool {
	return grantor.self == grantor.incarnation
}

func newHalvesWorld() (*world, *oneGrantor) {
	world := newWorld()
	grantor := &oneGrantor{world: world, incarnation: world.allocators["a"].host}
	for _, allocator := range world.allocators {
		allocator.SetGrantors(grantorAt{grantor, allocator.host})
	}
	return world, grantor
}

// again restarts a host; with handover, what it granted goes with it.
func (grantor *oneGrantor) again(host string, handover bool) {
	before := grantor.world.allocators[host]
	grantor.world.restart(host)
	next := grantor.world.allocators[host]
	next.SetGrantors(grantorAt{grantor, next.host})
	if handover && before.host == grantor.incarnation {
		next.ImportGrants(before.ExportGrants())
		grantor.incarnation = next.host
	}
}

// Guards against a budget that both halves together pass by more than a turn.
func TestHalvesNeverPassTheBudgetByMoreThanATurn(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		world, grantor := newHalvesWorld()
		hosts := rapid.SampledFrom([]string{"a", "a", "b", "b", "c"})
		programs := rapid.SampledFrom([]string{"p", "p", "p", "q"})
		rt.Repeat(map[string]func(*rapid.T){
			"reserve": func(rt *rapid.T) {
				world.store.next = rapid.SampledFrom([]string{"", "", "down", "lost", "late", "never"}).Draw(rt, "fault")
				world.lending = rapid.SampledFrom([]string{"", "", "lost", "late"}).Draw(rt, "lending")
				_ = world.reserve(hosts.Draw(rt, "host"), programs.Draw(rt, "program"), rapid.Bool().Draw(rt, "continues"))
			},
			"spend and end": func(rt *rapid.T) {
				if len(world.open) == 0 {
					return
				}
				at := rapid.IntRange(0, len(world.open)-1).Draw(rt, "turn")
				world.spendAndEnd(at, rapid.IntRange(0, 30).Draw(rt, "events"))
			},
			"pause": func(rt *rapid.T) {
				world.clock.Advance(defaultSettle)
				world.allocators[hosts.Draw(rt, "host")].ReleaseIdle(context.Background())
			},
			"late": func(rt *rapid.T) {
				world.carryOutLate()
				for _, letter := range world.letters {
					world.allocators[letter.host].AcceptTokens(letter.program, letter.tokens, nil)
				}
				world.letters = nil
			},
			"die or stop": func(rt *rapid.T) {
				host := hosts.Draw(rt, "host")
				world.dropTurnsOf(host)
				grantor.again(host, rapid.Bool().Draw(rt, "planned"))
			},
			"": func(rt *rapid.T) {
				for _, program := range []string{"p", "q"} {
					if could := world.couldHand(program); could > testBudget+testMost {
						rt.Fatalf("program %s can get %d tokens of a budget of %d", program, could, testBudget)
					}
				}
			},
		})
	})
}

// The oracle above must notice a grantor that forgets what it granted.
func TestOracleCatchesAForgetfulGrantor(t *testing.T) {
	world, _ := newHalvesWorld()
	for range 3 {
		for world.reserve("b", "p", true) == nil {
			world.spendAndEnd(len(world.open)-1, testMost/testEvent)
		}
		clear(world.allocators["a"].grants)
	}
	require.Greater(t, world.couldHand("p"), testBudget+testMost)
}

// Guards against programs that need the store to begin.
func TestProgramBeginsWhileTheStoreIsAway(t *testing.T) {
	world, _ := newHalvesWorld()
	for turn, host := range []string{"b", "c", "a"} {
		world.store.next = "down"
		require.NoError(t, world.reserve(host, "p", turn > 0), "turn %d", turn)
		world.spendAndEnd(0, 12) // about half of what a turn may generate
	}
}

// Guards against a program that ends early with its grantor.
func TestProgramGoesOnWithTheRowWhenItsGrantorDied(t *testing.T) {
	world, grantor := newHalvesWorld()
	require.NoError(t, world.reserve("b", "p", false))
	world.spendAndEnd(0, testMost/testEvent)
	grantor.again("a", false)
	for range half(testBudget, testMost) / testMost {
		require.NoError(t, world.reserve("c", "p", true))
		world.spendAndEnd(0, testMost/testEvent)
	}
}

// Guards against grants that are lost, or made twice, by a planned restart.
func TestGrantsGoOnAfterAPlannedRestart(t *testing.T) {
	world, grantor := newHalvesWorld()
	require.NoError(t, world.reserve("b", "p", false))
	left := world.allocators["a"].grants["p"].left
	grantor.again("a", true)
	require.Equal(t, left, world.allocators["a"].grants["p"].left)
	require.NoError(t, world.reserve("c", "q", false))
}

// Guards against a program that gets less than its budget.
func TestLoopingProgramGetsBothHalves(t *testing.T) {
	world, _ := newHalvesWorld()
	world.clock.Advance(acquaintance)
	var err error
	for turn := 0; err == nil; turn++ {
		host := fmt.Sprintf("%c", 'a'+turn%3)
		if err = world.reserve(host, "p", turn > 0); err == nil {
			world.spendAndEnd(0, testMost/testEvent)
		}
	}
	require.Equal(t, bvverdict.BudgetExceeded, bvverdict.From(err).Code())
	require.Greater(t, world.handed["p"]+testMost, testBudget)
	require.LessOrEqual(t, world.handed["p"], testBudget+testMost)
}

// Guards against a lost half that counts as spent.
func TestLostHalfIsNoSpentBudget(t *testing.T) {
	world, grantor := newHalvesWorld()
	world.clock.Advance(acquaintance)
	grantor.again("a", false)
	world.clock.Advance(acquaintance)
	for _, host := range []string{"a", "b"} {
		var err error
		for err == nil {
			if err = world.reserve(host, "p", false); err == nil {
				world.spendAndEnd(0, testMost/testEvent)
			}
		}
		require.Equal(t, bvverdict.PlatformUnavailable, bvverdict.From(err).Code(), "through host %s", host)
	}
	require.Equal(t, half(testBudget, testMost)/testMost*testMost, world.handed["p"])
}

// Guards against a wrong host's no that counts as the grantor's.
func TestHostThatIsWronglyTakenForTheGrantorDeniesNothing(t *testing.T) {
	world, _ := newHalvesWorld()
	want := TokenRequest{Program: "p", Tokens: testMost, Budget: testBudget, MaxTokens: testMost, Partial: true}
	require.Equal(t, TokenReply{}, world.allocators["b"].LendTokens("c", want))
	want.AsGrantor = true
	require.Equal(t, TokenReply{Undecided: true}, world.allocators["b"].LendTokens("c", want))
}

// A program is over for so long that it can't come back. Its grantor forgets it.
func TestGrantorForgetsProgramsThatAreOver(t *testing.T) {
	world, _ := newHalvesWorld()
	require.NoError(t, world.reserve("b", "p", false))
	require.Len(t, world.allocators["a"].grants, 1)
	world.clock.Advance(bvclock.Minute + bvlease.MaxProgramTime + 1)
	world.allocators["a"].ReleaseIdle(context.Background())
	require.Empty(t, world.allocators["a"].grants)
}
