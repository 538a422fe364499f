package bvdaemon

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/pflag"
	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvloopback"
	"balsamvalve.example/bvsetting"
	"balsamvalve.example/bvstandin"
)

// Guards against a host that is ready before it has the operators' table.
func TestHostWithoutATableIsNotReady(t *testing.T) {
	var tableOpen atomic.Bool
	platform := &bvstandin.Platform{}
	server := bvloopback.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if strings.HasPrefix(request.URL.Path, "/table/") && !tableOpen.Load() {
			http.Error(writer, "not now", http.StatusServiceUnavailable)
			return
		}
		platform.ServeHTTP(writer, request)
	}))
	t.Cleanup(server.Close)
	daemon := startDaemon(t, server.Listener.Addr().String())
	require.Eventually(t, daemon.ready.Load, 30*time.Second, 5*time.Millisecond, "the lists are read")
	require.False(t, daemon.Ready())
	tableOpen.Store(true)
	require.Eventually(t, daemon.Ready, 30*time.Second, 5*time.Millisecond)
}

// startDaemon runs a daemon with the given platform until the test ends.
func startDaemon(t *testing.T, platform string) *Daemon {
	t.Helper()
	flags := pflag.NewFlagSet("serve", pflag.ContinueOnError)
	bvsetting.AddFlags(flags)
	for name, value := range map[string]string{
		"host-name": "host-1", "platform-address": platform, "poll-interval": "20ms",
		"caller-address": "127.0.0.1:0", "peer-address": "127.0.0.1:0", "operator-address": "127.0.0.1:0",
	} {
		require.NoError(t, flags.Set(name, value))
	}
	settings, err := bvsetting.Load(flags, func(string) (string, bool) { return "", false })
	require.NoError(t, err)
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	daemon, err := New(settings, log)
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	go func() { _ = daemon.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		<-daemon.Stopped()
	})
	return daemon
}
