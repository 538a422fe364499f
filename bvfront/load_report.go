package bvfront

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvroute"
)

const (
	// invalidReportInterval is the least time between two log lines on invalid load reports
	// of one endpoint, which may send one with each answer.
	invalidReportInterval = bvclock.Minute
	// maxLoggedEndpoints bounds the endpoints for which the time of the last line is kept.
	maxLoggedEndpoints = 1024
)

// applyLoad applies the load that an endpoint reports in an answer. An invalid report is
// counted and logged.
func (call *call) applyLoad(endpoint bvplatform.Endpoint, answer bvroute.Answer) {
	if answer.HasLoad {
		call.load = answer.Load
		call.front.parts.Dispatcher.SetLoad(call.service.Name, endpoint.ID(), answer.Load)
		call.front.parts.Counters.Count("load_reports", "valid")
		return
	}
	if answer.InvalidLoad == "" {
		return
	}
	call.front.parts.Counters.Count("load_reports", "invalid")
	if call.front.invalidReports.mayLog(call.front.parts.Clock.Now(), endpoint.Name) {
		call.front.parts.Log.WithField("endpoint", endpoint.Name).WithField("report", answer.InvalidLoad).Warn("invalid load report")
	}
}

// logLimiter limits how often an endpoint is logged. The zero value has logged none.
type logLimiter struct {
	mutex  sync.Mutex
	logged *simplelru.LRU[string, bvclock.Time] // times of the last lines, by endpoint
}

// mayLog reports whether a line on an endpoint may be logged now, and if so, records it.
func (limiter *logLimiter) mayLog(now bvclock.Time, endpoint string) bool {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if limiter.logged == nil {
		limiter.logged, _ = simplelru.NewLRU[string, bvclock.Time](maxLoggedEndpoints, nil) // fails only for a size of 0
	}
	if last, found := limiter.logged.Peek(endpoint); found && now.Sub(last) < invalidReportInterval {
		return false
	}
	limiter.logged.Add(endpoint, now)
	return true
}
