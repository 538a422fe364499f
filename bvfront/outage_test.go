package bvfront

import (
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
)

// The callers' behaviour: a request has 4 s and is retried once after a refusal; a caller
// disconnects when it receives nothing for 2 s; a failed turn is restarted twice, after
// a quarter of a second.
const (
	callerTime     = 4 * bvclock.Second
	callerSilence  = 2 * bvclock.Second
	callerAttempts = 3
	callerPause    = 250 * bvclock.Millisecond
	turnTime       = 250 * bvclock.Millisecond // of an engine, from the request to the last event
)

type policy func(outage, remaining, total bvclock.Duration) (retryAfter bvclock.Duration, run bool)

// rejectTurn and runAtOnce are the alternatives that TestTurnsOutlastAnOutage compares with.
func rejectTurn(_, _, _ bvclock.Duration) (bvclock.Duration, bool) { return bvclock.Second, false }
func runAtOnce(_, _, _ bvclock.Duration) (bvclock.Duration, bool)  { return 0, true }

// simulateTurn simulates a turn that a caller starts at a time within an outage of the
// store. It returns how long after the outage the turn ended, and false if its caller
// abandoned it.
func simulateTurn(decide policy, start, outage bvclock.Duration) (delay bvclock.Duration, served bool) {
	now := start
	for range callerAttempts {
		deadline := now + callerTime
		for attempt := range 2 {
			if now >= outage {
				return now + turnTime - outage, true
			}
			retryAfter, run := decide(now, deadline-now, callerTime)
			if !run && attempt == 0 {
				now += min(retryAfter, (deadline-now)/3)
				continue
			}
			if !run {
				break // refused twice
			}
			ready := now + turnTime
			if callerLeaves := min(ready+callerSilence, deadline); outage <= callerLeaves {
				return max(ready, outage) - outage, true
			}
			now = min(ready+callerSilence, deadline)
			break
		}
		now += callerPause
	}
	return 0, false
}

// simulateOutage returns the share of turns served, of those that start at any time of an
// outage, and the mean time from the end of the outage until they end.
func simulateOutage(decide policy, outage bvclock.Duration) (served float64, meanDelay bvclock.Duration) {
	count, total := 0, bvclock.Duration(0)
	start := bvclock.Duration(0)
	for ; start < outage; start += 10 {
		if delay, ended := simulateTurn(decide, start, outage); ended {
			count++
			total += delay
		}
	}
	return float64(count) / float64(start/10), total / bvclock.Duration(max(count, 1))
}

// Guards against callers that exhaust their attempts before an outage ends.
func TestTurnsOutlastAnOutage(t *testing.T) {
	for _, outage := range []bvclock.Duration{1000, 2500, 4500, 7000, 9000} {
		served, _ := simulateOutage(decideTurn, outage)
		require.Equal(t, 1.0, served, "outage of %s", outage)
	}
	rejected, _ := simulateOutage(rejectTurn, 7*bvclock.Second)
	require.Less(t, rejected, 0.7)
	atOnce, _ := simulateOutage(runAtOnce, 9*bvclock.Second)
	require.Less(t, atOnce, 0.9)
}

// Guards against callers that wait on after a short outage has ended.
func TestTurnsEndWithAShortOutage(t *testing.T) {
	_, delay := simulateOutage(decideTurn, 1500)
	require.LessOrEqual(t, delay, turnTime)
}

// Guards against engines that work for callers that will have disconnected.
func TestNoTurnIsRunInALongOutage(t *testing.T) {
	_, run := decideTurn(refuseAfter, callerTime/2, callerTime)
	require.False(t, run)
}

func TestRetryAfterStaysWithinWhatCallersHonor(t *testing.T) {
	retryAfter, run := decideTurn(3*bvclock.Second, callerTime, callerTime)
	require.False(t, run)
	require.Less(t, retryAfter, callerTime/3)
	require.Greater(t, retryAfter, callerTime/4)
}

func TestRetryingCallerIsServed(t *testing.T) {
	_, run := decideTurn(3*bvclock.Second, callerTime*2/3, callerTime)
	require.True(t, run)
}
