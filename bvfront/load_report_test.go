package bvfront

import (
	"fmt"
	"net/http/httptest"
	"testing"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvmeasure"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvroute"
)

// loadRecorder records the loads that are set.
type loadRecorder struct {
	Dispatcher
	loads []bvroute.Load
}

func (recorder *loadRecorder) SetLoad(_, _ string, load bvroute.Load) {
	recorder.loads = append(recorder.loads, load)
}

// Guards against invalid reports that are applied in part, or dropped without a trace.
func TestInvalidLoadReportIsCountedAndLogged(t *testing.T) {
	log, lines := test.NewNullLogger()
	recorder, counters := &loadRecorder{}, bvmeasure.New()
	front := New(Parts{Clock: &bvclock.Manual{}, Dispatcher: recorder, Counters: counters, Log: log})
	call := &call{front: front, service: &bvroute.Service{Name: "models"}}
	load, endpoint := bvroute.Load{Running: 2, Slots: 12, Pace: 55}, bvplatform.Endpoint{Name: "e1"}
	call.applyLoad(endpoint, bvroute.Answer{HasLoad: true, Load: load})
	for range 3 {
		call.applyLoad(endpoint, bvroute.Answer{InvalidLoad: "2,x"})
	}
	call.applyLoad(endpoint, bvroute.Answer{})
	require.Equal(t, []bvroute.Load{load}, recorder.loads)
	require.Equal(t, load, call.load)
	text := httptest.NewRecorder()
	counters.Text().ServeHTTP(text, nil)
	require.Contains(t, text.Body.String(), `load_reports{kind="invalid"} 3`)
	require.Len(t, lines.AllEntries(), 1)
	require.Equal(t, "2,x", lines.LastEntry().Data["report"])
}

// Guards against an endpoint that fills the log by an invalid report with each answer.
func TestInvalidReportsAreLoggedOnceAMinuteForEachEndpoint(t *testing.T) {
	var limiter logLimiter
	require.True(t, limiter.mayLog(5, "e1"))
	require.False(t, limiter.mayLog(59_000, "e1"))
	require.True(t, limiter.mayLog(59_000, "e2"))
	require.True(t, limiter.mayLog(60_005, "e1"))
}

// Guards against a table that grows with each restart of an endpoint.
func TestLoggedEndpointsAreBounded(t *testing.T) {
	var limiter logLimiter
	for i := range 3 * maxLoggedEndpoints {
		require.True(t, limiter.mayLog(0, fmt.Sprint(i)))
	}
	require.Equal(t, maxLoggedEndpoints, limiter.logged.Len())
}
