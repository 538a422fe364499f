package bvfront

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvdispatch"
	"balsamvalve.example/bvmeasure"
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
