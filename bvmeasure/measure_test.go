package bvmeasure

import (
	"encoding/json"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvverdict"
)

func TestVariablesAreServedAsJSON(t *testing.T) {
	counters := New()
	counters.CountAnswer()
	counters.CountRefusal("piran", bvverdict.Refuse(bvverdict.Overloaded, "full"))
	for duration := bvclock.Millisecond; duration <= 100; duration++ {
		counters.Observe("call_latency", duration)
	}
	counters.Observe("call_latency", 48*bvclock.Hour)
	recorder := httptest.NewRecorder()
	counters.ServeHTTP(recorder, nil)
	var variables struct {
		Answered int64
		Refused  map[string]int64
		Latency  map[string]float64 `json:"call_latency"`
	}
	require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &variables))
	require.EqualValues(t, 1, variables.Answered)
	require.Equal(t, map[string]int64{"not run/overloaded": 1}, variables.Refused)
	require.InDelta(t, 51, variables.Latency["p50_ms"], 1)
	require.InDelta(t, 101, variables.Latency["count"], 0)
	require.InEpsilon(t, float64(bvclock.Hour), variables.Latency["max_ms"], 0.01)
	require.NotContains(t, recorder.Body.String(), "piran", "the variables name no member")
	require.Equal(t, map[string]int64{"not run/overloaded": 1}, counters.Refusals("piran"))
}

func TestVariablesAreServedAsText(t *testing.T) {
	counters := New()
	counters.CountAnswer()
	counters.CountRefusal("", bvverdict.Refuse(bvverdict.Overloaded, "full"))
	counters.Observe("first_event", 40)
	recorder := httptest.NewRecorder()
	counters.Text().ServeHTTP(recorder, nil)
	require.Contains(t, recorder.Body.String(), "balsamvalve_answered 1\n")
	require.Contains(t, recorder.Body.String(), `balsamvalve_refused{kind="not run/overloaded"} 1`)
	require.Contains(t, recorder.Body.String(), "balsamvalve_first_event_p50_ms 40\n")
}

// Guards against a map that grows with the kinds that callers bring.
func TestKindsBeyondTheLimitAreCountedTogether(t *testing.T) {
	counters := New()
	for _, kind := range []string{"a", "b", "c", "d", "a"} {
		counters.CountLimited("rejections", kind, 2)
	}
	require.Equal(t, `{"a": 2, "b": 1, "other": 2}`, counters.kindMap("rejections").String())
}
