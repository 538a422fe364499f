package bvrouter

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"balsamvalve.example/bvdispatch"
	"balsamvalve.example/bvgossip"
)

// Guards against a figure of the outcomes, such as the reported pace, that is lost between two hosts.
func TestOutcomesAreTheSameAtTheOtherHost(t *testing.T) {
	report := bvdispatch.OutcomeReport{Calls: 9, Failures: 1, PacedCalls: 7, PaceMs: 210, ReportedPace: 55}
	data, err := proto.Marshal(encodeOutcome(3, report))
	require.NoError(t, err)
	var outcome bvgossip.Outcome
	require.NoError(t, proto.Unmarshal(data, &outcome))
	require.Equal(t, uint64(3), outcome.GetEndpoint())
	require.Equal(t, report, decodeOutcome(&outcome))
}
