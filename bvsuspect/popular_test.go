package bvsuspect

import (
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
)

// crashAndAnswer lets endpoints crash with a popular part in flight, and the part be answered after each crash.
func crashAndAnswer(table *Table, start bvclock.Time, interval bvclock.Duration, crashes uint64) (now bvclock.Time) {
	now = start
	for endpoint := range crashes {
		table.RecordCrash(now, Crash{newShared(Part, 7), endpoint}, false)
		table.RecordSharedAnswer(now.Add(2), 7, now.Add(1))
		now = now.Add(interval)
	}
	return now
}

// Guards against a popular part that collects the crashes of all time.
func TestWithdrawnCrashesOfAPopularPartExpire(t *testing.T) {
	var table Table
	now := crashAndAnswer(&table, 10, bvclock.Minute, 600)
	table.Reports(now)
	require.LessOrEqual(t, len(table.suspects[7].crashes), int(crashRetention/bvclock.Minute))
	require.LessOrEqual(t, len(table.crashed), int(crashRetention/bvclock.Minute))
}

// Guards against a poisonous request that no digest reports, since a popular part has more crashes than fit.
func TestPopularPartDoesNotDisplaceOtherReports(t *testing.T) {
	var table Table
	crashAll(&table, 20, request(1))
	now := crashAndAnswer(&table, 20, 5, maxReports)
	count := 0
	for _, report := range table.Reports(now) {
		if report.Request == request(1) {
			count++
		}
	}
	require.Equal(t, crashLimit, count)
}

// Guards against a withdrawal that is not reported because later crashes are.
func TestLastChangesOfASuspectAreReported(t *testing.T) {
	var table Table
	for endpoint := range uint64(maxReports) {
		table.RecordCrash(bvclock.Time(10+endpoint), Crash{newShared(Part, 7), endpoint}, false)
	}
	table.RecordSharedAnswer(200, 7, 150)
	require.True(t, table.Reports(201)[0].Withdrawn)
}
