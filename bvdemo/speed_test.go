package bvdemo

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvstandin"
)

const speedModel = "speed"

// speedSystem starts a system with one engine that answers without delay.
func speedSystem(b *testing.B, hosts int) *system {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	system := &system{cancel: cancel}
	b.Cleanup(system.stop)
	var err error
	system.platform, err = system.serve(&bvstandin.Platform{})
	require.NoError(b, err)
	engine := bvstandin.NewEngine(bvstandin.EngineConfig{
		Name: "engine", Model: speedModel, Instant: true, OutputTokens: 1,
	})
	address, err := system.serve(engine)
	require.NoError(b, err)
	system.engines = append(system.engines, address)
	system.announce(ctx, func() bvplatform.Endpoint {
		endpoint := engine.Endpoint(address)
		endpoint.Slots = 1024 // so that the engine does not limit the measurement
		return endpoint
	})
	for i := range hosts {
		require.NoError(b, system.startDaemon(ctx, fmt.Sprintf("host-%d", i+1)))
	}
	require.NoError(b, system.waitReady(ctx))
	return system
}

var speedClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}

func speedCall(address, program string, turn int) error {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":1,"messages":[{"role":"user","content":"hello"}]}`, speedModel)
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader([]byte(body)))
	if err != nil {
		return err
	}
	if program != "" {
		request.Header.Set("Authorization", "Bearer "+piranKey)
		request.Header.Set("Bv-Program", program)
		request.Header.Set("Bv-Turn", fmt.Sprint(turn))
	}
	response, err := speedClient.Do(request)
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

// callPause keeps the rate of calls below the write budget of the platform, so that
// the benchmark measures the latency of the system, not the wait for the budget.
const callPause = 20 * time.Millisecond

// measureCalls makes b.N calls one after the other and reports percentiles of their
// latency.
func measureCalls(b *testing.B, call func(i int) error) {
	b.Helper()
	histogram := hdrhistogram.New(1, 60_000_000, 3)
	for i := range b.N {
		time.Sleep(callPause)
		startTime := time.Now()
		if err := call(i); err != nil {
			b.Fatal(err)
		}
		_ = histogram.RecordValue(time.Since(startTime).Microseconds())
	}
	b.ReportMetric(float64(histogram.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(histogram.ValueAtQuantile(99))/1000, "p99-ms")
}

func BenchmarkDirectCall(b *testing.B) {
	system := speedSystem(b, 1)
	b.ResetTimer()
	measureCalls(b, func(int) error { return speedCall(system.engines[0], "", 0) })
}

// benchmarkCall makes calls in programs of ten turns, one program after the other; the
// calls alternate between the hosts.
func benchmarkCall(b *testing.B, hosts int) {
	system := speedSystem(b, hosts)
	addresses := system.callerAddresses()
	b.ResetTimer()
	measureCalls(b, func(i int) error {
		return speedCall(addresses[i%hosts], fmt.Sprintf("program-%d", i/10), i%10+1)
	})
}

func BenchmarkCallThroughOneHost(b *testing.B) { benchmarkCall(b, 1) }

func BenchmarkCallThroughThreeHosts(b *testing.B) { benchmarkCall(b, 3) }

// BenchmarkThroughput runs many programs at the same time through one host.
func BenchmarkThroughput(b *testing.B) {
	system := speedSystem(b, 1)
	address := system.callerAddresses()[0]
	var programs atomic.Int64
	b.SetParallelism(max(1, 256/runtime.GOMAXPROCS(0)))
	b.ResetTimer()
	startTime := time.Now()
	b.RunParallel(func(loop *testing.PB) {
		program, turn := programs.Add(1), 0
		for loop.Next() {
			turn++
			if err := speedCall(address, fmt.Sprintf("program-%d", program), turn); err != nil {
				b.Error(err)
				return
			}
			if turn == 10 {
				program, turn = programs.Add(1), 0
			}
		}
	})
	b.ReportMetric(float64(b.N)/time.Since(startTime).Seconds(), "requests/s")
}
