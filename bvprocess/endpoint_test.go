package bvprocess

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvstandin"
)

// countCachedPrefixes returns the number of prefixes that an engine caches for a program.
func (cluster *cluster) countCachedPrefixes(engine *process, program string) int {
	response, err := http.Get("http://" + engine.address() + "/cache")
	require.NoError(cluster.t, err)
	defer func() { _ = response.Body.Close() }()
	var cache struct {
		Cached []struct{ Prefix string }
	}
	require.NoError(cluster.t, json.NewDecoder(response.Body).Decode(&cache))
	count := 0
	for _, held := range cache.Cached {
		if held.Prefix == program {
			count++
		}
	}
	return count
}

// endProgram ends the program through a daemon.
func (conversation *conversation) endProgram(daemon *process) {
	request, err := http.NewRequest(http.MethodDelete, "http://"+daemon.field("callers")+"/v1/programs/"+conversation.program, nil)
	require.NoError(conversation.t, err)
	request.Header.Set("Authorization", "Bearer "+conversation.key)
	response, err := http.DefaultClient.Do(request)
	require.NoError(conversation.t, err)
	_ = response.Body.Close()
	require.Equal(conversation.t, http.StatusNoContent, response.StatusCode)
}

// Guards against a cached prefix that is never released because the program's owner was
// killed.
func TestEnginesHoldNothingOfAnEndedProgramWhoseOwnerWasKilled(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, size{daemons: 3, engines: 2, engine: []string{"--decode=2000"}})
	owner := cluster.daemons[1]
	conversation := newConversation(t, boltsKey, cluster.programOwnedBy("bolts", owner.name))
	conversation.call(cluster.daemons[0], "200 anchors")
	conversation.call(cluster.daemons[0], "and 50 more")
	total := func() int {
		return cluster.countCachedPrefixes(cluster.engines[0], conversation.program) + cluster.countCachedPrefixes(cluster.engines[1], conversation.program)
	}
	require.Positive(t, total(), "the engines should hold the program's prefix while it runs")
	owner.kill()
	conversation.endProgram(cluster.daemons[0])
	require.Eventually(t, func() bool { return total() == 0 }, testTimeout, poll)
}

// Guards against a caller's stream that ends because its connection to the engine is silent.
func TestSilentStreamIsResumedOverANewConnection(t *testing.T) {
	t.Parallel()
	cluster := &cluster{t: t}
	cluster.platform = start(t, "platform", nil, "standin", "platform")
	cluster.engines = append(cluster.engines, cluster.startEngine(0, "--vary", "--decode=200"))
	cluster.daemons = append(cluster.daemons, cluster.startDaemon(0, "--silence-limit=500ms"))
	cluster.waitReady()
	cluster.engines[0].setFaults(`{"silent_after":5}`)
	conversation := newConversation(t, boltsKey, "quote")
	conversation.call(cluster.daemons[0], "200 anchors")
}

// Guards against new calls to a leaving engine, and against answers that it cuts off.
func TestLeavingEngineGetsNoNewCallsAndCutsNone(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, size{daemons: 3, engines: 2, engine: []string{"--decode=400", "--vary", "--drain=4s"}})
	leaving := cluster.engines[0]
	conversation := newConversation(t, boltsKey, "quote")
	conversation.call(cluster.daemons[0], "first")
	leaving.signal(syscall.SIGTERM)
	exited := make(chan int, 1)
	go func() { exited <- leaving.wait() }()
	for {
		conversation.call(cluster.daemons[conversation.turn%3], "next")
		select {
		case code := <-exited:
			require.Zero(t, code)
			conversation.call(cluster.daemons[0], "after it")
			return
		default:
		}
	}
}

// Guards against a request that crashes each engine that runs it.
func TestRequestThatCrashesEnginesIsRefusedAfterTwoCrashes(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, size{daemons: 3, engines: 4, engine: []string{"--decode=400"}})
	poison := newConversation(t, piranKey, "poison")
	poison.turn = 1
	for try := range 4 {
		status, body := poison.post(cluster.daemons[try%3], bvstandin.PoisonMarker, false)
		require.NotEqual(t, http.StatusOK, status, body)
	}
	status, body := poison.post(cluster.daemons[0], bvstandin.PoisonMarker, false)
	require.Equal(t, http.StatusUnprocessableEntity, status, body)
	require.True(t, strings.Contains(body, "poisonous"), body)
	require.GreaterOrEqual(t, cluster.countRunningEngines(), 2)
	newConversation(t, boltsKey, "quote").call(cluster.daemons[0], "200 anchors")
}

// Guards against a new deciding host without the record of recent crashes.
func TestPoisonIsRememberedWhenTheDecidingHostIsKilled(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, size{
		daemons: 3, engines: 4, engine: []string{"--decode=400"},
		daemon: []string{"--poll-interval=2s"},
	})
	decider := cluster.decidingDaemon("engine/m")
	entry := cluster.otherDaemon(decider)
	poison := newConversation(t, piranKey, "poison")
	poison.turn = 1
	require.Eventually(t, func() bool {
		status, _ := poison.post(entry, bvstandin.PoisonMarker, false)
		return status == http.StatusUnprocessableEntity
	}, testTimeout, poll)
	crashed := 4 - cluster.countRunningEngines()
	decider.kill()
	require.Eventually(t, func() bool {
		status, _ := poison.post(entry, bvstandin.PoisonMarker, false)
		return status == http.StatusUnprocessableEntity
	}, testTimeout, poll)
	require.Equal(t, crashed, 4-cluster.countRunningEngines())
}

// Guards against a new deciding host that never receives the crash reports sent while it was
// unreachable.
func TestCrashesAreReportedToHostsThatWereFrozen(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, size{daemons: 3, engines: 4, engine: []string{"--decode=400"}})
	decider := cluster.decidingDaemon("engine/m")
	others := slices.DeleteFunc(slices.Clone(cluster.daemons), func(daemon *process) bool { return daemon == decider })
	poison := newConversation(t, piranKey, cluster.programOwnedBy("piran", decider.name))
	poison.turn = 1
	for _, other := range others {
		other.freeze()
	}
	require.Eventually(t, func() bool {
		status, _ := poison.post(decider, bvstandin.PoisonMarker, false)
		return status == http.StatusUnprocessableEntity
	}, testTimeout, poll)
	require.Zero(t, cluster.counter(decider, "suspects_told"))
	crashed := 4 - cluster.countRunningEngines()
	for _, other := range others {
		other.signal(syscall.SIGCONT)
	}
	require.Eventually(t, func() bool { return cluster.counter(decider, "suspects_told") >= 2 }, testTimeout, poll)
	decider.kill()
	require.Eventually(t, func() bool {
		status, _ := poison.post(others[0], bvstandin.PoisonMarker, false)
		return status == http.StatusUnprocessableEntity
	}, testTimeout, poll)
	require.Equal(t, crashed, 4-cluster.countRunningEngines())
}

// countRunningEngines returns the number of engines that answer.
func (cluster *cluster) countRunningEngines() int {
	alive := 0
	for _, engine := range cluster.engines {
		if response, err := http.Get("http://" + engine.address() + "/load"); err == nil {
			_ = response.Body.Close()
			alive++
		}
	}
	return alive
}

// Guards against a hung service that blocks its caller beyond the deadline.
func TestHungServiceEndsAtTheDeadline(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, size{daemons: 3, engines: 1, services: 1, engine: []string{"--instant"}})
	cluster.services[0].setFaults(`{"hang":true}`)
	url := "http://" + cluster.daemons[0].field("callers") + "/v1/services/booking/weather"
	request, err := http.NewRequest(http.MethodGet, url, nil)
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+piranKey)
	request.Header.Set("Bv-Program", "lesson")
	request.Header.Set("Bv-Deadline-Ms", "800")
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	_ = response.Body.Close()
	require.Equal(t, http.StatusGatewayTimeout, response.StatusCode)
	conversation := newConversation(t, piranKey, "lesson")
	conversation.callWithoutTurn(cluster.daemons[0], "is there wind?")
}

// Guards against rejecting a model without running engines as unknown.
func TestModelWithoutEnginesIsRefusedWithARetryTime(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, size{daemons: 1, engines: 1, engine: []string{"--instant"}})
	conversation := newConversation(t, piranKey, "lesson")
	conversation.call(cluster.daemons[0], "first")
	cluster.engines[0].kill()
	conversation.turn++
	var body string
	require.Eventually(t, func() bool {
		var status int
		status, body = conversation.post(cluster.daemons[0], "next", false)
		return status == http.StatusServiceUnavailable
	}, testTimeout, poll)
	require.Contains(t, body, `"retry_after_ms"`)
	cluster.startEngine(1, "--instant")
	var answer string
	require.Eventually(t, func() bool {
		var status int
		status, answer = conversation.post(cluster.daemons[0], "next", false)
		return status == http.StatusOK
	}, testTimeout, poll)
	conversation.recordTurn("next", contentOf(t, answer))
}
