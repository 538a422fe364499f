package bventry

import (
	"context"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvhost"
	"balsamvalve.example/bvmeasure"
	"balsamvalve.example/bvpeer"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvverdict"
)

// stalledOwner accepts calls and never answers.
type stalledOwner struct{}

func (stalledOwner) Run(ctx context.Context, _ *bvpeer.Call, _ func(*bvpeer.CallEvent) error) error {
	<-ctx.Done()
	return bvverdict.New(bvverdict.MayHaveRun, bvverdict.Canceled, "call canceled").WithCause(ctx.Err())
}

func (stalledOwner) Fetch(context.Context, string, string, string) ([]byte, error) { return nil, nil }

func (stalledOwner) EndProgram(context.Context, string, string) error { return nil }

// Guards against a caller who waits beyond its deadline for an owner whose host has stalled
// but still answers pings.
func TestStalledOwnerDoesNotHoldTheCallerBeyondItsDeadline(t *testing.T) {
	view := &bvhost.View{}
	view.SetSelf(bvplatform.Host{Name: "host-1"})
	entry := New(&bvclock.Manual{}, view, &bvpeer.Pool{}, stalledOwner{}, bvmeasure.New(), logrus.New())
	call := &bvpeer.Call{Member: "piran", Program: "lesson", DeadlineMs: 20}
	err := entry.Run(t.Context(), call, func(*bvpeer.CallEvent) error { return nil })
	require.Equal(t, bvverdict.DeadlinePassed, bvverdict.From(err).Code())
	require.Equal(t, bvverdict.MayHaveRun, bvverdict.Of(err))
	require.Positive(t, bvverdict.From(err).RetryAfter())
}
