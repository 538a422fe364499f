package bvload

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latency is the summary of one latency histogram, in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`

	curve []point
}

// curvePoints is the number of percentiles from 0 to 100.
const curvePoints = 101

// point is one point of a percentile curve.
type point struct{ percentile, milliseconds float64 }

// MemberReport holds the results of one member's programs.
type MemberReport struct {
	Name          string  `json:"name"`
	Programs      int     `json:"programs"`
	Finished      int     `json:"finished"`
	Failed        int     `json:"failed"`
	Program       Latency `json:"program"`     // planned start to last answer, including pauses
	FirstToken    Latency `json:"first_token"` // of streamed calls
	BetweenTokens Latency `json:"between_tokens"`
	Chat          Latency `json:"chat"` // complete model calls, including retries
	Tool          Latency `json:"tool"`
}

// Report is the result of a load.
type Report struct {
	Seed     uint64         `json:"seed"`
	Seconds  float64        `json:"seconds"`
	Programs int            `json:"programs"`
	Finished int            `json:"finished"`
	Failed   int            `json:"failed"`
	Requests int            `json:"requests"`
	Retries  int            `json:"retries"`
	Refusals map[string]int `json:"refusals"` // failed attempts that were retried, by code
	Errors   map[string]int `json:"errors"`   // final errors of requests, by code

	Lost          int `json:"lost"`           // incomplete histories and answers, and answered requests that never ran
	Mixed         int `json:"mixed"`          // answers to another history or request, or composed of two runs
	DuplicateRuns int `json:"twice"`          // unrepeatable requests that ran more than once
	FalseRefusals int `json:"false_refusals"` // requests reported as "not run" that ran
	HeldPrefixes  int `json:"held"`           // prefixes of ended programs that engines still cache
	Unanswered    int `json:"unanswered"`     // requests with neither an answer nor a typed error
	Uncertain     int `json:"uncertain"`      // unrepeatable requests that may have run
	Unrepeatable  int `json:"unrepeatable"`   // unrepeatable requests that were sent
	Unverified    int `json:"unasked"`        // unrepeatable requests whose runs could not be queried

	PromptTokens int `json:"prompt_tokens"`
	CachedTokens int `json:"cached_tokens"`
	OutputTokens int `json:"output_tokens"`

	BrokenPromises []string       `json:"broken"`   // descriptions of the first broken promises
	Failures       []string       `json:"failures"` // descriptions of the first failed requests
	All            MemberReport   `json:"all"`
	Members        []MemberReport `json:"members"`
}

// AllPromisesHold reports whether all checked promises hold.
func (report Report) AllPromisesHold() bool {
	return report.Lost+report.Mixed+report.DuplicateRuns+report.FalseRefusals+report.HeldPrefixes == 0
}

func (load *load) report(duration time.Duration) Report {
	measure := &load.measure
	measure.mutex.Lock()
	defer measure.mutex.Unlock()
	report := Report{
		Seed:           load.config.Seed,
		Seconds:        duration.Seconds(),
		Requests:       measure.requests,
		Retries:        measure.retries,
		Refusals:       measure.refusals,
		Errors:         measure.errors,
		Lost:           measure.lost,
		Mixed:          measure.mixed,
		DuplicateRuns:  measure.duplicateRuns,
		FalseRefusals:  measure.falseRefusals,
		HeldPrefixes:   measure.heldPrefixes,
		Unanswered:     measure.unanswered,
		Uncertain:      measure.uncertain,
		Unrepeatable:   len(measure.unrepeatableRequests),
		Unverified:     measure.unverified,
		PromptTokens:   measure.promptTokens,
		CachedTokens:   measure.cachedTokens,
		OutputTokens:   measure.outputTokens,
		BrokenPromises: measure.brokenPromises,
		Failures:       measure.failures,
	}
	all := memberCounters{name: "all", latencies: newLatencies()}
	for _, member := range measure.members {
		report.Members = append(report.Members, member.report())
		all.add(member)
	}
	report.All = all.report()
	report.Programs = all.started
	report.Finished = all.finished
	report.Failed = all.failed
	return report
}

func (count *memberCounters) add(other memberCounters) {
	count.started += other.started
	count.finished += other.finished
	count.failed += other.failed
	count.latencies.merge(other.latencies)
}

func (count *memberCounters) report() MemberReport {
	return MemberReport{
		Name:          count.name,
		Programs:      count.started,
		Finished:      count.finished,
		Failed:        count.failed,
		Program:       latencyOf(count.latencies.program),
		FirstToken:    latencyOf(count.latencies.firstToken),
		BetweenTokens: latencyOf(count.latencies.betweenTokens),
		Chat:          latencyOf(count.latencies.chat),
		Tool:          latencyOf(count.latencies.tool),
	}
}

func latencyOf(histogram *hdrhistogram.Histogram) Latency {
	latency := Latency{
		Count: histogram.TotalCount(),
		P50:   milliseconds(histogram.ValueAtPercentile(50)),
		P90:   milliseconds(histogram.ValueAtPercentile(90)),
		P95:   milliseconds(histogram.ValueAtPercentile(95)),
		P99:   milliseconds(histogram.ValueAtPercentile(99)),
		Max:   milliseconds(histogram.Max()),
	}
	for percentile := range curvePoints {
		value := histogram.ValueAtPercentile(float64(percentile))
		latency.curve = append(latency.curve, point{float64(percentile), milliseconds(value)})
	}
	return latency
}

func milliseconds(micros int64) float64 {
	return float64(micros) / 1000
}

// Text returns the report as human-readable text with a table of latencies.
func (report Report) Text() string {
	var text strings.Builder
	_, _ = fmt.Fprintf(&text, "seed %d, %.1f s: %d programs, %d finished, %d failed; %d requests, %d repeats\n",
		report.Seed, report.Seconds, report.Programs, report.Finished, report.Failed, report.Requests, report.Retries)
	_, _ = fmt.Fprintf(&text, "promises: lost %d, mixed %d, twice %d, false refusals %d, held %d (unanswered %d, uncertain %d of %d unrepeatable)\n",
		report.Lost, report.Mixed, report.DuplicateRuns, report.FalseRefusals, report.HeldPrefixes, report.Unanswered, report.Uncertain, report.Unrepeatable)
	_, _ = fmt.Fprintf(&text, "tokens: %d prompt (%d cached), %d generated\n", report.PromptTokens, report.CachedTokens, report.OutputTokens)
	writeCounts(&text, "repeated after", report.Refusals)
	writeCounts(&text, "failed with", report.Errors)
	for _, broken := range report.BrokenPromises {
		_, _ = fmt.Fprintf(&text, "broken: %s\n", broken)
	}
	for _, failure := range report.Failures {
		_, _ = fmt.Fprintf(&text, "failed: %s\n", failure)
	}
	table := tabwriter.NewWriter(&text, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "member\tlatency\tcount\tp50 ms\tp90 ms\tp95 ms\tp99 ms\tmax ms\t")
	for _, member := range append(slices.Clone(report.Members), report.All) {
		member.write(table)
	}
	_ = table.Flush()
	return text.String()
}

func writeCounts(text *strings.Builder, label string, counts map[string]int) {
	for _, code := range slices.Sorted(maps.Keys(counts)) {
		_, _ = fmt.Fprintf(text, "%s %s: %d\n", label, code, counts[code])
	}
}

func (report MemberReport) write(table *tabwriter.Writer) {
	report.Program.write(table, report.Name, "program")
	report.FirstToken.write(table, report.Name, "first token")
	report.BetweenTokens.write(table, report.Name, "between tokens")
	report.Chat.write(table, report.Name, "model call")
	report.Tool.write(table, report.Name, "service call")
}

func (latency Latency) write(table *tabwriter.Writer, member, kind string) {
	if latency.Count == 0 {
		return
	}
	_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n",
		member, kind, latency.Count, latency.P50, latency.P90, latency.P95, latency.P99, latency.Max)
}
