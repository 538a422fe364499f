package bvdemo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/pflag"

	"balsamvalve.example/bvdaemon"
	"balsamvalve.example/bvload"
	"balsamvalve.example/bvmodel"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvsetting"
	"balsamvalve.example/bvstandin"
)

// Keys of the demonstration. They are valid only in its process.
const (
	piranKey    = "demo-piran-caller"
	brindleyKey = "demo-brindley-caller"
	keyLines    = "piran caller " + piranKey + "\nbrindley caller " + brindleyKey + "\n"
)

// system is the running platform, endpoints and daemons.
type system struct {
	platform  string
	engines   []string
	services  []string
	daemons   []*bvdaemon.Daemon
	servers   []*http.Server
	cancel    context.CancelFunc
	waitGroup sync.WaitGroup
}

func start(ctx context.Context, output io.Writer) (*system, error) {
	ctx, cancel := context.WithCancel(ctx)
	system := &system{cancel: cancel}
	if err := system.build(ctx, output); err != nil {
		system.stop()
		return nil, err
	}
	return system, nil
}

func (system *system) build(ctx context.Context, output io.Writer) (err error) {
	system.platform, err = system.serve(&bvstandin.Platform{})
	if err != nil {
		return err
	}
	if err := system.startEngines(ctx); err != nil {
		return err
	}
	if err := system.startServices(ctx); err != nil {
		return err
	}
	if err := system.writeTable(ctx); err != nil {
		return err
	}
	for i := range daemons {
		if err := system.startDaemon(ctx, fmt.Sprintf("host-%d", i+1)); err != nil {
			return err
		}
	}
	if err := system.waitReady(ctx); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(output, "%d daemons, %d engines, %d services on loopback\n",
		len(system.daemons), len(system.engines), len(system.services))
	return nil
}

// serve starts a handler on a free port and returns its address.
func (system *system) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("demo: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readyTimeout}
	system.servers = append(system.servers, server)
	system.waitGroup.Go(func() { _ = server.Serve(listener) })
	return listener.Addr().String(), nil
}

func (system *system) startEngines(ctx context.Context) error {
	for i, model := range []string{bvload.ModelBooking, bvload.ModelAgent, bvload.ModelAgent} {
		engine := bvstandin.NewEngine(bvstandin.EngineConfig{
			Name:  fmt.Sprintf("engine-%d", i+1),
			Model: model,
			Batch: bvmodel.Config{Slots: 8, DecodeTokensPerSecond: 150},
		})
		address, err := system.serve(engine)
		if err != nil {
			return err
		}
		system.engines = append(system.engines, address)
		system.announce(ctx, func() bvplatform.Endpoint { return engine.Endpoint(address) })
	}
	return nil
}

func (system *system) startServices(ctx context.Context) error {
	for _, name := range []string{bvload.ServiceBooking, bvload.ServiceStock} {
		service := &bvstandin.Service{Name: name + "-1", Serves: name}
		address, err := system.serve(service)
		if err != nil {
			return err
		}
		system.services = append(system.services, address)
		system.announce(ctx, func() bvplatform.Endpoint { return service.Endpoint(address) })
	}
	return nil
}

func (system *system) announce(ctx context.Context, endpoint func() bvplatform.Endpoint) {
	announcer := &bvstandin.Announcer{Client: system.client(), Endpoint: endpoint}
	_ = announcer.Announce(ctx) // lists the endpoint before the daemons start; Run repeats it
	system.waitGroup.Go(func() { announcer.Run(ctx) })
}

func (system *system) client() *bvplatform.Client {
	return &bvplatform.Client{Address: system.platform}
}

func (system *system) startDaemon(ctx context.Context, name string) error {
	settings, err := settingsOf(map[string]string{
		"host-name":        name,
		"zone":             "demo",
		"caller-address":   "127.0.0.1:0",
		"peer-address":     "127.0.0.1:0",
		"operator-address": "127.0.0.1:0",
		"platform-address": system.platform,
		"poll-interval":    "200ms",
	})
	if err != nil {
		return err
	}
	log := logrus.New()
	log.SetLevel(logrus.ErrorLevel)
	daemon, err := bvdaemon.New(settings, log)
	if err != nil {
		return err
	}
	system.daemons = append(system.daemons, daemon)
	system.waitGroup.Go(func() { _ = daemon.Run(ctx) })
	return nil
}

func settingsOf(values map[string]string) (bvsetting.Serve, error) {
	flags := pflag.NewFlagSet("demo", pflag.ContinueOnError)
	bvsetting.AddFlags(flags)
	for name, value := range values {
		if err := flags.Set(name, value); err != nil {
			return bvsetting.Serve{}, fmt.Errorf("demo: %w", err)
		}
	}
	lookup := func(name string) (string, bool) {
		return keyLines, name == "BALSAMVALVE_KEYS"
	}
	return bvsetting.Load(flags, lookup)
}

func (system *system) waitReady(ctx context.Context) error {
	return waitUntil(ctx, func() bool {
		return !slices.ContainsFunc(system.daemons, func(daemon *bvdaemon.Daemon) bool {
			return !daemon.Ready() || daemon.HostCount() < len(system.daemons)
		})
	})
}

// waitUntil polls until ready returns true; it fails after readyTimeout.
func waitUntil(ctx context.Context, ready func() bool) error {
	limit, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !ready() {
		select {
		case <-limit.Done():
			return errors.New("demo: the hosts did not become ready in time")
		case <-time.After(readyPoll):
		}
	}
	return nil
}

func (system *system) callerAddresses() []string {
	var addresses []string
	for _, daemon := range system.daemons {
		addresses = append(addresses, daemon.CallerAddress())
	}
	return addresses
}

// stop stops the daemons, which finish their requests, and then the stand-ins.
func (system *system) stop() {
	system.cancel()
	for _, daemon := range system.daemons {
		<-daemon.Stopped()
	}
	for _, server := range system.servers {
		_ = server.Close()
	}
	system.waitGroup.Wait()
}
