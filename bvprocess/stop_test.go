package bvprocess

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// balancer picks among the ready daemons in turn, like the platform's load balancer.
type balancer struct {
	mutex   sync.Mutex
	daemons []*process
	next    int
}

func (balancer *balancer) pick() *process {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	balancer.next++
	return balancer.daemons[balancer.next%len(balancer.daemons)]
}

func (balancer *balancer) remove(daemon *process) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	var rest []*process
	for _, other := range balancer.daemons {
		if other != daemon {
			rest = append(rest, other)
		}
	}
	balancer.daemons = rest
}

func (balancer *balancer) add(daemon *process) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	balancer.daemons = append(balancer.daemons, daemon)
}

// callThroughBalancer makes the next call through the balancer and returns its error.
func (conversation *conversation) callThroughBalancer(balancer *balancer, text string) error {
	conversation.turn++
	response, err := http.DefaultClient.Do(conversation.request(balancer.pick(), text, true))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(response.Body)
		return fmt.Errorf("status %d: %s", response.StatusCode, body)
	}
	answer, done := readChunks(response.Body, nil)
	if !done {
		return fmt.Errorf("cut after %q", answer)
	}
	conversation.recordTurn(text, answer)
	return nil
}

// Guards against planned stops that cut off requests.
func TestReplacingEveryHostCutsNoRequest(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, size{daemons: 3, engines: 2, engine: []string{"--decode=200", "--vary"}})
	balancer := &balancer{daemons: append([]*process{}, cluster.daemons...)}
	var stopping atomic.Bool
	var answered atomic.Int64
	failures := make(chan error, 64)
	var callers sync.WaitGroup
	for i := range 8 {
		callers.Go(func() {
			conversation := newConversation(t, piranKey, fmt.Sprintf("lesson-%d", i))
			for !stopping.Load() {
				if err := conversation.callThroughBalancer(balancer, "next"); err != nil {
					failures <- fmt.Errorf("%s turn %d: %w", conversation.program, conversation.turn, err)
					return
				}
				answered.Add(1)
			}
		})
	}
	for i, old := range cluster.daemons {
		replacement := cluster.startDaemon(len(cluster.daemons) + i)
		require.Eventually(t, func() bool { return isReady(replacement) }, testTimeout, poll)
		balancer.add(replacement)
		old.signal(syscall.SIGTERM)
		require.Eventually(t, func() bool { return !isReady(old) }, testTimeout, poll)
		balancer.remove(old)
		require.Zero(t, old.wait())
	}
	time.Sleep(200 * time.Millisecond)
	stopping.Store(true)
	callers.Wait()
	close(failures)
	for failure := range failures {
		t.Error(failure)
	}
	require.Greater(t, answered.Load(), int64(50))
}
