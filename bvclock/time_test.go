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

func TestAlarmRingsOnceForTheLastTime(t *testing.T) {
	var alarm Alarm
	rung := make(chan string, 2)
	alarm.Set(0, 3600*Time(Second), func() { rung <- "first" })
	alarm.Set(0, 1, func() { rung <- "second" })
	require.Equal(t, "second", <-rung)
	alarm.Clear()
	require.Empty(t, rung)
}
