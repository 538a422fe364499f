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

// measured picks a figure of an outcome.
type measured func(outcome Outcome) float64

// median is the figure's median over the seeds.
func (result *Result) median(figure measured) float64 {
	return percentile(result.figures(figure), 0.50)
}

// spread is the figure's least and greatest value over the seeds.
func (result *Result) spread(figure measured) (least, greatest float64) {
	figures := result.figures(figure)
	return slices.Min(figures), slices.Max(figures)
}

func (result *Result) figures(figure measured) []float64 {
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

// Figures that several places use.
func latencyP50(outcome Outcome) float64 { return outcome.Latency.P50 }
func latencyP99(outcome Outcome) float64 { return outcome.Latency.P99 }
func wasted(outcome Outcome) float64     { return outcome.Wasted }

func memberP50(member string) measured {
	return func(outcome Outcome) float64 { return outcome.Members[member].P50 }
}

func memberP99(member string) measured {
	return func(outcome Outcome) float64 { return outcome.Members[member].P99 }
}

// Write prints a line for each scenario and policy, medians over the seeds
// with the spread in brackets, and then the measures against their goals.
func (report *Report) Write(to io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "medians over %d seeds [least..greatest]; latency in seconds, wasted cache in million token-seconds (Mts)\n", report.Seeds)
	for _, result := range report.Results {
		text.WriteString(result.line())
		text.WriteByte('\n')
	}
	for _, measure := range report.Measures() {
		text.WriteString(measure.line())
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

func (result *Result) line() string {
	const millisecondsASecond = 1000
	seconds := func(figure measured) string { return result.cell(figure, millisecondsASecond, 1) }
	fields := []string{
		fmt.Sprintf("%-17s %-11s", result.Scenario, result.Policy),
		"piran p50=" + seconds(memberP50(piran)) + " p99=" + seconds(memberP99(piran)),
		"brindley p50=" + seconds(memberP50(brindley)) + " p99=" + seconds(memberP99(brindley)),
		"wasted=" + result.cell(wasted, 1e6, 2) + "Mts",
		fmt.Sprintf("answers=%.0f unfinished=%.0f failed=%.0f",
			result.median(func(outcome Outcome) float64 { return float64(outcome.Answers) }),
			result.median(func(outcome Outcome) float64 { return float64(outcome.Unfinished) }),
			result.median(func(outcome Outcome) float64 { return float64(outcome.Failed) })),
	}
	return strings.Join(append(fields, result.special()...), "  ")
}

// special gives the figures that matter in some scenarios only.
func (result *Result) special() []string {
	var fields []string
	add := func(name string, figure measured, digits int) {
		if result.median(figure) != 0 {
			fields = append(fields, name+"="+result.cell(figure, 1, digits))
		}
	}
	if result.Scenario == nameBacklog {
		add("share_error_worst", func(outcome Outcome) float64 { return outcome.ShareError }, 3)
		add("share_error_median", func(outcome Outcome) float64 { return outcome.ShareMedian }, 3)
	}
	add("reprefilled", func(outcome Outcome) float64 { return outcome.Reprefilled }, 2)
	add("twice", func(outcome Outcome) float64 { return outcome.Twice }, 3)
	add("refused", func(outcome Outcome) float64 { return float64(outcome.Refusals) }, 0)
	add("retry_after_factor", func(outcome Outcome) float64 { return outcome.RetryAfter }, 2)
	add("told_ms", func(outcome Outcome) float64 { return outcome.RetryTold }, 0)
	add("taken_after_ms", func(outcome Outcome) float64 { return outcome.RetryReal }, 0)
	add("refusal_delay_ms", func(outcome Outcome) float64 { return outcome.RefusalDelay }, 0)
	add("crash_lost", func(outcome Outcome) float64 { return float64(outcome.CrashLost) }, 0)
	add("poison_crashes", func(outcome Outcome) float64 { return float64(outcome.PoisonCrashes) }, 0)
	add("sent_to_leaving", func(outcome Outcome) float64 { return float64(outcome.SentToLeaving) }, 0)
	add("cut_off", func(outcome Outcome) float64 { return float64(outcome.CutOff) }, 0)
	return fields
}

func (result *Result) cell(figure measured, unit float64, digits int) string {
	least, greatest := result.spread(figure)
	return fmt.Sprintf("%.*f[%.*f..%.*f]", digits, result.median(figure)/unit, digits, least/unit, digits, greatest/unit)
}
