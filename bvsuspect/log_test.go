package bvsuspect

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvlog"
	"balsamvalve.example/bvmeasure"
)

// newTestSuspects returns Suspects, the clock that they use, and what they log.
func newTestSuspects() (*Suspects, *bvclock.Manual, *bytes.Buffer) {
	clock, lines := &bvclock.Manual{}, &bytes.Buffer{}
	return New(clock, nil, bvmeasure.New(), bvlog.New(lines)), clock, lines
}

// Guards against a log that does not show why a call that broke counts as a crash or does not.
func TestLogTellsBrokenCallsFromCrashes(t *testing.T) {
	suspects, clock, lines := newTestSuspects()
	suspects.RecordBrokenCall(BrokenCall{Content: contentOf(request(7)), Endpoint: 1, ID: "r1", Name: "e1", HasAnswer: true})
	suspects.RecordBrokenCall(BrokenCall{Content: contentOf(request(8)), Endpoint: 2, ID: "r2", Name: "e2", TimedOut: true})
	require.Contains(t, lines.String(), `"kind":"within the answer"`)
	require.Contains(t, lines.String(), `"kind":"timed out"`)
	clock.Advance(300)
	suspects.RecordEndpointLoss(1, Refused)
	require.Contains(t, lines.String(), `"broken_calls":1,"incarnation":"0000000000000001"`)
	require.Contains(t, lines.String(), `"any_query":"0000000000000007","broken_ms":300,"content":"0000000000000007","crashes":1`)
	require.NotContains(t, lines.String(), `"content":"0000000000000008","crashes"`)
}

func TestLogTellsWhichHostReportedACrash(t *testing.T) {
	suspects, _, lines := newTestSuspects()
	suspects.AddPeerReport("host-b", Report{Crash: Crash{request(7), 1}})
	require.Contains(t, lines.String(), `"source":"host-b"`)
	lines.Reset()
	suspects.AddPeerReport("host-c", Report{Crash: Crash{request(7), 1}})
	require.Empty(t, lines.String(), "it is known")
}

// Guards against a line for each call that can't reach a lost endpoint.
func TestLossOfAnEndpointIsLoggedOnce(t *testing.T) {
	suspects, clock, lines := newTestSuspects()
	for range 50 {
		suspects.RecordEndpointLoss(1, Unreachable)
		clock.Advance(10)
	}
	require.Equal(t, 1, bytes.Count(lines.Bytes(), []byte("endpoint lost")))
	for endpoint := range uint64(3 * maxLoggedLosses) {
		suspects.RecordEndpointLoss(endpoint, Unreachable)
	}
	require.LessOrEqual(t, len(suspects.losses.loggedAt), maxLoggedLosses)
}
