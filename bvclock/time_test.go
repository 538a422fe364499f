package bvclock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSecondsAreRoundedUp(t *testing.T) {
	require.EqualValues(t, 2, (1001 * Millisecond).Seconds())
	require.EqualValues(t, 1, (1 * Millisecond).Seconds())
	require.Zero(t, Duration(0).Seconds())
}

func TestBootClockRunsInMilliseconds(t *testing.T) {
	clock := Boot()
	before := clock.Now()
	time.Sleep(20 * time.Millisecond)
	require.GreaterOrEqual(t, clock.Now().Sub(before), 19*Millisecond)
}

func TestTimerFiresOnceForTheLastTime(t *testing.T) {
	var timer Timer
	fired := make(chan string, 2)
	timer.Set(0, 3600*Time(Second), func() { fired <- "first" })
	timer.Set(0, 1, func() { fired <- "second" })
	require.Equal(t, "second", <-fired)
	timer.Stop()
	require.Empty(t, fired)
}
