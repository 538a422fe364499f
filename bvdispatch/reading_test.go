package bvdispatch

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"balsamvalve.example/bvclock"
)

// timeToFirstEvent returns how long a call takes until its first event at engines that read
// the given number of tokens in a millisecond: the time to read the prompt, for one or two
// steps of the engine, and for other calls meanwhile.
func timeToFirstEvent(random *rand.Rand, tokens int, rate float64) bvclock.Duration {
	return bvclock.Duration(float64(tokens)/rate + 6 + 12*random.ExpFloat64())
}

// newTokens draws the number of tokens that a turn adds to a conversation, with the
// distribution of the users' sheets.
func newTokens(random *rand.Rand) int {
	return int(min(600*math.Exp(0.7*random.NormFloat64()), 5000))
}

// estimateRate estimates the rate from calls of which a share are outliers: their prompts
// were not cached although they were estimated to be, or their engine hung.
func estimateRate(seed uint64, calls int, rate, outliers float64) float64 {
	random := rand.New(rand.NewPCG(seed, seed))
	var reading readingEstimator
	for range calls {
		tokens := newTokens(random)
		took := timeToFirstEvent(random, tokens, rate)
		if random.Float64() < outliers {
			took += bvclock.Duration(random.IntN(2000))
		}
		reading.add(tokens, took)
	}
	return reading.tokensPerMillisecond()
}

// Guards against decisions by a reading rate that is far from the engines' real one.
func TestReadingRateOfUnknownEnginesIsEstimated(t *testing.T) {
	for _, rate := range []float64{11, 34, 110, 336} {
		for seed := range uint64(20) {
			found := estimateRate(seed, maxReadingSamples, rate, 0)
			require.Greater(t, found, rate/2, "rate %v, seed %d", rate, seed)
			require.Less(t, found, rate*2, "rate %v, seed %d", rate, seed)
		}
	}
	for seed := range uint64(20) {
		found := estimateRate(seed, maxReadingSamples, 3360, 0)
		require.Greater(t, found, 336.0, "seed %d: too fast to tell from random delays, but never taken for slow", seed)
	}
}

// Guards against calls with unusual times that distort the estimate.
func TestReadingRateIsEstimatedDespiteOutliers(t *testing.T) {
	for seed := range uint64(20) {
		found := estimateRate(seed, maxReadingSamples, 110, 0.2)
		require.Greater(t, found, 110/3.0, "seed %d", seed)
		require.Less(t, found, 110*3.0, "seed %d", seed)
	}
}

// Guards against an estimate from too few calls, or from prompts of one size.
func TestReadingRateIsTheDefaultWithoutUsableCalls(t *testing.T) {
	require.InDelta(t, defaultReadingRate, estimateRate(1, samplesPerEstimate-1, 34, 0), 0)
	var reading readingEstimator
	for range 1000 {
		reading.add(700, 90)
	}
	require.InDelta(t, defaultReadingRate, reading.tokensPerMillisecond(), 0)
}

// Guards against an estimate that is negative, zero, not a number or infinite.
func TestReadingRateStaysWithinItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reading readingEstimator
		for range rapid.IntRange(0, 300).Draw(t, "calls") {
			tokens := rapid.IntRange(0, 1<<30).Draw(t, "tokens")
			took := rapid.Int64Range(0, 1<<40).Draw(t, "took")
			reading.add(tokens, bvclock.Duration(took))
		}
		rate := reading.tokensPerMillisecond()
		require.GreaterOrEqual(t, rate, 1.0*minReadingRate)
		require.LessOrEqual(t, rate, 1.0*maxReadingRate)
	})
}

// Guards against an estimate that does not follow when the engines become slower.
func TestReadingRateFollowsTheEngines(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	var reading readingEstimator
	for _, rate := range []float64{336, 34} {
		for range 2 * maxReadingSamples {
			tokens := newTokens(random)
			reading.add(tokens, timeToFirstEvent(random, tokens, rate))
		}
	}
	require.InDelta(t, 34, reading.tokensPerMillisecond(), 15)
}
