package bvsuspect

import (
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
)

// contentWith returns a request with shared features.
func contentWith(number uint64, shared ...uint64) Content {
	content := Content{Request: request(number)}
	for _, hash := range shared {
		content.Shared = append(content.Shared, newShared(Part, hash))
	}
	return content
}

// crashEach records that each request crashes an endpoint of its own, at intervals.
func crashEach(table *Table, start bvclock.Time, interval bvclock.Duration, contents ...Content) (now bvclock.Time) {
	now = start
	for number, content := range contents {
		endpoint := uint64(now)*100 + uint64(number)
		table.RecordBrokenCall(now, content, endpoint, false)
		table.RecordEndpointLoss(now, endpoint, Refused)
		now = now.Add(interval)
	}
	return now
}

// Guards against requests that each start without a crash, though they crash endpoints by the same part.
func TestPartOfSeveralRequestsIsPoisonous(t *testing.T) {
	var table Table
	now := crashEach(&table, 10, 5, contentWith(1, 7), contentWith(2, 7), contentWith(3, 7))
	decision := table.DecideContent(now, contentWith(3, 7))
	require.Equal(t, Exclusive, decision.Access)
	require.Equal(t, newShared(Part, 7), decision.Cause)
	now = crashEach(&table, now, 5, contentWith(4, 7))
	require.Equal(t, Denied, table.DecideContent(now, contentWith(5, 7)).Access)
	require.Equal(t, Free, table.DecideContent(now, contentWith(5, 8)).Access)
}

// Guards against a popular part refused because it was in flight beside a poisonous one.
func TestPartThatIsAnsweredElsewhereIsNotRestricted(t *testing.T) {
	var table Table
	now := bvclock.Time(10)
	for number := range uint64(10) {
		table.RecordSharedAnswer(now, 8, now.Add(-1))
		now = crashEach(&table, now, sharedAnswerWindow/2, contentWith(number, 8))
	}
	require.Equal(t, Free, table.DecideContent(now, contentWith(100, 8)).Access)
}

// Guards against crashes that do not count because the part was answered before endpoints crashed by it.
func TestPartThatWasAnsweredLongBeforeIsPoisonous(t *testing.T) {
	var table Table
	table.RecordSharedAnswer(10, 7, 9)
	now := crashEach(&table, bvclock.Time(10).Add(sharedAnswerWindow), 5, contentWith(1, 7), contentWith(2, 7), contentWith(3, 7), contentWith(4, 7))
	require.Equal(t, Denied, table.DecideContent(now, contentWith(5, 7)).Access)
}

// Guards against a path of all requests that is restricted after all endpoints have crashed at once.
func TestFeatureOfAllRequestsIsNotRestrictedWhenAllEndpointsCrash(t *testing.T) {
	var table Table
	table.RecordSharedAnswer(10, 7, 9)
	now := bvclock.Time(10).Add(sharedAnswerWindow - 1)
	for endpoint := range uint64(5 * sharedCrashLimit) {
		table.RecordBrokenCall(now, contentWith(1+endpoint, 7), endpoint, false)
		table.RecordEndpointLoss(now, endpoint, Refused)
	}
	require.Equal(t, Free, table.DecideContent(now, contentWith(100, 7)).Access)
}

// Guards against an innocent part that stays restricted although requests with it end well again.
func TestAnswerClearsAPartOfAllEarlierCrashes(t *testing.T) {
	var table Table
	now := crashEach(&table, 10, 5, contentWith(1, 7), contentWith(2, 7), contentWith(3, 7), contentWith(4, 7))
	require.Len(t, table.RecordSharedAnswer(now.Add(10), 7, now), sharedCrashLimit)
	require.Equal(t, Free, table.DecideContent(now, contentWith(6, 7)).Access)
}

// Guards against crashes that are withdrawn by answers whose runs began before endpoints crash by the part.
func TestAnswerThatWasInProgressDoesNotClearAPart(t *testing.T) {
	var table Table
	now := crashEach(&table, 10, 5, contentWith(1, 7), contentWith(2, 7), contentWith(3, 7), contentWith(4, 7))
	require.Empty(t, table.RecordSharedAnswer(now, 7, 9))
	require.Equal(t, Denied, table.DecideContent(now, contentWith(5, 7)).Access)
}

// Guards against innocent requests that are restricted with the poisonous one beside them.
func TestCrashWithABetterExplanationDoesNotCount(t *testing.T) {
	var table Table
	for endpoint := range uint64(sharedCrashLimit) {
		table.RecordBrokenCall(10, contentWith(1+endpoint, 7), endpoint, false)
		if endpoint > 0 {
			table.RecordBrokenCall(10, contentWith(100, 8), endpoint, false)
		}
		table.RecordEndpointLoss(11, endpoint, Refused)
	}
	require.Equal(t, Denied, table.DecideContent(12, contentWith(50, 7)).Access)
	require.Equal(t, Free, table.DecideContent(12, contentWith(100, 8)).Access)
}

// Guards against a poisonous request that is let through because another one crashed some of its endpoints.
func TestRequestWithCrashesOfItsOwnIsPoisonousBesideAnother(t *testing.T) {
	var table Table
	for endpoint := range uint64(2 * sharedCrashLimit) {
		table.RecordBrokenCall(10, contentWith(1+endpoint, 7), endpoint, false)
		if endpoint >= sharedCrashLimit {
			table.RecordBrokenCall(10, contentWith(100, 8), endpoint, false)
		}
		table.RecordEndpointLoss(11, endpoint, Refused)
	}
	now := crashEach(&table, 12, 5, contentWith(101, 8), contentWith(102, 8), contentWith(103, 8), contentWith(104, 8))
	require.Equal(t, Denied, table.DecideContent(now, contentWith(105, 8)).Access)
}

// Guards against a caller that has the parts of another workspace refused.
func TestPartsOfOtherWorkspacesAndModelsDiffer(t *testing.T) {
	hashes := make(map[Fingerprint]bool)
	for _, scope := range []Scope{{}, {Workspace: "ana"}, {Workspace: "bor"}, {Model: "ana"}, {Workspace: "ana", Model: "m"}} {
		var content Content
		content.AddParts(scope, []uint64{1})
		content.AddObject(scope, 1)
		require.Len(t, content.Shared, 2)
		hashes[content.Shared[0]], hashes[content.Shared[1]] = true, true
	}
	require.Len(t, hashes, 10)
}

// Guards against a request whose prompt has so many parts that they displace the suspects.
func TestFeaturesOfARequestStayBounded(t *testing.T) {
	var content Content
	parts := make([]uint64, 10_000)
	for i := range parts {
		parts[i] = uint64(i)
	}
	content.AddParts(Scope{}, parts)
	content.AddParts(Scope{}, parts)
	require.Len(t, content.Shared, maxParts)
}

// Guards against changes that are never reported because many requests were in flight at one crash.
func TestAllChangesAreTakenInTurn(t *testing.T) {
	var table Table
	for number := range uint64(3 * maxReports) {
		table.RecordBrokenCall(10, contentOf(request(1+number)), 1, false)
	}
	table.RecordEndpointLoss(10, 1, Refused)
	taken := 0
	for reports := table.TakeChanges(11, 0); len(reports) > 0; reports = table.TakeChanges(11, 0) {
		require.LessOrEqual(t, len(reports), maxReports)
		taken += len(reports)
	}
	require.Equal(t, 3*maxReports, taken)
}

// Guards against requests refused for a part that they share with requests whose path crashes endpoints.
func TestNarrowerFeatureExplainsTheCrashes(t *testing.T) {
	var table Table
	poisonous := func(number uint64) Content {
		content := contentWith(number, 7)
		content.Shared = append(content.Shared, newShared(Path, 9))
		return content
	}
	now := bvclock.Time(10)
	for number := range uint64(sharedCrashLimit) {
		now = crashEach(&table, now, 5, poisonous(1+number))
		require.Equal(t, Free, table.DecideContent(now, contentWith(100, 7)).Access, "after %d crashes", 1+number)
	}
	decision := table.DecideContent(now, poisonous(50))
	require.Equal(t, Denied, decision.Access)
	require.Equal(t, newShared(Path, 9), decision.Cause)
}

// asOlderBuild returns a report as a host reports it whose build knows whole requests only.
func asOlderBuild(report Report) Report {
	report.Request.Feature = WholeRequest
	return report
}

// Guards against a poisonous part whose crashes any earlier answer withdraws, since an older build reports it as a request.
func TestReportOfAnOlderBuildDoesNotClearAPart(t *testing.T) {
	var table Table
	table.RecordSharedAnswer(10, 7, 9)
	now := crashEach(&table, bvclock.Time(10).Add(sharedAnswerWindow), 5, contentWith(1, 7), contentWith(2, 7), contentWith(3, 7), contentWith(4, 7))
	for _, report := range table.Reports(now) {
		table.Merge(now, asOlderBuild(report))
	}
	require.Equal(t, Denied, table.DecideContent(now, contentWith(5, 7)).Access)
}

// Guards against a part that is taken for a request because an older build reported it first.
func TestPartThatAnOlderBuildReportedFirstIsAPart(t *testing.T) {
	var here, there Table
	now := crashEach(&there, 10, 5, contentWith(1, 7), contentWith(2, 7))
	for _, report := range there.Reports(now) {
		here.Merge(now, asOlderBuild(report))
		here.Merge(now, report)
	}
	require.Equal(t, newShared(Part, 7), here.suspects[7].request)
}

// Guards against a path of all requests that is refused for a poisonous part, since it is narrower.
func TestFeatureThatWasAnsweredRecentlyIsNotTheCause(t *testing.T) {
	var table Table
	table.RecordSharedAnswer(10, 9, 9)
	poisonous := func(number uint64) Content {
		content := contentWith(number, 7)
		content.Shared = append(content.Shared, newShared(Path, 9))
		return content
	}
	now := bvclock.Time(10).Add(sharedAnswerWindow)
	now = crashEach(&table, now, 5, poisonous(1), poisonous(2), poisonous(3), poisonous(4))
	require.Equal(t, newShared(Part, 7), table.DecideContent(now, poisonous(5)).Cause)
	innocent := Content{Request: request(50), Shared: []Fingerprint{newShared(Path, 9)}}
	require.Equal(t, Free, table.DecideContent(now, innocent).Access)
}

// Guards against a shared feature restricted before the reports of the crashes and answers to others with it arrive.
func TestCrashesOfSharedFeaturesSettle(t *testing.T) {
	table := Table{settleTime: sharedSettleTime}
	now := crashEach(&table, 1000, 5, contentWith(1, 7), contentWith(2, 7), contentWith(3, 7), contentWith(4, 7))
	require.Equal(t, Free, table.DecideContent(now, contentWith(5, 7)).Access)
	require.Equal(t, 4, table.Crashes(newShared(Part, 7)), "they are known")
	now = now.Add(sharedSettleTime)
	require.Equal(t, Denied, table.DecideContent(now, contentWith(5, 7)).Access)
	for number := range uint64(3) {
		now = crashEach(&table, now, 5, contentWith(100+number))
	}
	now = crashEach(&table, now, 5, contentWith(200), contentWith(200))
	require.Equal(t, Exclusive, table.DecideContent(now, contentWith(200)).Access, "a request's own crashes count at once")
}
