package bvgossip

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvadmission"
	"balsamvalve.example/bvclock"
)

// Guards against a rejected program that loses its position when it retries at another host.
func TestRejectionIsKnownAtOtherHosts(t *testing.T) {
	a, b := newHost(t, "a", bvclock.Boot()), newHost(t, "b", bvclock.Boot())
	exchangeDigests(t, a, b)
	for _, tracker := range []*host{a, b} {
		program := keyTrackedBy(t, tracker, a, (*trackers).ofProgram)
		b.updateTrackers()
		a.ReportRefusal(program, bvadmission.Refusal{Waited: 100, DueIn: 5000})
		for _, asker := range []*host{a, b} {
			require.Eventually(t, func() bool {
				asker.mutex.Lock()
				clear(asker.backoffUntil)
				asker.mutex.Unlock()
				_, _, found, answered, refusal := asker.QueryHolding(program, 70)
				return answered && !found && refusal.Waited >= 100 && refusal.DueIn > 0
			}, testTimeout, time.Millisecond)
		}
	}
}

// Guards against a host that believes the times of another without a bound.
func TestTimesOfRejectionsAreBounded(t *testing.T) {
	refusal := refusalFrom(&Refused{FirstMsAgo: 1 << 31, DueInMs: 1 << 31})
	require.Equal(t, bvclock.Hour, refusal.Waited)
	require.Equal(t, bvclock.Hour, refusal.DueIn)
}

// Guards against a rejected program that counts as started at a host without this part.
func TestRejectionIsNoHolding(t *testing.T) {
	a := newHost(t, "a", bvclock.Boot())
	a.updateTrackers()
	a.ReportRefusal(7, bvadmission.Refusal{Waited: 1})
	require.Zero(t, a.findHolding(a.clock.Now(), 7, 70).GetEndpoint())
}
