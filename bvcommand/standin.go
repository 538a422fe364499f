package bvcommand

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvmodel"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvstandin"
)

const (
	defaultStandinAddress = "127.0.0.1:0"
	defaultDrain          = 2 * time.Second
	shutdownTimeout       = 30 * time.Second
	idlePoll              = 20 * time.Millisecond
	exitCrash             = 3
)

func newStandin() *cobra.Command {
	command := &cobra.Command{
		Use:   "standin",
		Short: "Run small stand-ins for the platform and for endpoints, for tests and demonstrations",
		Example: `  balsamvalve standin platform --address 127.0.0.1:8090
  balsamvalve standin engine --platform 127.0.0.1:8090 --model small`,
		Args: noArguments,
		RunE: func(command *cobra.Command, _ []string) error { return command.Help() },
	}
	command.AddCommand(newStandinPlatform(), newStandinEngine(), newStandinService(), newStandinSite())
	return command
}

func newStandinPlatform() *cobra.Command {
	var address string
	command := &cobra.Command{
		Use:     "platform",
		Short:   "Serve tables, objects and lists over HTTP",
		Example: `  balsamvalve standin platform --address 127.0.0.1:8090`,
		Args:    noArguments,
		RunE: func(command *cobra.Command, _ []string) error {
			server := standinServer{handler: &bvstandin.Platform{}, stdout: command.OutOrStdout()}
			return server.run(address)
		},
	}
	addAddressFlag(command, &address)
	return command
}

func addAddressFlag(command *cobra.Command, address *string) {
	command.Flags().StringVar(address, "address", defaultStandinAddress, "IP and port to listen on; port 0 chooses a free one")
}

// endpointFlags are the common flags of engines and services.
type endpointFlags struct {
	address  string
	platform string
	name     string
	zone     string
	fencing  bool
	drain    time.Duration
}

func (flags *endpointFlags) addFlags(command *cobra.Command, name string) {
	addAddressFlag(command, &flags.address)
	set := command.Flags()
	set.StringVar(&flags.platform, "platform", "", "IP and port of the platform where the endpoint is announced; empty: not announced")
	set.StringVar(&flags.name, "name", name, "name of the endpoint")
	set.StringVar(&flags.zone, "zone", "", "availability zone")
	set.BoolVar(&flags.fencing, "fencing", false, "refuse orders with an outdated fencing number")
	set.DurationVar(&flags.drain, "drain", defaultDrain, "time to keep serving after the endpoint is marked as leaving")
}

func newStandinEngine() *cobra.Command {
	var flags endpointFlags
	var config bvstandin.EngineConfig
	var loadLag, eventLag time.Duration
	command := &cobra.Command{
		Use:   "engine",
		Short: "Serve a model engine whose answers are digests of the prompt",
		Example: `  balsamvalve standin engine --platform 127.0.0.1:8090 --name engine-1 --model small --slots 8
  balsamvalve standin engine --platform 127.0.0.1:8090 --name engine-2 --vary --decode 150`,
		Args: noArguments,
		RunE: func(command *cobra.Command, _ []string) error {
			config.Name, config.Zone, config.Fencing = flags.name, flags.zone, flags.fencing
			config.LoadLag = bvclock.FromStd(loadLag)
			config.EventLag = bvclock.FromStd(eventLag)
			config.OnCrash = func() { os.Exit(exitCrash) }
			return flags.serve(bvstandin.NewEngine(config), command.OutOrStdout())
		},
	}
	flags.addFlags(command, "engine-1")
	addEngineFlags(command, &config)
	set := command.Flags()
	set.DurationVar(&loadLag, "load-lag", 0, "delay of load reports")
	set.DurationVar(&eventLag, "event-lag", 0, "delay of cache events")
	return command
}

func addEngineFlags(command *cobra.Command, config *bvstandin.EngineConfig) {
	set := command.Flags()
	set.StringVar(&config.Model, "model", "", "model that the engine serves; empty: any")
	set.BoolVar(&config.Instant, "instant", false, "answer without simulated latency")
	set.BoolVar(&config.Vary, "vary", false, "generate a different text in each run of a call")
	set.IntVar(&config.OutputTokens, "output-tokens", 0, "tokens of an answer to a call without max_tokens; 0: default")
	set.IntVar(&config.MaxWaiting, "max-waiting", 0, "maximum number of waiting calls, above which calls are refused; 0: unbounded")
	set.IntVar(&config.EventGap, "event-gap", 0, "lose every n-th cache event; 0: none")
	addBatchFlags(command, &config.Batch)
}

func addBatchFlags(command *cobra.Command, batch *bvmodel.Config) {
	set := command.Flags()
	set.IntVar(&batch.Slots, "slots", 0, "maximum number of calls in a batch; 0: default")
	set.IntVar(&batch.CacheTokens, "cache-tokens", 0, "size of the KV cache in tokens; 0: default")
	set.Float64Var(&batch.PrefillTokensPerSecond, "prefill", 0, "prefilled tokens per second; 0: default")
	set.Float64Var(&batch.DecodeTokensPerSecond, "decode", 0, "decoded tokens per second of a single call; 0: default")
	set.Float64Var(&batch.Slowdown, "slowdown", 0, "increase of the time between tokens with each further call in the batch")
}

func newStandinService() *cobra.Command {
	var flags endpointFlags
	var serves string
	command := &cobra.Command{
		Use:     "service",
		Short:   "Serve a plain service that counts its calls",
		Example: `  balsamvalve standin service --platform 127.0.0.1:8090 --service booking`,
		Args:    noArguments,
		RunE: func(command *cobra.Command, _ []string) error {
			service := &bvstandin.Service{Name: flags.name, Serves: serves, Zone: flags.zone, Fencing: flags.fencing}
			return flags.serve(service, command.OutOrStdout())
		},
	}
	flags.addFlags(command, "service-1")
	command.Flags().StringVar(&serves, "service", "tool", "name of the service")
	return command
}

// standinEndpoint is a stand-in that is listed by the platform.
type standinEndpoint interface {
	http.Handler
	Endpoint(address string) bvplatform.Endpoint
	Leave()
	IsIdle() bool
}

func (flags *endpointFlags) serve(endpoint standinEndpoint, stdout io.Writer) error {
	server := standinServer{handler: endpoint, stdout: stdout}
	if flags.platform != "" {
		client := &bvplatform.Client{Address: flags.platform}
		server.onStart = func(ctx context.Context, address string) func() {
			return flags.announce(ctx, endpoint, client, address)
		}
	}
	return server.run(flags.address)
}

// announce keeps the endpoint listed. The returned function drains it and removes it
// from the list.
func (flags *endpointFlags) announce(ctx context.Context, endpoint standinEndpoint, client *bvplatform.Client, address string) func() {
	announcer := &bvstandin.Announcer{
		Client:   client,
		Endpoint: func() bvplatform.Endpoint { return endpoint.Endpoint(address) },
	}
	announcing, cancel := context.WithCancel(context.WithoutCancel(ctx))
	go announcer.Run(announcing)
	return func() {
		endpoint.Leave()
		_ = announcer.Announce(context.Background())
		time.Sleep(flags.drain)
		deadline := time.Now().Add(shutdownTimeout)
		for !endpoint.IsIdle() && time.Now().Before(deadline) {
			time.Sleep(idlePoll)
		}
		cancel()
		_ = announcer.Remove(context.Background())
	}
}

// standinServer serves a handler until the process receives SIGINT or SIGTERM.
type standinServer struct {
	handler http.Handler
	stdout  io.Writer
	onStart func(ctx context.Context, address string) (stop func())
}

func (server *standinServer) run(address string) error {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("standin: %w", err)
	}
	stop := func() {}
	if server.onStart != nil {
		stop = server.onStart(ctx, listener.Addr().String())
	}
	_, _ = fmt.Fprintf(server.stdout, "listening %s\n", listener.Addr())
	web := &http.Server{Handler: server.handler, ReadHeaderTimeout: shutdownTimeout}
	failed := make(chan error, 1)
	go func() { failed <- web.Serve(listener) }()
	select {
	case err := <-failed:
		return fmt.Errorf("standin: %w", err)
	case <-ctx.Done():
	}
	stop()
	return shutDown(web)
}

func shutDown(web *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := web.Shutdown(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("standin: %w", err)
	}
	return nil
}
