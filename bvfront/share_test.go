package bvfront

import (
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvadmission"
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvdispatch"
	"balsamvalve.example/bvmeasure"
	"balsamvalve.example/bvroute"
	"balsamvalve.example/bvshare"
)

// sharingDispatcher rejects every program because of its workspace's share.
type sharingDispatcher struct{ fullDispatcher }

func (sharingDispatcher) Admit(_ string, program bvdispatch.NewProgram) bvdispatch.Admission {
	*program.Standing = bvshare.Standing{Share: 1, Use: 2, Asked: 3, Age: 400, Over: true, Known: true}
	return bvdispatch.Admission{Decision: bvadmission.Decision{RetryAfter: bvclock.Second}}
}

// Guards against a rejection by a share that can't be explained afterwards.
func TestRejectionByAShareIsLoggedAndCounted(t *testing.T) {
	log, hook := test.NewNullLogger()
	counters, turn := bvmeasure.New(), newTurnOf(8)
	turn.front = New(Parts{Dispatcher: sharingDispatcher{}, Counters: counters, Log: log, Clock: &bvclock.Manual{}})
	turn.workspace = &bvroute.Workspace{Name: "flood"}
	require.Error(t, turn.admit())
	require.Len(t, hook.AllEntries(), 1)
	require.Equal(t, logrus.Fields{"request": "", "workspace": "flood", "share": 1.0, "use": 2.0, "demand": 3.0, "age_ms": int64(400)}, hook.LastEntry().Data)
	require.EqualValues(t, 1, counters.Get("share_rejections"))
}
