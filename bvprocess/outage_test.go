package bvprocess

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The platform's table loses the answer of every second write after it took
// effect. A host that simply wrote again would find its own rows in the way
// and take them for another host's, or keep a turn twice.
func TestHistoryIsWholeWhenThePlatformLosesAnswers(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, size{daemons: 3, engines: 1, engine: []string{"--instant"}})
	cluster.platform.fault(`{"lose_answers":2}`)
	conversation := newConversation(t, piranKey, "lesson")
	for turn := range 6 {
		conversation.say(cluster.daemons[turn%3], "next")
	}
}

// The platform is out for two seconds in the middle of a program. The answer
// is written by the engine meanwhile, and its end is told once it is kept.
func TestAnswerIsKeptAfterAPlatformOutage(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, size{daemons: 3, engines: 1, engine: []string{"--instant"}})
	conversation := newConversation(t, piranKey, "lesson")
	conversation.say(cluster.daemons[0], "first")
	cluster.platform.fault(`{"down":true}`)
	time.AfterFunc(2*time.Second, func() { cluster.platform.fault(`{}`) })
	conversation.say(cluster.daemons[0], "in the outage")
	conversation.say(cluster.daemons[1], "after it")
}

// The platform is out when a family books. The record that keeps the booking
// from being made twice can't be had, so the booking must be refused as not
// run, and must not have run.
func TestBookingIsRefusedAsNotRunWhileThePlatformIsOut(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, size{daemons: 3, services: 1})
	cluster.platform.fault(`{"down":true}`)
	status, verdict, body := cluster.book(cluster.daemons[0], "lesson", "booking-4")
	require.Equal(t, http.StatusServiceUnavailable, status, body)
	require.Equal(t, "not run", verdict, body)
	require.Zero(t, cluster.runs("booking-4"))
	cluster.platform.fault(`{}`)
	require.Eventually(t, func() bool {
		status, _, _ := cluster.book(cluster.daemons[0], "lesson", "booking-4")
		return status == http.StatusOK
	}, testTimeout, poll)
	require.Equal(t, 1, cluster.runs("booking-4"))
}
