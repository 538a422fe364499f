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
		require.False(t, suspects.Poisonous(10, 1))
		suspects.Broke(10, 1, endpoint)
		suspects.Gone(11, endpoint)
	}
	require.True(t, suspects.Poisonous(12, 1))
	require.False(t, suspects.Poisonous(12, 2))
	require.False(t, suspects.Poisonous(bvclock.Time(crashMemory)+12, 1), "the caller may try again after a while")
}

// Guards against suspects that are made of lost answers.
func TestLostAnswersAreNoCrashes(t *testing.T) {
	var suspects Suspects
	for endpoint := range uint64(50) {
		suspects.Broke(10, 1, endpoint)
	}
	require.False(t, suspects.Poisonous(11, 1))
}

// An answer is lost, and much later the endpoint leaves.
func TestEndpointThatGoesLaterDidNotCrash(t *testing.T) {
	var suspects Suspects
	for endpoint := range uint64(crashLimit) {
		suspects.Broke(10, 1, endpoint)
		suspects.Gone(bvclock.Time(10).Add(crashWindow+1), endpoint)
	}
	require.Empty(t, suspects.Recent(bvclock.Time(crashWindow)+20))
}

// Guards against crashes that hosts count alone, or twice by repeated digests.
func TestCrashesSeenByOtherHostsCount(t *testing.T) {
	var here, there Suspects
	for endpoint := range uint64(crashLimit) {
		there.Broke(10, 1, endpoint)
		there.Gone(10, endpoint)
	}
	for range 2 {
		for _, crash := range there.Recent(11) {
			here.Learn(11, crash)
		}
	}
	require.True(t, here.Poisonous(12, 1))
	require.Len(t, here.crashes[1], crashLimit)
}

func TestSuspectsStayBounded(t *testing.T) {
	var suspects Suspects
	for request := range uint64(10 * maxFailures) {
		suspects.Broke(10, request, 1)
	}
	require.LessOrEqual(t, len(suspects.failures), maxFailures)
	suspects.Gone(10, 1)
	suspects.Recent(bvclock.Time(10).Add(crashMemory + 1))
	require.Empty(t, suspects.crashes)
}
