package bvdispatch

import (
	"cmp"
	"slices"

	"balsamvalve.example/bvclock"
)

// The rate at which the engines of a service read (prefill) prompts is estimated from this
// host's calls: the time to the first event grows with each token that is not cached.
// Engines differ by a factor of several; if the rate is estimated too high, conversations
// move too easily from the engines that have them cached.
const (
	// maxReadingSamples is the number of calls that the estimate uses. With few of them,
	// random delays at fast engines distort it by a factor of several.
	maxReadingSamples = 512
	// samplesPerEstimate is the number of new calls between two estimates.
	samplesPerEstimate = 32
	// minTokenSpread is the least difference in tokens between two calls that are
	// compared: reading fewer takes less time than the random delays by other calls.
	minTokenSpread = 256
	// defaultReadingRate is the rate, in tokens a millisecond, that is assumed until there
	// is an estimate: that of fast engines. A host that has just started knows for few
	// prompts where they are cached; if reading weighed much, its calls would pile up at
	// these engines.
	defaultReadingRate = 336
	// minReadingRate and maxReadingRate bound the estimate, in tokens a millisecond.
	minReadingRate = 1
	maxReadingRate = 5000
)

// readingEstimator estimates how fast the engines of one service read prompts. It compares
// calls that read many tokens with calls that read few and takes the median of the slopes,
// so that up to a third of the calls may be outliers of any kind: prompts that were not
// cached though they should have been, engines that are slow or hang, and calls that
// waited. The zero value has no samples.
type readingEstimator struct {
	samples [maxReadingSamples]readingSample
	count   int
	rate    float64 // tokens a millisecond; 0: unknown
}

// readingSample is one call.
type readingSample struct {
	tokens       int // that were estimated not to be cached
	toFirstEvent bvclock.Duration
}

// add records the time of a call until its first event.
func (estimator *readingEstimator) add(tokens int, toFirstEvent bvclock.Duration) {
	estimator.samples[estimator.count%maxReadingSamples] = readingSample{tokens, toFirstEvent}
	estimator.count++
	if estimator.count%samplesPerEstimate == 0 {
		estimator.estimate()
	}
}

// estimate compares the samples of the lower half, by tokens, with those of the
// upper half.
func (estimator *readingEstimator) estimate() {
	sorted := slices.Clone(estimator.samples[:min(estimator.count, maxReadingSamples)])
	slices.SortFunc(sorted, func(a, b readingSample) int { return cmp.Compare(a.tokens, b.tokens) })
	half := len(sorted) / 2
	var slopes []slope
	for i := range half {
		few, many := sorted[i], sorted[len(sorted)-half+i]
		if spread := many.tokens - few.tokens; spread >= minTokenSpread {
			slopes = append(slopes, slope{float64(many.toFirstEvent-few.toFirstEvent) / float64(spread), float64(spread)})
		}
	}
	if len(slopes) < samplesPerEstimate/4 {
		return // the calls differ too little
	}
	estimator.rate = 1 / min(max(weightedMedian(slopes), 1.0/maxReadingRate), 1.0/minReadingRate)
}

// slope is the time per token, in milliseconds, that follows from two calls. Its weight is
// the difference in tokens between them: the greater, the more reliable the slope.
type slope struct {
	value, weight float64
}

func weightedMedian(slopes []slope) float64 {
	slices.SortFunc(slopes, func(a, b slope) int { return cmp.Compare(a.value, b.value) })
	totalWeight := 0.0
	for _, slope := range slopes {
		totalWeight += slope.weight
	}
	below := 0.0
	for _, slope := range slopes {
		if below += slope.weight; below >= totalWeight/2 {
			return slope.value
		}
	}
	return 0
}

// tokensPerMillisecond returns the estimated rate, or the default without an estimate.
func (estimator *readingEstimator) tokensPerMillisecond() float64 {
	if estimator.rate == 0 {
		return defaultReadingRate
	}
	return estimator.rate
}
