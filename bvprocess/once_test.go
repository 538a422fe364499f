package bvprocess

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// sendBooking sends an unrepeatable booking and returns the status, verdict and body.
func (cluster *cluster) sendBooking(daemon *process, program, request string) (status int, verdict, body string) {
	url := "http://" + daemon.field("callers") + "/v1/services/booking/lessons"
	post, err := http.NewRequest(http.MethodPost, url, strings.NewReader(`{"lesson":"nine o'clock"}`))
	require.NoError(cluster.t, err)
	post.Header.Set("Authorization", "Bearer "+piranKey)
	post.Header.Set("Bv-Program", program)
	post.Header.Set("Bv-Request", request)
	post.Header.Set("Bv-Unrepeatable", "true")
	response, err := http.DefaultClient.Do(post)
	if err != nil {
		return 0, "", err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	require.NoError(cluster.t, err)
	var failure struct{ Error struct{ Verdict string } }
	_ = json.Unmarshal(content, &failure)
	return response.StatusCode, failure.Error.Verdict, string(content)
}

// countRuns queries the service for the number of times that a request ran.
func (cluster *cluster) countRuns(request string) int {
	response, err := http.Get("http://" + cluster.services[0].address() + "/runs?request=" + request)
	require.NoError(cluster.t, err)
	defer func() { _ = response.Body.Close() }()
	var count struct{ Runs int }
	require.NoError(cluster.t, json.NewDecoder(response.Body).Decode(&count))
	return count.Runs
}

// setFaults sets the faults of a stand-in.
func (process *process) setFaults(faults string) {
	response, err := http.Post("http://"+process.address()+"/faults", "application/json", strings.NewReader(faults))
	require.NoError(process.t, err)
	_ = response.Body.Close()
	require.Less(process.t, response.StatusCode, 300)
}

func TestRepeatedBookingIsAnsweredFromItsRecord(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, size{daemons: 3, services: 1})
	status, _, first := cluster.sendBooking(cluster.daemons[0], "lesson", "booking-1")
	require.Equal(t, http.StatusOK, status, first)
	for _, daemon := range cluster.daemons {
		status, _, again := cluster.sendBooking(daemon, "lesson", "booking-1")
		require.Equal(t, http.StatusOK, status, again)
		require.Equal(t, first, again)
	}
	require.Equal(t, 1, cluster.countRuns("booking-1"))
}

// Guards against a booking that runs twice because its host was killed.
func TestBookingRunsAtMostOnceWhenItsHostIsKilled(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, size{daemons: 3, services: 1})
	owner := cluster.daemons[2]
	program := cluster.programOwnedBy("piran", owner.name)
	cluster.services[0].setFaults(`{"hang":true}`)
	var callers sync.WaitGroup
	callers.Go(func() { cluster.sendBooking(cluster.daemons[0], program, "booking-2") })
	require.Eventually(t, func() bool { return cluster.countRuns("booking-2") == 1 }, testTimeout, poll)
	owner.kill()
	for range 2 {
		for _, daemon := range cluster.daemons[:2] {
			callers.Go(func() {
				status, verdict, body := cluster.sendBooking(daemon, program, "booking-2")
				if status != http.StatusOK && verdict != "may have run" {
					t.Errorf("status %d, verdict %q: %s", status, verdict, body)
				}
			})
		}
	}
	callers.Wait()
	require.Equal(t, 1, cluster.countRuns("booking-2"))
}

// Guards against a booking that a frozen host sends again after it resumes.
func TestBookingRunsAtMostOnceWhenItsHostIsFrozen(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, size{daemons: 3, services: 1})
	owner := cluster.daemons[2]
	program := cluster.programOwnedBy("piran", owner.name)
	for round := range 4 {
		request := fmt.Sprintf("booking-3-%d", round)
		var callers sync.WaitGroup
		callers.Go(func() { cluster.sendBooking(cluster.daemons[0], program, request) })
		owner.freeze()
		callers.Go(func() { cluster.sendBooking(cluster.daemons[1], program, request) })
		callers.Wait()
		owner.signal(syscall.SIGCONT)
		cluster.sendBooking(cluster.daemons[0], program, request)
		require.LessOrEqual(t, cluster.countRuns(request), 1)
	}
}

// Guards against a request that is refused as one that crashes endpoints, since its answers were lost.
func TestLostAnswersDontCountAsCrashes(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, size{daemons: 3, services: 2})
	for _, service := range cluster.services {
		service.setFaults(`{"fail_after":true}`)
	}
	for number := range 4 {
		status, verdict, body := cluster.sendBooking(cluster.daemons[number%3], fmt.Sprint("lesson-", number), fmt.Sprint("lost-", number))
		require.Equal(t, http.StatusBadGateway, status, body)
		require.Equal(t, "may have run", verdict)
	}
	for _, service := range cluster.services {
		service.setFaults(`{}`)
	}
	require.Eventually(t, func() bool {
		status, _, body := cluster.sendBooking(cluster.daemons[0], "lesson", "served")
		require.NotContains(t, body, "poisonous")
		return status == http.StatusOK
	}, testTimeout, poll)
}
