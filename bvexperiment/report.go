package bvexperiment

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// Report holds the results of all runs.
type Report struct {
	Seeds   int       `json:"seeds"`
	Results []*Result `json:"results"`
}

// Result is a policy's outcomes in a scenario, one for each seed.
type Result struct {
	Scenario string    `json:"scenario"`
	Policy   string    `json:"policy"`
	Baseline bool      `json:"baseline"`
	Outcomes []Outcome `json:"outcomes"`
}

// figureFunc returns a figure of an outcome.
type figureFunc func(outcome Outcome) float64

// median returns the figure's median over the seeds.
func (result *Result) median(figure figureFunc) float64 {
	return percentile(result.figures(figure), 0.50)
}

// spread returns the figure's minimum and maximum over the seeds.
func (result *Result) spread(figure figureFunc) (lowest, highest float64) {
	figures := result.figures(figure)
	return slices.Min(figures), slices.Max(figures)
}

func (result *Result) figures(figure figureFunc) []float64 {
	figures := make([]float64, len(result.Outcomes))
	for at, outcome := range result.Outcomes {
		figures[at] = figure(outcome)
	}
	return figures
}

func (report *Report) find(scenario, policy string) *Result {
	for _, result := range report.Results {
		if result.Scenario == scenario && result.Policy == policy {
			return result
		}
	}
	return nil
}

// Figures used by both the report and the measures.
func latencyP50(outcome Outcome) float64  { return outcome.Latency.P50 }
func latencyP99(outcome Outcome) float64  { return outcome.Latency.P99 }
func wastedCache(outcome Outcome) float64 { return outcome.Wasted }

func memberP50(member string) figureFunc {
	return func(outcome Outcome) float64 { return outcome.Members[member].P50 }
}

func memberP99(member string) figureFunc {
	return func(outcome Outcome) float64 { return outcome.Members[member].P99 }
}

// Write prints a line for each scenario and policy, with medians over the seeds and
// the spread in brackets, and then the measures against their goals.
func (report *Report) Write(to io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "medians over %d seeds [least..greatest]; latency in seconds, wasted cache in million token-seconds (Mts)\n", report.Seeds)
	for _, result := range report.Results {
		text.WriteString(result.textLine())
		text.WriteByte('\n')
	}
	for _, measure := range report.Measures() {
		text.WriteString(measure.textLine())
		text.WriteByte('\n')
	}
	_, err := io.WriteString(to, text.String())
	return err
}

// WriteJSON prints the report as one JSON document.
func (report *Report) WriteJSON(to io.Writer) error {
	encoder := json.NewEncoder(to)
	encoder.SetIndent("", "  ")
	return encoder.Encode(struct {
		*Report
		Measures []Measure `json:"measures"`
	}{report, report.Measures()})
}

func (result *Result) textLine() string {
	const millisecondsPerSecond = 1000
	seconds := func(figure figureFunc) string { return result.formatFigure(figure, millisecondsPerSecond, 1) }
	fields := []string{
		fmt.Sprintf("%-17s %-11s", result.Scenario, result.Policy),
		"piran p50=" + seconds(memberP50(piran)) + " p99=" + seconds(memberP99(piran)),
		"brindley p50=" + seconds(memberP50(brindley)) + " p99=" + seconds(memberP99(brindley)),
		"wasted=" + result.formatFigure(wastedCache, 1e6, 2) + "Mts",
		fmt.Sprintf("answers=%.0f unfinished=%.0f failed=%.0f",
			result.median(func(outcome Outcome) float64 { return float64(outcome.Answers) }),
			result.median(func(outcome Outcome) float64 { return float64(outcome.Unfinished) }),
			result.median(func(outcome Outcome) float64 { return float64(outcome.Failed) })),
	}
	return strings.Join(append(fields, result.extraFields()...), "  ")
}

// extraFields returns the figures that are relevant in some scenarios only.
func (result *Result) extraFields() []string {
	var fields []string
	add := func(name string, figure figureFunc, digits int) {
		if result.median(figure) != 0 {
			fields = append(fields, name+"="+result.formatFigure(figure, 1, digits))
		}
	}
	if result.Scenario == nameBacklog {
		add("share_error_worst", func(outcome Outcome) float64 { return outcome.ShareError }, 3)
		add("share_error_median", func(outcome Outcome) float64 { return outcome.ShareMedian }, 3)
	}
	add("reprefilled", func(outcome Outcome) float64 { return outcome.RecomputedShare }, 2)
	add("twice", func(outcome Outcome) float64 { return outcome.RepeatedWork }, 3)
	add("refused", func(outcome Outcome) float64 { return float64(outcome.Refusals) }, 0)
	add("retry_after_factor", func(outcome Outcome) float64 { return outcome.RetryAfterFactor }, 2)
	add("told_ms", func(outcome Outcome) float64 { return outcome.RetryAfterSent }, 0)
	add("taken_after_ms", func(outcome Outcome) float64 { return outcome.RetryAfterActual }, 0)
	add("refusal_delay_ms", func(outcome Outcome) float64 { return outcome.RefusalDelay }, 0)
	add("crash_lost", func(outcome Outcome) float64 { return float64(outcome.CrashLost) }, 0)
	add("poison_crashes", func(outcome Outcome) float64 { return float64(outcome.PoisonCrashes) }, 0)
	add("sent_to_leaving", func(outcome Outcome) float64 { return float64(outcome.SentToLeaving) }, 0)
	add("cut_off", func(outcome Outcome) float64 { return float64(outcome.CutOff) }, 0)
	return fields
}

func (result *Result) formatFigure(figure figureFunc, unit float64, digits int) string {
	lowest, highest := result.spread(figure)
	return fmt.Sprintf("%.*f[%.*f..%.*f]", digits, result.median(figure)/unit, digits, lowest/unit, digits, highest/unit)
}
