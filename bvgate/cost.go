package bvgate

import "balsamvalve.example/bvclock"

// Cost converts tokens into engine work and time. A zero field stands for its default.
type Cost struct {
	// PrefillWork and DecodeWork are the work per uncached prompt token and per
	// generated token; 0.1 and 1.
	PrefillWork Work
	DecodeWork  Work
	// PrefillRate is how many prompt tokens an endpoint processes per second; 8,000.
	PrefillRate float64
	// DecodeRate is how many tokens per second a call generates when it runs alone; 60.
	DecodeRate float64
	// Slowdown is the fraction by which each further call in a batch increases the time
	// per generated token; 0.05.
	Slowdown float64
}

const (
	defaultPrefillWork  Work = 0.1
	defaultDecodeWork   Work = 1
	defaultPrefillRate       = 8000
	defaultDecodeRate        = 60
	defaultSlowdown          = 0.05
	defaultOutputTokens      = 200
)

func (cost Cost) withDefaults() Cost {
	if cost.PrefillWork == 0 {
		cost.PrefillWork = defaultPrefillWork
	}
	if cost.DecodeWork == 0 {
		cost.DecodeWork = defaultDecodeWork
	}
	if cost.PrefillRate == 0 {
		cost.PrefillRate = defaultPrefillRate
	}
	if cost.DecodeRate == 0 {
		cost.DecodeRate = defaultDecodeRate
	}
	if cost.Slowdown == 0 {
		cost.Slowdown = defaultSlowdown
	}
	return cost
}

// Work returns the engine work of a call.
func (cost Cost) Work(uncachedTokens, outputTokens int) Work {
	cost = cost.withDefaults()
	return Work(max(uncachedTokens, 0))*cost.PrefillWork + Work(max(outputTokens, 0))*cost.DecodeWork
}

func (cost Cost) prefillTime(tokens int) float64 {
	return float64(max(tokens, 0)) / cost.withDefaults().PrefillRate * float64(bvclock.Second)
}

func (cost Cost) decodeTime(tokens, batch int) float64 {
	cost = cost.withDefaults()
	alone := float64(tokens) / cost.DecodeRate * float64(bvclock.Second)
	return alone * (1 + cost.Slowdown*float64(max(batch-1, 0)))
}

// average is an exponentially weighted moving average. The zero value has no samples.
type average struct {
	value      float64
	hasSamples bool
}

const averageGain = 0.05

func (average *average) add(sample float64) {
	if !average.hasSamples {
		average.value, average.hasSamples = sample, true
		return
	}
	average.value += averageGain * (sample - average.value)
}

func (average average) valueOr(fallback float64) float64 {
	if !average.hasSamples {
		return fallback
	}
	return average.value
}
