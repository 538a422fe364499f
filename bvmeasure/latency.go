package bvmeasure

import (
	"encoding/json"
	"fmt"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"balsamvalve.example/bvclock"
)

// Range and precision of the histograms. Longer latencies count as maxLatency.
const (
	maxLatency        = bvclock.Hour
	significantDigits = 2
)

// latency is an expvar variable with the distribution of durations since the
// daemon started.
type latency struct {
	mutex     sync.Mutex
	histogram *hdrhistogram.Histogram // in milliseconds
}

func newLatency() *latency {
	return &latency{histogram: hdrhistogram.New(1, int64(maxLatency), significantDigits)}
}

func (latency *latency) observe(duration bvclock.Duration) {
	latency.mutex.Lock()
	defer latency.mutex.Unlock()
	_ = latency.histogram.RecordValue(int64(min(max(duration, 0), maxLatency))) // within the histogram's range
}

// String implements expvar.Var.
func (latency *latency) String() string {
	latency.mutex.Lock()
	defer latency.mutex.Unlock()
	encoded, err := json.Marshal(struct {
		Count int64   `json:"count"`
		Mean  float64 `json:"mean_ms"`
		P50   int64   `json:"p50_ms"`
		P95   int64   `json:"p95_ms"`
		P99   int64   `json:"p99_ms"`
		Max   int64   `json:"max_ms"`
	}{
		Count: latency.histogram.TotalCount(),
		Mean:  latency.histogram.Mean(),
		P50:   latency.histogram.ValueAtQuantile(50),
		P95:   latency.histogram.ValueAtQuantile(95),
		P99:   latency.histogram.ValueAtQuantile(99),
		Max:   latency.histogram.Max(),
	})
	if err != nil {
		return "null"
	}
	return string(encoded)
}

// textLines returns the figures as "name value"; all but the count are in
// milliseconds.
func (latency *latency) textLines() []string {
	latency.mutex.Lock()
	defer latency.mutex.Unlock()
	return []string{
		fmt.Sprintf("count %d", latency.histogram.TotalCount()),
		fmt.Sprintf("p50_ms %d", latency.histogram.ValueAtQuantile(50)),
		fmt.Sprintf("p95_ms %d", latency.histogram.ValueAtQuantile(95)),
		fmt.Sprintf("p99_ms %d", latency.histogram.ValueAtQuantile(99)),
		fmt.Sprintf("max_ms %d", latency.histogram.Max()),
	}
}
