package bvadmission

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"balsamvalve.example/bvclock"
)

// newProgram is a program that was never rejected.
func newProgram(priority int) Program {
	return Program{Route: "r", Priority: priority, Deadline: 3000, RetryWithin: 1000}
}

func loaded(share float64) Capacity { return Capacity{Calls: share * 120, Slots: 120, Endpoints: 10} }

// newTaughtController has seen calls that take twice as long with all slots taken.
func newTaughtController() *Controller {
	controller := &Controller{}
	for i := range 400 {
		share := float64(i%10) / 10
		controller.RecordTurn(1, Turn{EngineTime: bvclock.Duration(200 * (1 + share)), OutputTokens: 200, LoadShare: share, TimeLeft: 500})
	}
	return controller
}

func limitOf(controller *Controller, program Program) float64 {
	return controller.Admit(1, program, loaded(0.5)).Limit
}

func TestHostThatHasLearnedNothingUsesTheFixedLimit(t *testing.T) {
	var controller Controller
	decision := controller.Admit(1, newProgram(1), loaded(FixedLimit))
	require.False(t, decision.Admitted)
	require.Equal(t, FixedLoadLimit, decision.Reason)
	require.True(t, controller.Admit(1, newProgram(1), loaded(FixedLimit-0.01)).Admitted)
}

// Guards against rejections because of a load that has passed.
func TestOldCapacityCountsAsUnknown(t *testing.T) {
	capacity := loaded(1.18)
	capacity.Age = maxCapacityAge + 1
	require.True(t, newTaughtController().Admit(1, newProgram(0), capacity).Admitted)
	capacity.Age = maxCapacityAge
	require.False(t, newTaughtController().Admit(1, newProgram(0), capacity).Admitted)
}

func TestDeadlineOfZeroOrLessCountsAsAbsent(t *testing.T) {
	for _, deadline := range []bvclock.Duration{0, -5} {
		program := newProgram(0)
		program.Deadline = deadline
		require.Equal(t, FixedLimit, limitOf(newTaughtController(), program))
	}
}

func TestDeadlineBeyondAnHourCountsAsAnHour(t *testing.T) {
	hour, year := newProgram(0), newProgram(0)
	hour.Deadline, year.Deadline = bvclock.Hour, 9000*bvclock.Hour
	require.Equal(t, limitOf(newTaughtController(), hour), limitOf(newTaughtController(), year))
}

// Guards against programs that are admitted after they have lost their time to rejections.
func TestProgramThatHasWaitedTooLongIsRejected(t *testing.T) {
	controller := newTaughtController()
	require.True(t, controller.Admit(1, newProgram(0), loaded(0.6)).Admitted)
	waited := newProgram(0)
	waited.Deadline, waited.Waited = 2100, 900
	decision := controller.Admit(1, waited, loaded(0.6))
	require.False(t, decision.Admitted)
	require.Equal(t, CannotEndInTime, decision.Reason)
	waited.Deadline, waited.Waited = -200, 3200
	require.False(t, controller.Admit(1, waited, loaded(0.6)).Admitted, "its time is over")
}

func TestReserveIsForTheMostUrgentPrograms(t *testing.T) {
	controller := newTaughtController()
	require.Greater(t, limitOf(controller, newProgram(0)), limitOf(controller, newProgram(1)))
}

// Guards against a reserve that is kept although only one priority requests admission.
func TestThereIsNoReserveForOnePriority(t *testing.T) {
	controller := newTaughtController()
	require.Equal(t, limitOf(controller, newProgram(2)), limitOf(newTaughtController(), newProgram(0)))
}

func TestLateTurnsLowerTheLimit(t *testing.T) {
	controller := newTaughtController()
	before := limitOf(controller, newProgram(0))
	for range 10 {
		controller.RecordTurn(1, Turn{LoadShare: 0.9, TimeLeft: -1})
	}
	require.Less(t, limitOf(controller, newProgram(0)), before)
}

// Guards against limits that follow from turns at times when nothing is rejected.
func TestTurnsWithLittleLoadDoNotChangeTheLimit(t *testing.T) {
	controller := newTaughtController()
	before := controller.correction
	for i := range 500 {
		controller.RecordTurn(1, Turn{LoadShare: 0.2, TimeLeft: bvclock.Duration(i%2) - 1})
	}
	require.Equal(t, before, controller.correction)
}

// Guards against a limit that rejects everything, or that is no number, after odd reports.
func TestLimitIsBoundedForAllInputs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var controller Controller
		for range rapid.IntRange(0, 30).Draw(t, "turns") {
			controller.RecordTurn(bvclock.Time(rapid.Int64Range(0, 1e6).Draw(t, "at")), Turn{
				EngineTime: bvclock.Duration(rapid.Int64().Draw(t, "time")), OutputTokens: rapid.Int().Draw(t, "tokens"),
				LoadShare: rapid.Float64().Draw(t, "share"), TimeLeft: bvclock.Duration(rapid.Int64().Draw(t, "left")),
			})
		}
		program := Program{Priority: rapid.IntRange(-1, 9).Draw(t, "priority"), Deadline: bvclock.Duration(rapid.Int64Range(-1e9, 1e9).Draw(t, "deadline"))}
		program.Waited = bvclock.Duration(rapid.Int64Range(0, 1e9).Draw(t, "waited"))
		limit := controller.Admit(1, program, loaded(0.5)).Limit
		require.False(t, math.IsNaN(limit))
		require.GreaterOrEqual(t, limit, minLimit*(1-maxReserve))
		require.LessOrEqual(t, limit, FixedLimit*(1+dueExtra))
	})
}

// Guards against programs that are long for their route but not yet without worth.
func TestTurnIsOverdueAfterTwiceTheTimeOfAllPrograms(t *testing.T) {
	controller := newTaughtController()
	require.False(t, controller.IsOverdue("r", -9000), "of an unknown route")
	for i := range 200 {
		program := newProgram(0)
		program.Deadline = bvclock.Duration(2000 + 2000*(i%2))
		controller.Admit(1, program, loaded(0.5))
	}
	require.False(t, controller.IsOverdue("r", -4000))
	require.False(t, controller.IsOverdue("r", 9000))
	require.True(t, controller.IsOverdue("r", -9000))
}

func TestRoutesAreBounded(t *testing.T) {
	var sizes sizes
	for i := range maxRoutes + 10 {
		sizes.add(string(rune('A'+i)), 1000)
	}
	require.Len(t, sizes.routes, maxRoutes)
}
