package bvdispatch

import (
	"cmp"
	"slices"

	"balsamvalve.example/bvclock"
)

// How fast the engines of a service read prompts is learnt from the calls that this
// host sends there: the time from sending to the first event grows by it with each
// token that is not cached. One user's engines read 336 tokens in a millisecond and
// another one's 110; with the first figure on the second's engines, conversations
// left engines that had them too easily: the crowded days with 13 and 64 hosts earned
// 0.886 and 0.627 of their worth, in place of 0.905 and 0.698 with about the second.
const (
	// readingSamples are the calls that the estimate goes by. A host of the users'
	// sites has as many in half a minute; with a quarter of them, the estimate is
	// off by a factor of four now and then, where engines read 336 tokens in a
	// millisecond and other calls take 12 at random.
	readingSamples = 512
	// readingEvery is the number of calls between two estimates.
	readingEvery = 32
	// leastSpread is by how many tokens two calls must differ to be compared:
	// fewer take less time than other calls' chance delays.
	leastSpread = 256
	// startRate is what is taken, in tokens a millisecond, until there is an
	// estimate: that of the fastest engines of the users. A host that has just
	// started knows of few prompts where they are cached; with 150, its calls crowd
	// at the engines that it knows, and the day on which all hosts of obala-surf are
	// restarted in turn earned 0.72 in place of 0.76 (means of two seeds).
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
