package bvowner

import (
	"testing"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvledger"
	"balsamvalve.example/bvverdict"
)

// Guards against a panic in one call, which ended the process with all its calls.
func TestPanicInACallIsItsResult(t *testing.T) {
	log, lines := test.NewNullLogger()
	session := &session{owner: &Owner{parts: Parts{Log: log}, metrics: noMetrics{}}} // without a clock, its first attempt panics
	result := session.runAttemptsRecovered(t.Context(), bvledger.Start{})
	require.Equal(t, bvverdict.MayHaveRun, result.Err.Verdict())
	require.Equal(t, bvverdict.Internal, result.Err.Code())
	require.Len(t, lines.AllEntries(), 1)
}
