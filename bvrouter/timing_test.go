package bvrouter

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"balsamvalve.example/bvclock"
)

// Guards against limits that are set one by one and together exceed the bound on a change.
func TestStepsOfAChangeFitIntoItsBound(t *testing.T) {
	paths := map[string]float64{
		"list from the store, one answer lost": pollShare + pollGraceShare + rereadShare + sendShare,
		"list from the second reader, the first one silent": maxFollowedAgeShare + followerPollShare + sourceTimeoutShare +
			sourceTimeoutShare + sendShare,
		"list from the store, both readers silent and one answer lost": followerPollShare + readersPerZone*sourceTimeoutShare +
			pollGraceShare + rereadShare + sendShare,
		"state from the store, one answer lost": stateWaitShare + pollGraceShare + rereadShare,
		"state from the second reader, the first one silent": maxFollowedAgeShare + followerStateShare +
			2*sourceTimeoutShare,
		"state from the store, both readers silent and one answer lost": followerStateShare + readersPerZone*sourceTimeoutShare +
			readerPollShare + pollGraceShare + rereadShare,
	}
	for path, sum := range paths {
		require.LessOrEqual(t, sum, 1.0+1e-9, path)
	}
	require.Less(t, 2*readerPollShare, maxFollowedAgeShare, "a reader's list is two polls old at most")
}

// Guards against a pause and a wait that add up to more than the interval, and against requests whose number grows with early answers.
func TestPollPaceKeepsTheInterval(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const interval = 1000 * bvclock.Millisecond
		var pace pollPace
		var now bvclock.Duration
		requests := rapid.IntRange(1, 50).Draw(t, "requests")
		for range requests {
			wait := pace.nextWait(interval)
			elapsed := min(wait, bvclock.Duration(rapid.IntRange(0, 1200).Draw(t, "answered after")))
			pause := pace.pauseAfterNoChange(interval, elapsed)
			require.GreaterOrEqual(t, pause, bvclock.Duration(0))
			require.LessOrEqual(t, pause+pace.nextWait(interval), interval)
			now += elapsed + pause
		}
		require.GreaterOrEqual(t, now, bvclock.Duration(requests)*interval/3)
	})
}

func TestRequestsWaitForTheIntervalUnlessAnswersComeEarly(t *testing.T) {
	const interval = 1000 * bvclock.Millisecond
	var pace pollPace
	require.Equal(t, interval, pace.nextWait(interval))
	require.Zero(t, pace.pauseAfterNoChange(interval, 1005))
	require.Equal(t, 980*bvclock.Millisecond, pace.pauseAfterNoChange(interval, 20))
	require.Equal(t, 20*bvclock.Millisecond, pace.nextWait(interval))
	for range 10 {
		pace.pauseAfterNoChange(interval, interval)
	}
	require.Equal(t, interval, pace.nextWait(interval), "answers are no longer early")
}

func TestChangesOfALongListAreGathered(t *testing.T) {
	const interval = 1000 * bvclock.Millisecond
	var pace pollPace
	require.LessOrEqual(t, pace.pauseAfterChange(interval, 300, 16), bvclock.Duration(0))
	require.Equal(t, interval, pace.nextWait(interval))
	require.Equal(t, 200*bvclock.Millisecond, pace.pauseAfterChange(interval, 300, 5000))
	require.Equal(t, 800*bvclock.Millisecond, pace.nextWait(interval))
}
