package bvprocess

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"
)

// concurrentCallers is the number of concurrent programs in the throughput benchmark.
const concurrentCallers = 1000

// speedCluster starts one daemon on two cores and an engine that answers immediately.
func speedCluster(b *testing.B) *cluster {
	b.Helper()
	cluster := &cluster{t: b}
	cluster.platform = start(b, "platform", nil, "standin", "platform")
	cluster.engines = append(cluster.engines, cluster.startEngine(0, "--instant", "--slots=4096"))
	cluster.daemons = append(cluster.daemons, cluster.startDaemonIn(0, []string{"GOMAXPROCS=2"}, "--poll-interval=1s"))
	cluster.waitReady()
	return cluster
}

// BenchmarkDaemonThroughput runs 1,000 concurrent programs against one daemon on two cores,
// and reports the daemon's processor time per request and its memory.
func BenchmarkDaemonThroughput(b *testing.B) {
	cluster := speedCluster(b)
	daemon := cluster.daemons[0]
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: concurrentCallers}}
	histogram := hdrhistogram.New(1, 60_000_000, 3)
	var guard sync.Mutex
	var next atomic.Int64
	var callers sync.WaitGroup
	before := daemon.processorTime()
	b.ResetTimer()
	for caller := range concurrentCallers {
		callers.Go(func() {
			for turn := 1; next.Add(1) <= int64(b.N); turn++ {
				begun := time.Now()
				if err := speedCall(client, daemon.field("callers"), fmt.Sprintf("program-%d", caller), turn); err != nil {
					b.Error(err)
					return
				}
				guard.Lock()
				_ = histogram.RecordValue(time.Since(begun).Microseconds())
				guard.Unlock()
			}
		})
	}
	callers.Wait()
	b.StopTimer()
	used := daemon.processorTime() - before
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
	b.ReportMetric(used.Seconds()*1e6/float64(b.N), "cpu-us/request")
	b.ReportMetric(float64(histogram.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(daemon.memory(b), "rss-MB")
}

func speedCall(client *http.Client, address, program string, turn int) error {
	body := `{"model":"m","max_tokens":1,"messages":[{"role":"user","content":"hello"}]}`
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader([]byte(body)))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+piranKey)
	request.Header.Set("Bv-Program", program)
	request.Header.Set("Bv-Turn", strconv.Itoa(turn))
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s", response.StatusCode, content)
	}
	return nil
}

// ticksPerSecond is the kernel's unit of time in /proc/PID/stat.
const ticksPerSecond = 100

// processorTime returns the user and system time of a process so far.
func (process *process) processorTime() time.Duration {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", process.command.Process.Pid))
	require.NoError(process.t, err)
	_, rest, _ := strings.Cut(string(content), ") ")
	fields := strings.Fields(rest)
	user, err := strconv.Atoi(fields[11])
	require.NoError(process.t, err)
	system, err := strconv.Atoi(fields[12])
	require.NoError(process.t, err)
	return time.Duration(user+system) * time.Second / ticksPerSecond
}

// memory returns the resident memory of a process in MB.
func (process *process) memory(b *testing.B) float64 {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.command.Process.Pid))
	require.NoError(b, err)
	for _, line := range strings.Split(string(content), "\n") {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, err := strconv.Atoi(strings.Fields(value)[0])
			require.NoError(b, err)
			return float64(kilobytes) / 1024
		}
	}
	b.Fatal("no VmRSS")
	return 0
}

// BenchmarkIdleDaemon reports the processor time and memory of a daemon without requests.
func BenchmarkIdleDaemon(b *testing.B) {
	cluster := speedCluster(b)
	daemon := cluster.daemons[0]
	before := daemon.processorTime()
	for b.Loop() {
		time.Sleep(time.Second)
	}
	used := daemon.processorTime() - before
	b.ReportMetric(used.Seconds()*100/b.Elapsed().Seconds(), "percent-of-a-core")
	b.ReportMetric(daemon.memory(b), "rss-MB")
}
