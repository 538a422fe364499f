package bvsuspect

import (
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
)

// request returns the fingerprint of a request without a query.
func request(number uint64) Fingerprint { return Fingerprint{Exact: number, AnyQuery: number} }

// withQuery returns the fingerprint of a request with a query.
func withQuery(number, query uint64) Fingerprint {
	return Fingerprint{Exact: number<<32 + query, AnyQuery: number}
}

// Guards against a request that crashes each endpoint that runs it.
func TestRequestThatCrashedThreeEndpointsIsPoisonous(t *testing.T) {
	var table Table
	for endpoint := range uint64(crashLimit) {
		require.False(t, table.IsPoisonous(10, request(1)))
		table.RecordBrokenCall(10, request(1), endpoint)
		table.RecordEndpointLoss(11, endpoint, Refused)
	}
	require.True(t, table.IsPoisonous(12, request(1)))
	require.False(t, table.IsPoisonous(12, request(2)))
	require.False(t, table.IsPoisonous(bvclock.Time(crashRetention)+12, request(1)), "the caller may retry after a while")
}

// Guards against lost answers that make a request a suspect.
func TestLostAnswersAreNoCrashes(t *testing.T) {
	var table Table
	for endpoint := range uint64(50) {
		table.RecordBrokenCall(10, request(1), endpoint)
	}
	require.False(t, table.IsPoisonous(11, request(1)))
}

// Guards against a crash that is counted when an answer is lost and the endpoint leaves
// much later.
func TestLaterLossOfAnEndpointIsNoCrash(t *testing.T) {
	var table Table
	for endpoint := range uint64(crashLimit) {
		table.RecordBrokenCall(10, request(1), endpoint)
		table.RecordEndpointLoss(bvclock.Time(10).Add(crashWindow+1), endpoint, Refused)
	}
	require.Empty(t, table.RecentCrashes(bvclock.Time(crashWindow)+20))
}

// Guards against crashes that only the detecting host counts, or that count twice because
// digests repeat them.
func TestCrashesSeenByOtherHostsCount(t *testing.T) {
	var here, there Table
	for endpoint := range uint64(crashLimit) {
		there.RecordBrokenCall(10, request(1), endpoint)
		there.RecordEndpointLoss(10, endpoint, Refused)
	}
	for range 2 {
		for _, crash := range there.RecentCrashes(11) {
			here.RecordCrash(11, crash)
		}
	}
	require.True(t, here.IsPoisonous(12, request(1)))
	require.Equal(t, crashLimit, here.Crashes(request(1)))
}

func TestSuspectsStayBounded(t *testing.T) {
	var table Table
	for number := range uint64(10 * maxBrokenCalls) {
		table.RecordBrokenCall(10, request(number), 1)
	}
	require.LessOrEqual(t, len(table.brokenCalls), maxBrokenCalls)
	table.RecordEndpointLoss(10, 1, Refused)
	table.RecentCrashes(bvclock.Time(10).Add(crashRetention + 1))
	require.Empty(t, table.suspects)
	require.Empty(t, table.families)
}

// Guards against a crash that is counted because an endpoint can't be reached for another reason.
func TestUnreachableEndpointIsNoCrash(t *testing.T) {
	var table Table
	table.RecordBrokenCall(10, request(1), 1)
	require.Empty(t, table.RecordEndpointLoss(10, 1, Unreachable))
	require.Len(t, table.RecordEndpointLoss(10, 1, AnotherInstance), 1)
}

// Guards against planned departures that count as crashes, and against crashes of silent
// machines that don't.
func TestRemovalIsACrashUnlessTheEndpointRan(t *testing.T) {
	var table Table
	table.RecordBrokenCall(10, request(1), 1)
	table.RecordBrokenCall(10, request(1), 2)
	table.RecordRunning(1)
	require.Empty(t, table.RecordEndpointLoss(4000, 1, Removed))
	require.Len(t, table.RecordEndpointLoss(4000, 2, Removed), 1)
	require.Len(t, table.RecordEndpointLoss(4000, 1, Restarted), 1, "it crashed after the check")
}

// Guards against a request whose query changes each time, which counts as another one.
func TestRequestThatCrashesWithSeveralQueriesIsPoisonous(t *testing.T) {
	var table Table
	for query := range uint64(crashLimit) {
		require.False(t, table.IsPoisonous(10, withQuery(1, 99)))
		table.RecordCrash(10, Crash{withQuery(1, query), query})
	}
	require.True(t, table.IsPoisonous(10, withQuery(1, 99)))
	require.False(t, table.IsPoisonous(10, withQuery(2, 99)))
}

// Guards against requests that are refused because one with another query crashes endpoints.
func TestRequestWithAnotherQueryIsNotPoisonous(t *testing.T) {
	var table Table
	for endpoint := range uint64(crashLimit) {
		table.RecordCrash(10, Crash{withQuery(1, 7), endpoint})
	}
	require.True(t, table.IsPoisonous(10, withQuery(1, 7)))
	require.False(t, table.IsPoisonous(10, withQuery(1, 8)))
}
