package bvadmission

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"balsamvalve.example/bvclock"
)

// Guards against more retries than can be admitted.
func TestTimesToRetryAreSpacedByTheRateOfAdmissions(t *testing.T) {
	var controller Controller
	for range 20 {
		controller.RecordStart(1)
	}
	first := controller.RetryAfter(1, newProgram(0))
	second := controller.RetryAfter(1, newProgram(0))
	require.Equal(t, startsDecay/20, second-first)
}

func TestMoreUrgentProgramsRetryFirst(t *testing.T) {
	var controller Controller
	for range 20 {
		controller.RecordStart(1)
	}
	controller.RetryAfter(1, newProgram(2))
	later := controller.RetryAfter(1, newProgram(2))
	require.Less(t, controller.RetryAfter(1, newProgram(0)), later)
}

func TestEarlyRetryKeepsItsTime(t *testing.T) {
	var controller Controller
	early := newProgram(0)
	early.Refusal = Refusal{Waited: 50, DueIn: 120}
	require.Equal(t, bvclock.Duration(120), controller.RetryAfter(1, early))
}

func TestRetryAtItsTimeGoesBeforeNewPrograms(t *testing.T) {
	due, early := newProgram(0), newProgram(0)
	due.Deadline, due.Refusal = 2990, Refusal{Waited: 10}
	early.Deadline, early.Refusal = 2990, Refusal{Waited: 10, DueIn: 50}
	require.Greater(t, limitOf(newTaughtController(), due), limitOf(newTaughtController(), early))
}

// Guards against a time that the caller does not wait for.
func TestTimeToRetryIsNeverLongerThanTheCallerWaits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var controller Controller
		for range rapid.IntRange(1, 50).Draw(t, "rejections") {
			program := newProgram(rapid.IntRange(0, 9).Draw(t, "priority"))
			program.DueIn = bvclock.Duration(rapid.Int64Range(-10, 1e6).Draw(t, "due"))
			retryAfter := controller.RetryAfter(bvclock.Time(rapid.Int64Range(0, 1000).Draw(t, "now")), program)
			require.Positive(t, retryAfter)
			require.LessOrEqual(t, retryAfter, program.RetryWithin)
		}
	})
}

func TestFirstRejectionIsKept(t *testing.T) {
	var refusals Refusals
	refusals.Record(100, 7, Refusal{Waited: 1, DueIn: 200})
	refusals.Record(400, 7, Refusal{Waited: 1, DueIn: 300})
	found, known := refusals.Find(500, 7)
	require.True(t, known)
	require.Equal(t, Refusal{Waited: 401, DueIn: 200}, found)
}

func TestRejectionsAreRemovedAfterTheirTime(t *testing.T) {
	var refusals Refusals
	refusals.Record(0, 7, Refusal{Waited: 1, DueIn: 200})
	_, known := refusals.Find(bvclock.Time(200+refusalRetention), 7)
	require.True(t, known)
	_, known = refusals.Find(bvclock.Time(201+refusalRetention), 7)
	require.False(t, known)
	require.Zero(t, refusals.programs.Len())
}

func TestRejectionsAreBounded(t *testing.T) {
	var refusals Refusals
	for program := range uint64(maxRefusals + 10) {
		refusals.Record(0, program, Refusal{Waited: 1})
	}
	require.Equal(t, maxRefusals, refusals.programs.Len())
}
