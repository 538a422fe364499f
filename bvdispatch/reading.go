package bvdispatch

import (
	"cmp"
	"slices"

	"balsamvalve.example/bvclock"
)

// How fast the engines of a service read prompts is learnt from the calls that this
// host sends there: the time from sending to the first event grows by it with each
// token that is not cached. Engines differ by some times; taken for faster than they
// are, conversations leave the engines that have them too easily.
const (
	// readingSamples are the calls that the estimate goes by. With few of them, chance
	// delays of fast engines put it off by some times.
	readingSamples = 512
	// readingEvery is the number of calls between two estimates.
	readingEvery = 32
	// leastSpread is by how many tokens two calls must differ to be compared:
	// fewer take less time than other calls' chance delays.
	leastSpread = 256
	// startRate is what is taken, in tokens a millisecond, until there is an
	// estimate: that of fast engines. A host that has just started knows of few
	// prompts where they are cached; if reading weighs much, its calls crowd at the
	// engines that it knows.
	startRate = 336
	// leastRate and mostRate bound the estimate, in tokens a millisecond.
	leastRate = 1
	mostRate  = 5000
)

// reading estimates how fast the engines of one service read. It compares calls
// that read much with calls that read little and takes the median of the slopes,
// so that up to a third of the calls may be off in any way: prompts that were
// not cached though they should have been, engines that are slow or hang, and
// calls that waited. The zero value knows nothing.
type reading struct {
	samples [readingSamples]readingSample
	count   int
	rate    float64 // tokens a millisecond; 0: not known
}

// readingSample is one call.
type readingSample struct {
	tokens int // that are thought not to have been cached
	took   bvclock.Duration
}

// add takes in how long a call took until its first event.
func (reading *reading) add(tokens int, took bvclock.Duration) {
	reading.samples[reading.count%readingSamples] = readingSample{tokens, took}
	reading.count++
	if reading.count%readingEvery == 0 {
		reading.estimate()
	}
}

// estimate compares the samples of the lower half, by tokens, with those of the
// upper half.
func (reading *reading) estimate() {
	sorted := slices.Clone(reading.samples[:min(reading.count, readingSamples)])
	slices.SortFunc(sorted, func(a, b readingSample) int { return cmp.Compare(a.tokens, b.tokens) })
	half := len(sorted) / 2
	var slopes []slope
	for i := range half {
		few, many := sorted[i], sorted[len(sorted)-half+i]
		if spread := many.tokens - few.tokens; spread >= leastSpread {
			slopes = append(slopes, slope{float64(many.took-few.took) / float64(spread), float64(spread)})
		}
	}
	if len(slopes) < readingEvery/4 {
		return // calls differ too little to tell
	}
	reading.rate = 1 / min(max(weightedMedian(slopes), 1.0/mostRate), 1.0/leastRate)
}

// slope is what two calls say: milliseconds a token, the surer the more tokens lie
// between them.
type slope struct {
	value, weight float64
}

func weightedMedian(slopes []slope) float64 {
	slices.SortFunc(slopes, func(a, b slope) int { return cmp.Compare(a.value, b.value) })
	whole := 0.0
	for _, slope := range slopes {
		whole += slope.weight
	}
	below := 0.0
	for _, slope := range slopes {
		if below += slope.weight; below >= whole/2 {
			return slope.value
		}
	}
	return 0
}

// tokensPerMillisecond is the rate to go by.
func (reading *reading) tokensPerMillisecond() float64 {
	if reading.rate == 0 {
		return startRate
	}
	return reading.rate
}
