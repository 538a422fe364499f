package bvexperiment

import (
	"math"
	"slices"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgate"
)

// Outcome holds the figures of one run. Times are in milliseconds.
type Outcome struct {
	Latency          Latency            `json:"latency"`
	Members          map[string]Latency `json:"members"`
	Answers          int                `json:"answers"`
	Unfinished       int                `json:"unfinished"`
	Failed           int                `json:"failed"`
	Wasted           float64            `json:"wasted_token_seconds"`
	WastedEvicted    float64            `json:"wasted_evicted_token_seconds"`
	WastedEnded      float64            `json:"wasted_ended_token_seconds"`
	RecomputedShare  float64            `json:"reprefilled"` // fraction of all prefilled tokens
	ShareError       float64            `json:"share_error"` // worst window
	ShareMedian      float64            `json:"share_error_median"`
	RepeatedWork     float64            `json:"work_twice"`
	Refusals         int                `json:"refusals"`
	RefusalDelay     float64            `json:"refusal_delay_ms"`     // 99th percentile
	RetryAfterFactor float64            `json:"retry_after_factor"`   // median
	RetryAfterSent   float64            `json:"retry_after_told_ms"`  // median
	RetryAfterActual float64            `json:"retry_after_taken_ms"` // median time until requests were accepted
	CrashLost        int                `json:"calls_lost_by_crash"`
	PoisonCrashes    int                `json:"poison_crashes"`
	SentToLeaving    int                `json:"sent_to_leaving"`
	CutOff           int                `json:"cut_off"`
}

// Latency is the time from the first call of an exchange to the answer that a
// person waits for.
type Latency struct {
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
}

const tokenMillisecondsPerTokenSecond = 1000

// summarize computes the figures of a run from its records.
func summarize(scenario *Scenario, records *records) Outcome {
	outcome := Outcome{
		Failed:          records.failed,
		Wasted:          records.waste.Total() / tokenMillisecondsPerTokenSecond,
		WastedEvicted:   records.waste.Evicted / tokenMillisecondsPerTokenSecond,
		WastedEnded:     records.waste.Ended / tokenMillisecondsPerTokenSecond,
		RecomputedShare: ratio(records.repeatedPrefill, records.prefilled),
		RepeatedWork:    ratio(records.lostWork, records.workAfterCrash-records.workAtCrash),
		CrashLost:       records.crashLost,
		PoisonCrashes:   records.poisonCrashes,
		SentToLeaving:   records.sentToLeaving,
		CutOff:          records.cutOff,
	}
	outcome.summarizeLatency(scenario, records.samples)
	outcome.ShareMedian, outcome.ShareError = shareErrors(scenario, records.workByWindow)
	outcome.summarizeRefusals(records.submissions)
	return outcome
}

func ratio(part, total float64) float64 {
	if total == 0 {
		return 0
	}
	return part / total
}

func (outcome *Outcome) summarizeLatency(scenario *Scenario, samples []sample) {
	var all []float64
	byMember := make(map[string][]float64)
	for _, sample := range samples {
		if !scenario.isMeasured(sample) {
			continue
		}
		outcome.Answers++
		if !sample.finished {
			outcome.Unfinished++
		}
		all = append(all, float64(sample.latency))
		byMember[sample.member] = append(byMember[sample.member], float64(sample.latency))
	}
	outcome.Latency = latencyOf(all)
	outcome.Members = make(map[string]Latency)
	for _, share := range scenario.members {
		outcome.Members[share.Member] = latencyOf(byMember[share.Member])
	}
}

// isMeasured reports whether a sample counts: it must start in the measured time and
// must not be of a program that loops without end.
func (scenario *Scenario) isMeasured(sample sample) bool {
	if sample.class == classLoop {
		return false
	}
	return !sample.started.Before(scenario.measureFrom) && sample.started.Before(scenario.measureTo)
}

func latencyOf(samples []float64) Latency {
	return Latency{P50: percentile(samples, 0.50), P99: percentile(samples, 0.99)}
}

// percentile returns the nearest-rank percentile, or 0 if there are no samples.
func percentile(samples []float64, part float64) float64 {
	if len(samples) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(samples))
	rank := int(math.Ceil(part*float64(len(sorted)))) - 1
	return sorted[max(rank, 0)]
}

// shareErrors returns the median and the maximum over all windows of the largest
// error of any member's share of the work, relative to the share by its weight. It
// is meaningful only if all members always have waiting requests.
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
			expected := share.Weight / weights
			actual := ratio(windows[at][member]-windows[at-1][member], total)
			worstOfWindow = max(worstOfWindow, math.Abs(actual-expected)/expected)
		}
		errors = append(errors, worstOfWindow)
	}
	return percentile(errors, 0.50), percentile(errors, 1)
}

func (outcome *Outcome) summarizeRefusals(submissions []submission) {
	var delays []float64
	queues := make(map[queueKey]*refusalQueue)
	for _, submission := range submissions {
		if submission.refused {
			outcome.Refusals++
			delays = append(delays, float64(submission.refusedAt.Sub(submission.submittedAt)))
		}
		key := queueKey{submission.member, submission.startsProgram}
		if queues[key] == nil {
			queues[key] = &refusalQueue{waiting: make(map[bvgate.RequestID]bool)}
		}
		queues[key].add(submission)
	}
	outcome.RefusalDelay = percentile(delays, 0.99)
	var sent, actuals, factors []float64
	for _, key := range sortedQueueKeys(queues) {
		for _, refusal := range queues[key].refusals {
			if at, ok := queues[key].acceptanceTime(refusal); ok {
				sent = append(sent, float64(refusal.retryAfter))
				actuals = append(actuals, float64(at.Sub(refusal.refusedAt)))
				factors = append(factors, factor(refusal.retryAfter, at.Sub(refusal.refusedAt)))
			}
		}
	}
	outcome.RetryAfterFactor = percentile(factors, 0.50)
	outcome.RetryAfterSent = percentile(sent, 0.50)
	outcome.RetryAfterActual = percentile(actuals, 0.50)
}

// factor returns the ratio of the larger to the smaller duration. Both count as at
// least a second, the unit of the Retry-After header.
func factor(sent, actual bvclock.Duration) float64 {
	a := float64(max(sent, bvclock.Second))
	b := float64(max(actual, bvclock.Second))
	return max(a, b) / min(a, b)
}
