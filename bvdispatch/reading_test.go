package bvdispatch

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"balsamvalve.example/bvclock"
)

// firstEvent is how long a call takes until its first event at engines that read
// the given number of tokens in a millisecond: the reading, a step or two, and what
// others take meanwhile.
func firstEvent(random *rand.Rand, tokens int, rate float64) bvclock.Duration {
	return bvclock.Duration(float64(tokens)/rate + 6 + 12*random.ExpFloat64())
}

// newTokens draws what a turn adds to a conversation, as the users' sheets have it.
func newTokens(random *rand.Rand) int {
	return int(min(600*math.Exp(0.7*random.NormFloat64()), 5000))
}

// learnt lets a reading learn from calls, of which a share is off: their prompts
// were not cached though they were thought to be, or their engine hung.
func learnt(seed uint64, calls int, rate, off float64) float64 {
	random := rand.New(rand.NewPCG(seed, seed))
	var reading reading
	for range calls {
		tokens := newTokens(random)
		took := firstEvent(random, tokens, rate)
		if random.Float64() < off {
			took += bvclock.Duration(random.IntN(2000))
		}
		reading.add(tokens, took)
	}
	return reading.tokensPerMillisecond()
}

// Guards against placement by a reading rate that the engines don't have.
func TestReadingRateOfUnseenEnginesIsLearnt(t *testing.T) {
	for _, rate := range []float64{11, 34, 110, 336} {
		for seed := range uint64(20) {
			found := learnt(seed, readingSamples, rate, 0)
			require.Greater(t, found, rate/2, "rate %v, seed %d", rate, seed)
			require.Less(t, found, rate*2, "rate %v, seed %d", rate, seed)
		}
	}
	for seed := range uint64(20) {
		found := learnt(seed, readingSamples, 3360, 0)
		require.Greater(t, found, 336.0, "seed %d: too fast to be told from chance, and never slow", seed)
	}
}

// Guards against calls with unusual times that spoil the learnt rate.
func TestReadingRateIsLearntBesideCallsThatAreOff(t *testing.T) {
	for seed := range uint64(20) {
		found := learnt(seed, readingSamples, 110, 0.2)
		require.Greater(t, found, 110/3.0, "seed %d", seed)
		require.Less(t, found, 110*3.0, "seed %d", seed)
	}
}

// With few calls, or with prompts of one size, nothing is learnt.
func TestReadingRateIsTheStartsWithoutCallsThatTell(t *testing.T) {
	require.InDelta(t, startRate, learnt(1, readingEvery-1, 34, 0), 0)
	var reading reading
	for range 1000 {
		reading.add(700, 90)
	}
	require.InDelta(t, startRate, reading.tokensPerMillisecond(), 0)
}

// Guards against an estimate that is negative, none or without end.
func TestReadingRateStaysWithinItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reading reading
		for range rapid.IntRange(0, 300).Draw(t, "calls") {
			tokens := rapid.IntRange(0, 1<<30).Draw(t, "tokens")
			took := rapid.Int64Range(0, 1<<40).Draw(t, "took")
			reading.add(tokens, bvclock.Duration(took))
		}
		rate := reading.tokensPerMillisecond()
		require.GreaterOrEqual(t, rate, 1.0*leastRate)
		require.LessOrEqual(t, rate, 1.0*mostRate)
	})
}

// Guards against a learnt rate that does not follow slower engines.
func TestReadingRateFollowsTheEngines(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	var reading reading
	for _, rate := range []float64{336, 34} {
		for range 2 * readingSamples {
			tokens := newTokens(random)
			reading.add(tokens, firstEvent(random, tokens, rate))
		}
	}
	require.InDelta(t, 34, reading.tokensPerMillisecond(), 15)
}
