package bvfront

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

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

func (fullDispatcher) Admit(string, bvdispatch.NewProgram) (bvclock.Duration, bool) {
	return bvclock.Second, false
}

func (dispatcher fullDispatcher) HasEarlierTurns(request *bvdispatch.Request) bool {
	return request.Program == dispatcher.runningProgram
}

func (dispatcher fullDispatcher) MayHaveEarlierTurns(request *bvdispatch.Request) bool {
	return dispatcher.HasEarlierTurns(request)
}

func newTurnOf(program uint64) *call {
	return &call{
		front:     New(Parts{Dispatcher: fullDispatcher{runningProgram: 7}, Counters: bvmeasure.New()}),
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
