package bvfront

import (
	"net/http"
	"testing"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvadmission"
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvdispatch"
	"balsamvalve.example/bvmeasure"
	"balsamvalve.example/bvquota"
	"balsamvalve.example/bvroute"
	"balsamvalve.example/bvverdict"
)

// fullDispatcher has no capacity for new programs.
type fullDispatcher struct {
	Dispatcher
	runningProgram uint64 // the program that had earlier turns
}

func (fullDispatcher) Admit(string, bvdispatch.NewProgram) bvdispatch.Admission {
	return bvdispatch.Admission{Decision: bvadmission.Decision{RetryAfter: bvclock.Second}}
}

func (dispatcher fullDispatcher) HasEarlierTurns(request *bvdispatch.Request) bool {
	return request.Program == dispatcher.runningProgram
}

func (dispatcher fullDispatcher) MayHaveEarlierTurns(request *bvdispatch.Request) bool {
	return dispatcher.HasEarlierTurns(request)
}

func newTurnOf(program uint64) *call {
	return &call{
		front:     New(Parts{Dispatcher: fullDispatcher{runningProgram: 7}, Counters: bvmeasure.New(), Clock: &bvclock.Manual{}}),
		request:   &http.Request{},
		route:     &bvroute.Route{},
		service:   &bvroute.Service{Name: "model", Engine: &bvroute.Engine{}},
		placement: bvdispatch.Request{Program: program},
	}
}

// Guards against later turns that are rejected as if they were their program's first one.
func TestTurnsOfRunningProgramsAreNotRejected(t *testing.T) {
	require.NoError(t, newTurnOf(7).admit())
	err := newTurnOf(8).admit()
	require.Equal(t, bvverdict.Overloaded, bvverdict.From(err).Code())
	require.Equal(t, bvverdict.NotRun, bvverdict.Of(err))
	require.Equal(t, bvclock.Second, bvverdict.From(err).RetryAfter())
}

// overdueDispatcher knows that all programs whose deadline has passed are of no use.
type overdueDispatcher struct{ Dispatcher }

func (overdueDispatcher) IsOverdue(_, _ string, timeLeft bvclock.Duration) bool { return timeLeft < 0 }

// Guards against turns of no use to their caller that run before others at an engine.
func TestTurnOfAnOverdueProgramIsTheLeastUrgent(t *testing.T) {
	turn := newTurnOf(7)
	turn.front.parts.Dispatcher = overdueDispatcher{}
	require.Equal(t, bvdispatch.Urgency(0, false), turn.urgency(), "without a deadline")
	turn.metadata.ProgramDeadline = 100
	require.Equal(t, bvdispatch.Urgency(0, false), turn.urgency())
	turn.metadata.ProgramDeadline = -1
	require.Equal(t, bvdispatch.OverdueUrgency, turn.urgency())
}

// timeDispatcher rejects programs because of their deadline.
type timeDispatcher struct {
	fullDispatcher
	asked    *bvdispatch.NewProgram
	reported *bvclock.Duration
}

func (timeDispatcher) AdmitsByTime(string) bool { return true }

func (dispatcher timeDispatcher) Admit(_ string, program bvdispatch.NewProgram) bvdispatch.Admission {
	*dispatcher.asked = program
	decision := bvadmission.Decision{RetryAfter: 300, Reason: bvadmission.CannotEndInTime, Projected: 1, Limit: 0.5}
	return bvdispatch.Admission{Decision: decision, Capacity: bvadmission.Capacity{Calls: 12, Slots: 12, Age: 40}}
}

func (dispatcher timeDispatcher) ReportRefusal(_ *bvdispatch.Request, retryAfter bvclock.Duration) {
	*dispatcher.reported = retryAfter
}

func newTimedTurn() (*call, timeDispatcher) {
	turn := newTurnOf(8)
	turn.metadata = bvroute.Call{ProgramDeadline: 2000, LengthHint: 90, Deadline: 900}
	dispatcher := timeDispatcher{fullDispatcher{runningProgram: 7}, &bvdispatch.NewProgram{}, new(bvclock.Duration)}
	turn.front.parts.Dispatcher = dispatcher
	return turn, dispatcher
}

// Guards against decisions that ignore what the caller states about its program.
func TestAdmissionGetsWhatTheCallerStates(t *testing.T) {
	turn, dispatcher := newTimedTurn()
	turn.placement.Refusal = bvadmission.Refusal{Waited: 40}
	require.Error(t, turn.admit())
	require.Equal(t, bvclock.Duration(2000), dispatcher.asked.Deadline)
	require.Equal(t, 90, dispatcher.asked.ExpectedOutputTokens)
	require.Equal(t, bvclock.Duration(40), dispatcher.asked.Waited)
	require.Equal(t, bvclock.Duration(297), dispatcher.asked.RetryWithin)
	require.Equal(t, bvclock.Duration(300), *dispatcher.reported)
}

// Guards against a turn of a started program that counts as a new one.
func TestTurnOfARunningProgramIsNotAskedAbout(t *testing.T) {
	turn, dispatcher := newTimedTurn()
	turn.placement.Program = 7
	require.NoError(t, turn.admit())
	require.Equal(t, bvdispatch.NewProgram{}, *dispatcher.asked)
}

// Guards against rejections whose cause an operator can't find out.
func TestRejectionIsLoggedWithItsInputs(t *testing.T) {
	turn, _ := newTimedTurn()
	log, hook := test.NewNullLogger()
	turn.front.parts.Log = log
	turn.log(turn.admit())
	require.Len(t, hook.Entries, 1)
	for _, field := range []string{"projected", "limit", "calls", "slots", "age_ms", "reason"} {
		require.Contains(t, hook.LastEntry().Data, field)
	}
}

// reservedQuotas have requests left for started programs only.
type reservedQuotas struct{}

func (reservedQuotas) Take(request bvquota.Request) bvquota.Decision {
	if request.NewProgram {
		return bvquota.Decision{Outcome: bvquota.Refused, Basis: bvquota.Basis{Level: 3, Required: 9, GroupShare: 1}}
	}
	return bvquota.Decision{}
}

// silentDispatcher can't find out whether a program had earlier turns.
type silentDispatcher struct{ Dispatcher }

func (silentDispatcher) MayHaveEarlierTurns(*bvdispatch.Request) bool { return true }

// Guards against a turn of a started program that is refused below its workspace's cap because the
// program's tracker did not answer in time.
func TestTurnOfAProgramThatMayHaveStartedIsWithinTheCap(t *testing.T) {
	turn := newTurnOf(7)
	turn.metadata.Program, turn.workspace = "p", &bvroute.Workspace{Name: "w", Rate: 1}
	turn.front = New(Parts{Dispatcher: silentDispatcher{}, Counters: bvmeasure.New(), Quotas: reservedQuotas{}})
	require.NoError(t, turn.chargeQuota())
	turn.front = New(Parts{Dispatcher: fullDispatcher{runningProgram: 8}, Counters: bvmeasure.New(), Quotas: reservedQuotas{}})
	require.Error(t, turn.chargeQuota())
	require.Equal(t, 3.0, turn.quotaBasis.Level)
}
