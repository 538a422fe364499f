package bvdispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvroute"
)

// digestOfDecisions makes drawn decisions over endpoints that report three figures, and returns a hash of
// them all.
func digestOfDecisions(endpoints int) uint64 {
	pool, random, digest := NewPool(3, "z0"), rand.New(rand.NewPCG(5, 5)), xxhash.New()
	listed := make([]bvplatform.Endpoint, endpoints)
	for i := range listed {
		listed[i] = bvplatform.Endpoint{Name: fmt.Sprintf("e%03d", i), Zone: fmt.Sprintf("z%d", i%3), Slots: 4, CacheTokens: 60_000}
	}
	pool.SetEndpoints(listed)
	var running []string
	for now := bvclock.Time(1); now < 8000; now += 3 {
		request := prompt(random.Uint64N(6), 1000+random.Uint64N(200))
		_, admitted := pool.Admit(now, NewProgram{Priority: random.IntN(3)})
		chosen, _ := pool.Choose(now, request)
		_, _ = fmt.Fprintln(digest, admitted, chosen.Name, pool.Shortlist(now, request)) // writing to a hash can't fail
		pool.BeginCall(now, chosen.Name, request)
		running = append(running, chosen.Name)
		if len(running) > 3*endpoints {
			ended, slow := running[0], bvclock.Duration(1+random.IntN(3))
			running = running[1:]
			pool.SetLoad(now, ended, bvroute.Load{Running: random.IntN(6), Waiting: random.IntN(2), Slots: 4})
			pool.EndCall(now, ended, Result{Outcome: Served, Duration: 200 * slow, AnswerStarted: true, Pace: 20 * slow, UncachedTokens: random.IntN(9000), TimeToFirstEvent: 30 * slow})
			pool.AddPeerReport(now, HashID(ended), OutcomeReport{Calls: 2, PacedCalls: 2, PaceMs: 40 * int(slow)})
		}
	}
	return digest.Sum64()
}

// Guards against decisions that change for services whose endpoints report no pace. The hashes are
// those of the decisions without speeds.
func TestDecisionsWithoutPaceAreThoseWithoutSpeeds(t *testing.T) {
	require.Equal(t, uint64(0xdbe35f726a4bc8d4), digestOfDecisions(24))
	require.Equal(t, uint64(0x964d16d052538e7d), digestOfDecisions(600), "with sampled candidates")
}
