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

// contentOf returns the content of a request without shared features.
func contentOf(request Fingerprint) Content { return Content{Request: request} }

// isDenied reports whether a request may not run.
func isDenied(table *Table, now bvclock.Time, request Fingerprint) bool {
	return table.Decide(now, request).Access == Denied
}

// Guards against a request that crashes each endpoint that runs it.
func TestRequestThatCrashedThreeEndpointsIsPoisonous(t *testing.T) {
	var table Table
	for endpoint := range uint64(crashLimit) {
		require.False(t, isDenied(&table, 10, request(1)))
		table.RecordBrokenCall(10, contentOf(request(1)), endpoint, false)
		table.RecordEndpointLoss(11, endpoint, Refused)
	}
	require.True(t, isDenied(&table, 12, request(1)))
	require.False(t, isDenied(&table, 12, request(2)))
	require.False(t, isDenied(&table, bvclock.Time(crashRetention)+12, request(1)), "the caller may retry after a while")
}

// Guards against lost answers that make a request a suspect.
func TestLostAnswersAreNoCrashes(t *testing.T) {
	var table Table
	for endpoint := range uint64(50) {
		table.RecordBrokenCall(10, contentOf(request(1)), endpoint, false)
	}
	require.False(t, isDenied(&table, 11, request(1)))
}

// Guards against a crash counted when the endpoint leaves long after a lost answer.
func TestLaterLossOfAnEndpointIsNoCrash(t *testing.T) {
	var table Table
	for endpoint := range uint64(crashLimit) {
		table.RecordBrokenCall(10, contentOf(request(1)), endpoint, false)
		table.RecordEndpointLoss(bvclock.Time(10).Add(crashWindow+1), endpoint, Refused)
	}
	require.Empty(t, table.Reports(bvclock.Time(crashWindow)+20))
}

// Guards against crashes that count at one host only, or twice because digests repeat them.
func TestCrashesSeenByOtherHostsCount(t *testing.T) {
	var here, there Table
	for endpoint := range uint64(crashLimit) {
		there.RecordBrokenCall(10, contentOf(request(1)), endpoint, false)
		there.RecordEndpointLoss(10, endpoint, Refused)
	}
	for range 2 {
		for _, report := range there.Reports(11) {
			here.Merge(11, report)
		}
	}
	require.True(t, isDenied(&here, 12, request(1)))
	require.Equal(t, crashLimit, here.Crashes(request(1)))
}

func TestSuspectsStayBounded(t *testing.T) {
	var table Table
	for number := range uint64(10 * maxBrokenCalls) {
		table.RecordBrokenCall(10, contentOf(request(number)), 1, false)
	}
	require.LessOrEqual(t, len(table.brokenCalls), maxBrokenCalls)
	table.RecordEndpointLoss(10, 1, Refused)
	table.Reports(bvclock.Time(10).Add(crashRetention + 1))
	require.Empty(t, table.suspects)
	require.Empty(t, table.families)
	require.Empty(t, table.crashed)
}

// Guards against a crash that is counted because an endpoint can't be reached for another reason.
func TestUnreachableEndpointIsNoCrash(t *testing.T) {
	var table Table
	table.RecordBrokenCall(10, contentOf(request(1)), 1, false)
	require.Empty(t, table.RecordEndpointLoss(10, 1, Unreachable))
	require.Len(t, table.RecordEndpointLoss(10, 1, AnotherInstance), 1)
}

// Guards against planned departures that count as crashes, and silent machines that don't.
func TestRemovalIsACrashUnlessTheEndpointRan(t *testing.T) {
	var table Table
	table.RecordBrokenCall(10, contentOf(request(1)), 1, false)
	table.RecordBrokenCall(10, contentOf(request(1)), 2, false)
	table.RecordConnected(1)
	require.Empty(t, table.RecordEndpointLoss(4000, 1, Removed))
	require.Len(t, table.RecordEndpointLoss(4000, 2, Removed), 1)
	require.Len(t, table.RecordEndpointLoss(4000, 1, Restarted), 1, "it crashed after the check")
}

// Guards against a request whose query changes each time, which counts as another one.
func TestRequestThatCrashesWithSeveralQueriesIsPoisonous(t *testing.T) {
	var table Table
	for query := range uint64(crashLimit) {
		require.False(t, isDenied(&table, 10, withQuery(1, 99)))
		table.RecordCrash(10, Crash{withQuery(1, query), query}, false)
	}
	require.True(t, isDenied(&table, 10, withQuery(1, 99)))
	require.False(t, isDenied(&table, 10, withQuery(2, 99)))
}

// Guards against requests that are refused because one with another query crashes endpoints.
func TestRequestWithAnotherQueryIsNotPoisonous(t *testing.T) {
	var table Table
	for endpoint := range uint64(crashLimit) {
		table.RecordCrash(10, Crash{withQuery(1, 7), endpoint}, false)
	}
	require.True(t, isDenied(&table, 10, withQuery(1, 7)))
	require.False(t, isDenied(&table, 10, withQuery(1, 8)))
}

// crashAll records that a request has crashed endpoints up to the limit.
func crashAll(table *Table, now bvclock.Time, request Fingerprint) {
	for endpoint := range uint64(crashLimit) {
		table.RecordCrash(now, Crash{request, endpoint}, false)
	}
}

// Guards against a request refused because it was in flight beside a poisonous one.
func TestAnswerClearsARequestThatWasInFlightAtCrashes(t *testing.T) {
	var table Table
	crashAll(&table, 10, request(1))
	crashAll(&table, 10, request(2))
	require.Len(t, table.RecordAnswer(20, request(2)), crashLimit)
	require.True(t, isDenied(&table, 20, request(1)))
	require.False(t, isDenied(&table, 20, request(2)))
}

// Guards against a popular request that is refused after all endpoints have crashed at once.
func TestRequestThatWasAnsweredShortlyBeforeIsNotPoisonous(t *testing.T) {
	var table Table
	table.RecordAnswer(10, request(2))
	crashAll(&table, 20, request(2))
	require.False(t, isDenied(&table, 20, request(2)))
	later := bvclock.Time(10).Add(2*answerWindow + 1)
	for endpoint := range uint64(crashLimit) {
		table.RecordCrash(later, Crash{request(2), 10 + endpoint}, false)
	}
	require.True(t, isDenied(&table, later, request(2)), "it was answered too long ago")
}

// Guards against an endpoint that refused connections for a moment and counts as crashed.
func TestEndpointThatAnswersHasNotCrashed(t *testing.T) {
	var table Table
	crashAll(&table, 10, request(1))
	require.Empty(t, table.RecordRunning(30, 0, 9), "the answered request was sent before")
	require.Len(t, table.RecordRunning(30, 0, 11), 1)
	require.False(t, isDenied(&table, 30, request(1)))
}

// Guards against a call that broke at an endpoint long before it ends.
func TestBrokenCallIsDroppedWhenItsEndpointAnswers(t *testing.T) {
	var table Table
	table.RecordBrokenCall(10, contentOf(request(1)), 1, false)
	table.RecordRunning(30, 1, 20)
	require.Empty(t, table.RecordEndpointLoss(40, 1, Refused))
}

// Guards against a resource of which one query crashes endpoints and others are answered.
func TestAnswerWithAnotherQueryClearsOtherQueriesOnly(t *testing.T) {
	var table Table
	crashAll(&table, 10, withQuery(1, 7))
	table.RecordCrash(10, Crash{withQuery(1, 8), 5}, false)
	require.True(t, isDenied(&table, 10, withQuery(1, 9)))
	table.RecordAnswer(11, withQuery(1, 9))
	require.False(t, isDenied(&table, 11, withQuery(1, 9)))
	require.False(t, isDenied(&table, 11, withQuery(1, 8)))
	require.True(t, isDenied(&table, 11, withQuery(1, 7)))
}

// Guards against a host that withdraws a crash while others go on counting it.
func TestWithdrawnCrashIsReported(t *testing.T) {
	var here, there Table
	crashAll(&there, 10, request(1))
	for _, report := range there.Reports(10) {
		here.Merge(10, report)
	}
	here.RecordAnswer(20, request(1))
	for _, report := range here.Reports(20) {
		there.Merge(20, report)
	}
	require.False(t, isDenied(&there, 20, request(1)))
	for _, report := range there.Reports(20) {
		require.True(t, report.Withdrawn)
	}
}

// Guards against datagrams that grow with the number of crashes, and are then too large.
func TestReportsAreBounded(t *testing.T) {
	var table Table
	for number := range uint64(3 * maxSuspects) {
		table.RecordCrash(10, Crash{request(number), number}, false)
	}
	require.Equal(t, maxSuspects, table.Len())
	require.Len(t, table.Reports(10), maxReports)
	require.Len(t, table.crashed, maxSuspects)
}

// Guards against crashes that hosts report to each other without end.
func TestReportKeepsItsAge(t *testing.T) {
	var here, there Table
	crashAll(&there, 10, request(1))
	for _, report := range there.Reports(1010) {
		require.Equal(t, bvclock.Second, report.Age)
		here.Merge(5000, report)
	}
	reports := here.Reports(5100)
	require.Len(t, reports, crashLimit)
	require.Equal(t, bvclock.Second+100, reports[0].Age)
	require.False(t, here.Merge(5000, Report{Crash: Crash{request(2), 1}, Age: crashRetention}))
}

// Guards against a host that was cut off and never learns of the earlier crashes.
func TestNewCrashRenewsTheReportOfEarlierOnes(t *testing.T) {
	var here, late Table
	crashAll(&here, 10, request(1))
	later := bvclock.Time(10).Add(reportTime + 1)
	require.Empty(t, here.Reports(later))
	late.RecordCrash(later, Crash{request(1), 99}, false)
	for _, report := range late.TakeChanges(later, 0) {
		here.Merge(later, report)
	}
	for _, report := range here.Reports(later) {
		late.Merge(later, report)
	}
	require.Equal(t, crashLimit+1, late.Crashes(request(1)))
}

// Guards against a datagram to each host of a large fleet for each request in flight at a crash.
func TestOnlyOwnChangesOfSuspectsAreReportedAtOnce(t *testing.T) {
	var table Table
	table.RecordCrash(10, Crash{request(1), 1}, false)
	table.Merge(10, Report{Crash: Crash{request(2), 1}})
	require.Len(t, table.TakeChanges(10, 1), 1)
	require.Empty(t, table.TakeChanges(10, 1))
	table.RecordCrash(10, Crash{request(1), 2}, false)
	table.RecordCrash(10, Crash{request(3), 2}, false)
	require.Len(t, table.TakeChanges(10, 2), 2, "both crashes of the first request")
	table.RecordAnswer(11, request(3))
	require.Len(t, table.TakeChanges(11, 2), 1, "it is cleared")
}

// Guards against a poisonous request that is dropped for the many in flight beside it.
func TestSuspectWithSeveralCrashesOutlastsOthers(t *testing.T) {
	var table Table
	crashAll(&table, 10, request(1))
	for number := range uint64(3 * maxSuspects) {
		table.RecordCrash(20, Crash{request(100 + number), 1000 + number}, false)
	}
	require.True(t, isDenied(&table, 20, request(1)))
	require.Equal(t, request(1), table.Reports(20)[0].Request)
}

// Guards against crashes that each host of a large fleet repeats to all others.
func TestOnlyTheDetectingHostReportsASingleCrash(t *testing.T) {
	var here, there Table
	there.RecordCrash(10, Crash{request(1), 1}, false)
	here.Merge(10, there.Reports(10)[0])
	require.Empty(t, here.Reports(10))
	here.RecordCrash(10, Crash{request(1), 2}, false)
	require.Len(t, here.Reports(10), 2)
	for _, report := range here.Reports(10) {
		there.Merge(10, report)
	}
	require.Len(t, there.Reports(10), 2)
}

func TestRequestsThatDoNotRunFreelyAreCounted(t *testing.T) {
	var table Table
	for number := range uint64(crashLimit + 1) {
		for endpoint := range number {
			table.RecordBrokenCall(10, contentOf(request(number)), 10*number+endpoint, false)
			table.RecordEndpointLoss(11, 10*number+endpoint, Refused)
		}
	}
	require.Equal(t, 2, table.RestrictedCount(12), "the requests with two crashes and with three")
	table.RecordAnswer(13, request(crashLimit))
	require.Equal(t, 1, table.RestrictedCount(14))
}
