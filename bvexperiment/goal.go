package bvexperiment

import (
	"fmt"
	"math"
)

// Measure compares a figure of the product with a goal. Ratio is the product's figure
// divided by that of the policy in Against; if the goal is an absolute figure, Ratio
// is the product's figure itself.
type Measure struct {
	Name    string  `json:"name"`
	Ratio   float64 `json:"ratio"`
	Goal    float64 `json:"goal"`
	Against string  `json:"against"`
}

// Met reports whether the goal is met.
func (measure Measure) Met() bool { return measure.Ratio <= measure.Goal }

func (measure Measure) textLine() string {
	verdict := "missed"
	if measure.Met() {
		verdict = "met"
	}
	return fmt.Sprintf("measure: %s ratio=%.3f goal=%.2f %s (against %s)",
		measure.Name, measure.Ratio, measure.Goal, verdict, measure.Against)
}

// The goals.
const (
	goalP50         = 0.7
	goalP99         = 0.8
	goalClairvoyant = 1.25
	goalWasted      = 0.5
	goalShare       = 0.05
	goalVictim      = 1.15
	goalTwice       = 0.1
	goalRetryAfter  = 2
	goalNone        = 0
)

// Names of scenarios that the goals refer to.
const (
	nameUnloaded    = "unloaded"
	nameLoad80      = "load-0.80"
	nameBacklog     = "backlog"
	nameFlood       = "flood"
	nameLoops       = "loops"
	nameAlone       = "alone"
	nameLongPauses  = "long-pauses"
	nameCrashedZone = "crashed-zone"
	nameLeaving     = "leaving"
	nameWeekly      = "weekly"
	nameOverload    = "load-1.20"
)

// Measures compares the product with all goals for whose scenarios results exist.
func (report *Report) Measures() []Measure {
	var measures []Measure
	add := func(measure Measure, ok bool) {
		if ok {
			measures = append(measures, measure)
		}
	}
	add(report.againstBest("p50-at-0.80", nameLoad80, latencyP50, goalP50))
	add(report.againstBest("p99-at-0.80", nameLoad80, latencyP99, goalP99))
	for _, member := range []string{piran, brindley} {
		add(report.againstBest("p50-at-0.80-"+member, nameLoad80, memberP50(member), goalP50))
		add(report.againstBest("p99-at-0.80-"+member, nameLoad80, memberP99(member), goalP99))
	}
	add(report.against("p50-at-0.80-clairvoyant", nameLoad80, nameLoad80, nameClairvoyant, latencyP50, goalClairvoyant))
	for _, scenario := range []string{nameLoad80, nameLongPauses, nameWeekly} {
		add(report.againstBest("wasted-cache-"+scenario, scenario, wastedCache, goalWasted))
	}
	add(report.againstGoal("share-error-10s", nameBacklog, func(outcome Outcome) float64 { return outcome.ShareError }, goalShare))
	for _, scenario := range []string{nameFlood, nameLoops} {
		add(report.against("victim-p99-"+scenario, scenario, nameAlone, nameProduct, memberP99(piran), goalVictim))
	}
	add(report.againstGoal("work-twice-crashed-zone", nameCrashedZone, func(outcome Outcome) float64 { return outcome.RepeatedWork }, goalTwice))
	add(report.againstGoal("retry-after-factor", nameFlood, func(outcome Outcome) float64 { return outcome.RetryAfterFactor }, goalRetryAfter))
	add(report.againstGoal("refusal-delay-ms", nameFlood, func(outcome Outcome) float64 { return outcome.RefusalDelay }, float64(2*permitDelay)))
	add(report.againstGoal("sent-to-leaving", nameLeaving, func(outcome Outcome) float64 { return float64(outcome.SentToLeaving) }, goalNone))
	add(report.againstGoal("cut-off-at-leaving", nameLeaving, func(outcome Outcome) float64 { return float64(outcome.CutOff) }, goalNone))
	return measures
}

// againstBest compares with the baseline that has the lowest median.
func (report *Report) againstBest(name, scenario string, figure figureFunc, goal float64) (Measure, bool) {
	best, bestName := math.Inf(1), ""
	for _, result := range report.Results {
		if result.Scenario != scenario || !result.Baseline {
			continue
		}
		if median := result.median(figure); median < best {
			best, bestName = median, result.Policy
		}
	}
	ours := report.find(scenario, nameProduct)
	if ours == nil || bestName == "" {
		return Measure{}, false
	}
	return Measure{Name: name, Ratio: ratio(ours.median(figure), best), Goal: goal, Against: bestName}, true
}

// against compares with one policy, which may be in another scenario.
func (report *Report) against(name, scenario, other, policy string, figure figureFunc, goal float64) (Measure, bool) {
	ours := report.find(scenario, nameProduct)
	theirs := report.find(other, policy)
	if ours == nil || theirs == nil {
		return Measure{}, false
	}
	against := policy
	if other != scenario {
		against = other
	}
	return Measure{Name: name, Ratio: ratio(ours.median(figure), theirs.median(figure)), Goal: goal, Against: against}, true
}

// againstGoal compares a figure of the product itself with a goal.
func (report *Report) againstGoal(name, scenario string, figure figureFunc, goal float64) (Measure, bool) {
	ours := report.find(scenario, nameProduct)
	if ours == nil {
		return Measure{}, false
	}
	return Measure{Name: name, Ratio: ours.median(figure), Goal: goal, Against: "the goal itself"}, true
}
