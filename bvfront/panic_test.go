package bvfront

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvmeasure"
	"balsamvalve.example/bvverdict"
)

// Guards against a refusal of a request that may have run, after a panic.
func TestPanicIsARefusalOnlyBeforeTheFirstSend(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	call := &call{front: New(Parts{Clock: &bvclock.Manual{}, Counters: bvmeasure.New(), Log: log})}
	require.Equal(t, bvverdict.NotRun, bvverdict.Of(call.panicError("fault")))
	call.sends = 1
	require.Equal(t, bvverdict.MayHaveRun, bvverdict.Of(call.panicError("fault")))
}
