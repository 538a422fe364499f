package bvtrace_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/pflag"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/sdk/trace"

	"balsamvalve.example/bvdaemon"
	"balsamvalve.example/bventry"
	"balsamvalve.example/bvhost"
	"balsamvalve.example/bvloopback"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvsetting"
	"balsamvalve.example/bvstandin"
)

const (
	callerKey    = "piran-caller-key-0000"
	testTimeout  = 30 * time.Second
	pollInterval = 20 * time.Millisecond
	prompt       = "a lesson for Ana Novak"
)

// collector is an exporter that collects spans in memory.
type collector struct {
	mutex sync.Mutex
	spans []trace.ReadOnlySpan
}

func (collector *collector) ExportSpans(_ context.Context, spans []trace.ReadOnlySpan) error {
	collector.mutex.Lock()
	defer collector.mutex.Unlock()
	collector.spans = append(collector.spans, spans...)
	return nil
}

func (collector *collector) Shutdown(context.Context) error { return nil }

// system is two embedded daemons and one engine.
type system struct {
	t        *testing.T
	platform string
	spans    collector
	daemons  []*bvdaemon.Daemon
	stop     context.CancelFunc
}

func startSystem(t *testing.T, engine http.Handler) *system {
	system := &system{t: t}
	platform := bvloopback.NewServer(&bvstandin.Platform{})
	t.Cleanup(platform.Close)
	system.platform = platform.Listener.Addr().String()
	engineServer := bvloopback.NewServer(engine)
	t.Cleanup(engineServer.Close)
	client := &bvplatform.Client{Address: system.platform}
	require.NoError(t, client.PutEndpoint(t.Context(), bvplatform.Endpoint{
		Name: "engine-1", Serves: "m", Address: engineServer.Listener.Addr().String(), Slots: 4, CacheTokens: 1000,
	}, 0))
	ctx, stop := context.WithCancel(context.Background())
	system.stop = stop
	for i := range 2 {
		daemon, err := bvdaemon.New(system.settings(fmt.Sprintf("host-%d", i)), discardLogger(), bvdaemon.WithSpanExporter(&system.spans))
		require.NoError(t, err)
		system.daemons = append(system.daemons, daemon)
		go func() { _ = daemon.Run(ctx) }()
	}
	t.Cleanup(system.shutDown)
	for _, daemon := range system.daemons {
		require.Eventually(t, func() bool { return daemon.Ready() && daemon.HostCount() == 2 }, testTimeout, pollInterval)
	}
	return system
}

func discardLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(&bytes.Buffer{})
	return log
}

func (system *system) settings(name string) bvsetting.Serve {
	flags := pflag.NewFlagSet("serve", pflag.ContinueOnError)
	bvsetting.AddFlags(flags)
	for flag, value := range map[string]string{
		"host-name": name, "zone": "koper", "platform-address": system.platform, "poll-interval": "50ms",
		"caller-address": "127.0.0.1:0", "peer-address": "127.0.0.1:0", "operator-address": "127.0.0.1:0",
	} {
		require.NoError(system.t, flags.Set(flag, value))
	}
	settings, err := bvsetting.Load(flags, func(name string) (string, bool) {
		return "piran caller " + callerKey, name == "BALSAMVALVE_KEYS"
	})
	require.NoError(system.t, err)
	return settings
}

func (system *system) shutDown() {
	system.stop()
	for _, daemon := range system.daemons {
		<-daemon.Stopped()
	}
}

// programOwnedBy returns the id of a program that the host owns.
func programOwnedBy(host string) string {
	view := &bvhost.View{}
	view.Update(0, []bvplatform.Host{{Name: "host-0"}, {Name: "host-1"}})
	for i := 0; ; i++ {
		program := fmt.Sprintf("program-%d", i)
		if view.Candidates(0, bventry.ProgramKey("piran", program))[0].Name == host {
			return program
		}
	}
}

func (system *system) call(program string) {
	body := `{"model":"m","messages":[{"role":"user","content":"` + prompt + `"}],"max_tokens":5}`
	request, err := http.NewRequest(http.MethodPost, "http://"+system.daemons[0].CallerAddress()+"/v1/chat/completions", strings.NewReader(body))
	require.NoError(system.t, err)
	request.Header.Set("Authorization", "Bearer "+callerKey)
	request.Header.Set("Bv-Program", program)
	response, err := http.DefaultClient.Do(request)
	require.NoError(system.t, err)
	_ = response.Body.Close()
	require.Equal(system.t, http.StatusOK, response.StatusCode)
}

// Guards against traces that lack the span of a hop.
func TestOneTraceHasASpanForEachHop(t *testing.T) {
	var parent string
	engine := bvstandin.NewEngine(bvstandin.EngineConfig{Name: "engine-1", Model: "m", Instant: true})
	system := startSystem(t, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		parent = request.Header.Get("Traceparent")
		engine.ServeHTTP(writer, request)
	}))
	program := programOwnedBy("host-1")
	system.call(program)
	system.shutDown()

	byName := make(map[string]trace.ReadOnlySpan)
	for _, span := range system.spans.spans {
		if strings.Contains(parent, span.SpanContext().TraceID().String()) {
			byName[span.Name()] = span
		}
	}
	requireUnder := func(name, above string) {
		t.Helper()
		require.Contains(t, byName, name)
		require.Contains(t, byName, above)
		require.Equal(t, byName[above].SpanContext().SpanID(), byName[name].Parent().SpanID(), "%s under %s", name, above)
	}
	for name := range byName {
		t.Log(name)
	}
	requireUnder("relay", "POST /v1/chat/completions")
	requireUnder("order", "session")
	requireUnder("run", "session")
	requireUnder("commit", "session")
	requireUnder("permit", "run")
	requireUnder("endpoint", "run")
	require.Contains(t, parent, byName["endpoint"].SpanContext().SpanID().String())
	require.Contains(t, byName, "queue")
	require.Contains(t, byName["relay"].Resource().String(), "host.name=host-0")
	require.Contains(t, byName["session"].Resource().String(), "host.name=host-1")
	require.Contains(t, byName["session"].Resource().String(), "cloud.availability_zone=koper")
	require.Equal(t, byName["relay"].SpanContext().TraceID(), byName["session"].SpanContext().TraceID())
}

// Guards against prompts, keys and names of members and programs in spans.
func TestSpansHoldNoPromptNoMemberAndNoProgramID(t *testing.T) {
	system := startSystem(t, bvstandin.NewEngine(bvstandin.EngineConfig{Name: "engine-1", Model: "m", Instant: true}))
	program := programOwnedBy("host-1")
	system.call(program)
	request, err := http.NewRequest(http.MethodDelete, "http://"+system.daemons[0].CallerAddress()+"/v1/programs/"+program, nil)
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+callerKey)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	_ = response.Body.Close()
	system.shutDown()
	require.NotEmpty(t, system.spans.spans)
	for _, span := range system.spans.spans {
		text := fmt.Sprint(span.Name(), span.Attributes(), span.Events(), span.Links(), span.Status())
		for _, hidden := range []string{"Ana", "piran", program, callerKey} {
			require.NotContains(t, text, hidden)
		}
	}
}
