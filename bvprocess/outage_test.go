package bvprocess

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against turns that are lost or stored twice when the platform's answers are lost.
func TestHistoryIsWholeWhenThePlatformLosesAnswers(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, size{daemons: 3, engines: 1, engine: []string{"--instant"}})
	cluster.platform.setFaults(`{"lose_answers":2}`)
	conversation := newConversation(t, piranKey, "lesson")
	for turn := range 6 {
		conversation.call(cluster.daemons[turn%3], "next")
	}
}

// Guards against an answer that is lost in an outage.
func TestAnswerIsKeptAfterAPlatformOutage(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, size{daemons: 3, engines: 1, engine: []string{"--instant"}})
	conversation := newConversation(t, piranKey, "lesson")
	conversation.call(cluster.daemons[0], "first")
	cluster.platform.setFaults(`{"down":true}`)
	time.AfterFunc(2*time.Second, func() { cluster.platform.setFaults(`{}`) })
	conversation.call(cluster.daemons[0], "in the outage")
	conversation.call(cluster.daemons[1], "after it")
}

// Guards against a booking that runs without its record.
func TestBookingIsRefusedAsNotRunWhileThePlatformIsOut(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, size{daemons: 3, services: 1})
	cluster.platform.setFaults(`{"down":true}`)
	status, verdict, body := cluster.sendBooking(cluster.daemons[0], "lesson", "booking-4")
	require.Equal(t, http.StatusServiceUnavailable, status, body)
	require.Equal(t, "not run", verdict, body)
	require.Zero(t, cluster.countRuns("booking-4"))
	cluster.platform.setFaults(`{}`)
	require.Eventually(t, func() bool {
		status, _, _ := cluster.sendBooking(cluster.daemons[0], "lesson", "booking-4")
		return status == http.StatusOK
	}, testTimeout, poll)
	require.Equal(t, 1, cluster.countRuns("booking-4"))
}
