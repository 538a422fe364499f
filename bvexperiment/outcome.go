package bvexperiment

import (
	"math"
	"slices"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgate"
)

// Outcome is what one run came to. Times are in milliseconds.
type Outcome struct {
	Latency       Latency            `json:"latency"`
	Members       map[string]Latency `json:"members"`
	Answers       int                `json:"answers"`
	Unfinished    int                `json:"unfinished"`
	Failed        int                `json:"failed"`
	Wasted        float64            `json:"wasted_token_seconds"`
	WastedEvicted float64            `json:"wasted_evicted_token_seconds"`
	WastedEnded   float64            `json:"wasted_ended_token_seconds"`
	Reprefilled   float64            `json:"reprefilled"` // part of all prefilled tokens
	ShareError    float64            `json:"share_error"` // worst window
	ShareMedian   float64            `json:"share_error_median"`
	Twice         float64            `json:"work_twice"`
	Refusals      int                `json:"refusals"`
	RefusalDelay  float64            `json:"refusal_delay_ms"`     // 99th percentile
	RetryAfter    float64            `json:"retry_after_factor"`   // median
	RetryTold     float64            `json:"retry_after_told_ms"`  // median
	RetryReal     float64            `json:"retry_after_taken_ms"` // median time until requests were taken
	CrashLost     int                `json:"calls_lost_by_crash"`
	PoisonCrashes int                `json:"poison_crashes"`
	SentToLeaving int                `json:"sent_to_leaving"`
	CutOff        int                `json:"cut_off"`
}

// Latency is the time from a program's first call to the answer that a person
// waits for.
type Latency struct {
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
}

const tokenMillisecondsPerTokenSecond = 1000

// summarize works the records of a run out.
func summarize(scenario *Scenario, records *records) Outcome {
	outcome := Outcome{
		Failed:        records.failed,
		Wasted:        records.waste.Total() / tokenMillisecondsPerTokenSecond,
		WastedEvicted: records.waste.Evicted / tokenMillisecondsPerTokenSecond,
		WastedEnded:   records.waste.Ended / tokenMillisecondsPerTokenSecond,
		Reprefilled:   ratio(records.repeatedPrefill, records.prefilled),
		Twice:         ratio(records.lost, records.servedAfterCrash-records.servedAtCrash),
		CrashLost:     records.crashLost,
		PoisonCrashes: records.poisoned,
		SentToLeaving: records.sentToLeaving,
		CutOff:        records.cutOff,
	}
	outcome.summarizeLatency(scenario, records.samples)
	outcome.ShareMedian, outcome.ShareError = shareErrors(scenario, records.windows)
	outcome.summarizeRefusals(records.asks)
	return outcome
}

func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

func (outcome *Outcome) summarizeLatency(scenario *Scenario, samples []sample) {
	var all []float64
	byMember := make(map[string][]float64)
	for _, sample := range samples {
		if !scenario.counts(sample) {
			continue
		}
		outcome.Answers++
		if !sample.finished {
			outcome.Unfinished++
		}
		all = append(all, float64(sample.took))
		byMember[sample.member] = append(byMember[sample.member], float64(sample.took))
	}
	outcome.Latency = latencyOf(all)
	outcome.Members = make(map[string]Latency)
	for _, share := range scenario.members {
		outcome.Members[share.Member] = latencyOf(byMember[share.Member])
	}
}

// counts reports whether a sample belongs to the measured time.
func (scenario *Scenario) counts(sample sample) bool {
	if sample.class == classLoop {
		return false
	}
	return !sample.started.Before(scenario.measureFrom) && sample.started.Before(scenario.measureTo)
}

func latencyOf(samples []float64) Latency {
	return Latency{P50: percentile(samples, 0.50), P99: percentile(samples, 0.99)}
}

// percentile is the nearest-rank percentile; 0 for no samples.
func percentile(samples []float64, part float64) float64 {
	if len(samples) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(samples))
	rank := int(math.Ceil(part*float64(len(sorted)))) - 1
	return sorted[max(rank, 0)]
}

// shareErrors returns the median and the largest error of any member's share of
// the work in a window, relative to its weight's share. It is of use only where
// all members always wait for more.
func shareErrors(scenario *Scenario, windows [][]float64) (median, worst float64) {
	weights := 0.0
	for _, share := range scenario.members {
		weights += share.Weight
	}
	var errors []float64
	for at := 1; at < len(windows); at++ {
		total := 0.0
		for member := range windows[at] {
			total += windows[at][member] - windows[at-1][member]
		}
		worstOfWindow := 0.0
		for member, share := range scenario.members {
			due := share.Weight / weights
			got := ratio(windows[at][member]-windows[at-1][member], total)
			worstOfWindow = max(worstOfWindow, math.Abs(got-due)/due)
		}
		errors = append(errors, worstOfWindow)
	}
	return percentile(errors, 0.50), percentile(errors, 1)
}

func (outcome *Outcome) summarizeRefusals(asks []asked) {
	var delays []float64
	lines := make(map[lineKey]*line)
	for _, asked := range asks {
		if asked.refused {
			outcome.Refusals++
			delays = append(delays, float64(asked.refusedAt.Sub(asked.at)))
		}
		key := lineKey{asked.member, asked.starts}
		if lines[key] == nil {
			lines[key] = &line{waiting: make(map[bvgate.RequestID]bool)}
		}
		lines[key].add(asked)
	}
	outcome.RefusalDelay = percentile(delays, 0.99)
	var told, taken, factors []float64
	for _, key := range sortedLines(lines) {
		for _, refusal := range lines[key].refusals {
			if at, ok := lines[key].takenAt(refusal); ok {
				told = append(told, float64(refusal.wait))
				taken = append(taken, float64(at.Sub(refusal.refusedAt)))
				factors = append(factors, factor(refusal.wait, at.Sub(refusal.refusedAt)))
			}
		}
	}
	outcome.RetryAfter = percentile(factors, 0.50)
	outcome.RetryTold = percentile(told, 0.50)
	outcome.RetryReal = percentile(taken, 0.50)
}

// factor is how far two durations are apart, the larger over the smaller. Both
// count as at least a second, the unit of the Retry-After header.
func factor(told, real bvclock.Duration) float64 {
	a := float64(max(told, bvclock.Second))
	b := float64(max(real, bvclock.Second))
	return max(a, b) / min(a, b)
}
