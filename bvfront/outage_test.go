package bvfront

import (
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
)

// As the users' callers do: a request has 4 s and is made once more after a
// refusal; a caller leaves when nothing comes for 2 s; a turn that failed is begun
// anew twice, after a quarter of a second.
const (
	callerTime  = 4 * bvclock.Second
	callerGap   = 2 * bvclock.Second
	callerTries = 3
	callerPause = 250 * bvclock.Millisecond
	turnTime    = 250 * bvclock.Millisecond // of an engine, from the request to the last event
)

type policy func(away, left, whole bvclock.Duration) (comeBack bvclock.Duration, run bool)

// sendAway is what was done before with new conversations, runAtOnce with others.
func sendAway(_, _, _ bvclock.Duration) (bvclock.Duration, bool)  { return bvclock.Second, false }
func runAtOnce(_, _, _ bvclock.Duration) (bvclock.Duration, bool) { return 0, true }

// lastTurn plays a turn that a caller begins some time after the store has gone. It
// returns how long after the store's return it ended, and false where its caller
// gave it up.
func lastTurn(decide policy, begins, outage bvclock.Duration) (late bvclock.Duration, served bool) {
	now := begins
	for range callerTries {
		deadline := now + callerTime
		for again := range 2 {
			if now >= outage {
				return now + turnTime - outage, true
			}
			comeBack, run := decide(now, deadline-now, callerTime)
			if !run && again == 0 {
				now += min(comeBack, (deadline-now)/3)
				continue
			}
			if !run {
				break // refused twice
			}
			ready := now + turnTime
			if leaves := min(ready+callerGap, deadline); outage <= leaves {
				return max(ready, outage) - outage, true
			}
			now = min(ready+callerGap, deadline)
			break
		}
		now += callerPause
	}
	return 0, false
}

// play returns the share of turns that are served, of those that begin at any time of
// an outage, and the mean time until they end after the store's return.
func play(decide policy, outage bvclock.Duration) (served float64, late bvclock.Duration) {
	count, total := 0, bvclock.Duration(0)
	begins := bvclock.Duration(0)
	for ; begins < outage; begins += 10 {
		if after, ended := lastTurn(decide, begins, outage); ended {
			count++
			total += after
		}
	}
	return float64(count) / float64(begins/10), total / bvclock.Duration(max(count, 1))
}

// Guards against callers who use up their tries before an outage is over.
func TestTurnsOutlastAnOutage(t *testing.T) {
	for _, outage := range []bvclock.Duration{1000, 2500, 4500, 7000, 9000} {
		served, _ := play(holdTurn, outage)
		require.Equal(t, 1.0, served, "outage of %s", outage)
	}
	away, _ := play(sendAway, 7*bvclock.Second)
	require.Less(t, away, 0.7)
	atOnce, _ := play(runAtOnce, 9*bvclock.Second)
	require.Less(t, atOnce, 0.9)
}

// In a short outage nobody waits for longer than until the store is back.
func TestTurnsEndWithAShortOutage(t *testing.T) {
	_, late := play(holdTurn, 1500)
	require.LessOrEqual(t, late, turnTime)
}

// In an outage that goes on, engines do not work for callers who will have left.
func TestNoTurnIsRunInALongOutage(t *testing.T) {
	_, run := holdTurn(refuseAfter, callerTime/2, callerTime)
	require.False(t, run)
}

func TestCallerIsToldToComeBackWithinWhatItHeeds(t *testing.T) {
	comeBack, run := holdTurn(3*bvclock.Second, callerTime, callerTime)
	require.False(t, run)
	require.Less(t, comeBack, callerTime/3)
	require.Greater(t, comeBack, callerTime/4)
}

func TestCallerThatHasComeBackIsServed(t *testing.T) {
	_, run := holdTurn(3*bvclock.Second, callerTime*2/3, callerTime)
	require.True(t, run)
}
