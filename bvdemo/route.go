package bvdemo

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"

	"github.com/sirupsen/logrus"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvrouter"
	"balsamvalve.example/bvsetting"
	"balsamvalve.example/platform"
	"balsamvalve.example/platform/bvemulator"
)

// Sizes of the demonstration on the emulated platform.
const (
	hosts         = 3
	routePrograms = 60
	routeCallers  = 12
	routeCutEvery = 5
	hostMemory    = 256 << 20 // bytes
	rowBytes      = 64 << 10
)

// workspaces are those of the demonstration: most programs belong to ana, and the usage
// cap of bor is below the request rate of its callers. The keys are valid only in this
// process.
var workspaces = []bvemulator.Workspace{
	{Name: "ana", Keys: []string{"demo-key-of-ana"}, Share: 3},
	{Name: "bor", Keys: []string{"demo-key-of-bor"}, Rate: 12, Burst: 12},
	{Name: "cene", Keys: []string{"demo-key-of-cene"}},
}

// routeHosts are routing daemons in this process.
type routeHosts struct {
	routers   []*bvrouter.Router
	cancel    context.CancelFunc
	waitGroup sync.WaitGroup
}

// RunRoute runs programs of workspaces with keys and a usage cap on an emulated platform
// and returns the report of the run. An error means that the platform or the hosts could
// not be started.
func RunRoute(ctx context.Context, config Config) (*bvemulator.Report, error) {
	if config.Output == nil {
		config.Output = io.Discard
	}
	site, err := bvemulator.StartSite(bvemulator.SiteConfig{Engines: 4, Apps: 2, Versions: 2, Workspaces: workspaces})
	if err != nil {
		return nil, err
	}
	defer site.Stop()
	running, err := startHosts(ctx, site.Address())
	if err != nil {
		return nil, err
	}
	defer running.stop()
	_, _ = fmt.Fprintf(config.Output, "%d routing hosts, %d workspaces on an emulated platform\n", hosts, len(workspaces))
	report := bvemulator.Load{
		Addresses: running.callerAddresses(), Workspaces: workspaces,
		Programs: routePrograms, Concurrency: routeCallers, CutEvery: routeCutEvery, Seed: config.Seed,
	}.Send(ctx)
	report.CheckRuns(site.Runs())
	_, _ = fmt.Fprintf(config.Output, "%s\n%s\n", report.Text(), routeSummaryLine(report))
	return report, nil
}

func routeSummaryLine(report *bvemulator.Report) string {
	return fmt.Sprintf("demo: programs=%d finished=%d requests=%d mixed=%d versions_mixed=%d twice=%d keys_forwarded=%d unknown_keys_served=%d",
		report.Programs, report.Finished, report.Requests, report.MixedAnswers, report.MixedVersions, report.RunTwice, report.KeysForwarded, report.UnknownKeysServed)
}

func startHosts(ctx context.Context, store string) (*routeHosts, error) {
	ctx, cancel := context.WithCancel(ctx)
	running := &routeHosts{cancel: cancel}
	for i := range hosts {
		if err := running.start(ctx, hostSettings(fmt.Sprint("host-", i+1), store)); err != nil {
			running.stop()
			return nil, err
		}
	}
	if err := running.waitReady(ctx); err != nil {
		running.stop()
		return nil, err
	}
	return running, nil
}

func hostSettings(name, store string) bvsetting.Host {
	const free = "127.0.0.1:0"
	return bvsetting.Host{
		Name: name, Zone: "demo", StoreAddress: store,
		CallerAddress: free, ReadyAddress: free, PeerAddress: free, MetricsAddress: free,
		Memory: hostMemory, MaxRowBytes: rowBytes, FirstStart: true,
		DrainBound: 2 * bvclock.Second, StopBound: 5 * bvclock.Second, ApplyBound: 2 * bvclock.Second, SettleBound: bvclock.Second,
		RevocationBound: 3 * bvclock.Second, QuotaWindow: 5 * bvclock.Second, QuotaOver: 0.1, QuotaSlack: 20,
	}
}

func (running *routeHosts) start(ctx context.Context, settings bvsetting.Host) error {
	log := logrus.New()
	log.SetLevel(logrus.ErrorLevel)
	router, err := bvrouter.New(settings, bvrouter.Parts{
		Platform:     &platform.Store{Address: settings.StoreAddress},
		Wire:         platform.Wire{},
		ReadyHandler: platform.ReadyHandler,
	}, log)
	if err != nil {
		return err
	}
	running.routers = append(running.routers, router)
	running.waitGroup.Go(func() { _ = router.Run(ctx) }) // returns when ctx is canceled
	return nil
}

func (running *routeHosts) waitReady(ctx context.Context) error {
	return waitUntil(ctx, func() bool {
		return !slices.ContainsFunc(running.routers, func(router *bvrouter.Router) bool {
			return !router.Ready() || router.PeerCount() < hosts-1
		})
	})
}

func (running *routeHosts) callerAddresses() []string {
	addresses := make([]string, 0, len(running.routers))
	for _, router := range running.routers {
		addresses = append(addresses, router.CallerAddress())
	}
	return addresses
}

func (running *routeHosts) stop() {
	running.cancel()
	running.waitGroup.Wait()
}
