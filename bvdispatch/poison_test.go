package bvdispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
)

// Guards against a request that crashes each endpoint that runs it.
func TestRequestThatCrashedThreeEndpointsIsPoisonous(t *testing.T) {
	var suspects Suspects
	for endpoint := range uint64(crashLimit) {
		require.False(t, suspects.IsPoisonous(10, 1))
		suspects.RecordBrokenCall(10, 1, endpoint)
		suspects.RecordEndpointLoss(11, endpoint)
	}
	require.True(t, suspects.IsPoisonous(12, 1))
	require.False(t, suspects.IsPoisonous(12, 2))
	require.False(t, suspects.IsPoisonous(bvclock.Time(crashMemory)+12, 1), "the caller may try again after a while")
}

// Guards against suspects that are made of lost answers.
func TestLostAnswersAreNoCrashes(t *testing.T) {
	var suspects Suspects
	for endpoint := range uint64(50) {
		suspects.RecordBrokenCall(10, 1, endpoint)
	}
	require.False(t, suspects.IsPoisonous(11, 1))
}

// An answer is lost, and much later the endpoint leaves.
func TestEndpointThatGoesLaterDidNotCrash(t *testing.T) {
	var suspects Suspects
	for endpoint := range uint64(crashLimit) {
		suspects.RecordBrokenCall(10, 1, endpoint)
		suspects.RecordEndpointLoss(bvclock.Time(10).Add(crashWindow+1), endpoint)
	}
	require.Empty(t, suspects.RecentCrashes(bvclock.Time(crashWindow)+20))
}

// Guards against crashes that hosts count alone, or twice by repeated digests.
func TestCrashesSeenByOtherHostsCount(t *testing.T) {
	var here, there Suspects
	for endpoint := range uint64(crashLimit) {
		there.RecordBrokenCall(10, 1, endpoint)
		there.RecordEndpointLoss(10, endpoint)
	}
	for range 2 {
		for _, crash := range there.RecentCrashes(11) {
			here.RecordCrash(11, crash)
		}
	}
	require.True(t, here.IsPoisonous(12, 1))
	require.Len(t, here.crashes[1], crashLimit)
}

func TestSuspectsStayBounded(t *testing.T) {
	var suspects Suspects
	for request := range uint64(10 * maxFailures) {
		suspects.RecordBrokenCall(10, request, 1)
	}
	require.LessOrEqual(t, len(suspects.failures), maxFailures)
	suspects.RecordEndpointLoss(10, 1)
	suspects.RecentCrashes(bvclock.Time(10).Add(crashMemory + 1))
	require.Empty(t, suspects.crashes)
}
