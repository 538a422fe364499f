package bvmeasure

import (
	"encoding/json"
	"fmt"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"balsamvalve.example/bvclock"
)

// Bounds of a latency. A longer one counts as the longest.
const (
	longestLatency = bvclock.Hour
	latencyDigits  = 2
)

// latency is a variable that holds the distribution of durations since the
// daemon started.
type latency struct {
	mutex     sync.Mutex
	histogram *hdrhistogram.Histogram // in milliseconds
}

func newLatency() *latency {
	return &latency{histogram: hdrhistogram.New(1, int64(longestLatency), latencyDigits)}
}

func (latency *latency) observe(duration bvclock.Duration) {
	latency.mutex.Lock()
	defer latency.mutex.Unlock()
	_ = latency.histogram.RecordValue(int64(min(max(duration, 0), longestLatency))) // is in bounds
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

// lines returns the figures as "name value", in milliseconds but for the count.
func (latency *latency) lines() []string {
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
