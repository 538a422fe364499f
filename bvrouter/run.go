package bvrouter

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvlog"
)

// Run serves until ctx is canceled or a part of the daemon fails, and then stops without
// aborting requests. It returns the error of the part that failed first.
func (router *Router) Run(ctx context.Context) error {
	router.log.WithFields(logrus.Fields{
		"host":    router.settings.Name,
		"zone":    router.settings.Zone,
		"callers": router.callers.Addr().String(),
	}).Info("started")
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	stopping, fail := context.WithCancel(ctx)
	defer fail()
	var group errgroup.Group
	var running runningParts
	for _, part := range router.parallelParts(background) {
		running.begin(part.name)
		group.Go(func() error {
			defer running.end(part.name)
			err := part.runRecovered()
			if err != nil {
				router.log.WithError(err).WithField("part", part.name).Error("a part of the daemon failed")
				router.counters.Add("parts_failed", 1)
				fail()
			}
			return err
		})
	}
	running.begin(leavePart)
	group.Go(func() error {
		defer running.end(leavePart)
		defer func() { _ = router.peerConn.Close() }() // the process ends
		defer stop()
		<-stopping.Done()
		return router.leave()
	})
	err := router.awaitParts(stopping, &group, &running)
	router.connections.Close()
	router.log.WithError(err).Info("stopped")
	return err
}

// endTimeout is how long parts may take to end after the time allowed for a graceful stop,
// which the requests in flight may need whole.
const endTimeout = 2 * bvclock.Second

// awaitParts waits for all parts. Once the daemon stops, the wait has a limit: a part that
// panicked may hold a lock that another part waits for.
func (router *Router) awaitParts(stopping context.Context, group *errgroup.Group, running *runningParts) error {
	ended := make(chan error, 1)
	go func() { ended <- group.Wait() }()
	select {
	case err := <-ended:
		return err
	case <-stopping.Done():
	}
	limit := router.current.Load().StopBound + endTimeout
	select {
	case err := <-ended:
		return err
	case <-bvclock.After(limit):
		return fmt.Errorf("router: parts of the daemon did not end within %v: %v", limit, running.names())
	}
}

// leavePart is the name of the part that performs the graceful stop.
const leavePart = "graceful stop"

// runningParts holds the parts that have not ended.
type runningParts struct {
	mutex sync.Mutex
	parts []string
}

func (running *runningParts) begin(name string) {
	running.mutex.Lock()
	defer running.mutex.Unlock()
	running.parts = append(running.parts, name)
}

func (running *runningParts) end(name string) {
	running.mutex.Lock()
	defer running.mutex.Unlock()
	if i := slices.Index(running.parts, name); i >= 0 {
		running.parts = slices.Delete(running.parts, i, i+1)
	}
}

func (running *runningParts) names() []string {
	running.mutex.Lock()
	defer running.mutex.Unlock()
	return slices.Clone(running.parts)
}

// part is a part of the daemon that runs until the daemon stops.
type part struct {
	name string
	run  func() error
}

// loop returns a part that ends when ctx is canceled.
func loop(ctx context.Context, name string, run func(ctx context.Context)) part {
	return part{name, func() error { run(ctx); return nil }}
}

func (router *Router) parallelParts(ctx context.Context) []part {
	probe := func(ctx context.Context) { router.store.runProbes(ctx, hostsPrefix+router.settings.Name) }
	return []part{
		loop(ctx, "routes", router.followRoutes),
		loop(ctx, "confirmation", router.maintainConfirmation),
		loop(ctx, "endpoints", router.followEndpoints),
		loop(ctx, "store probes", probe),
		loop(ctx, "idle connections", router.closeIdleConnections),
		loop(ctx, "idle budgets", router.releaseIdleBudgets),
		loop(ctx, "sweep", router.sweep),
		loop(ctx, "hosts", router.followHosts),
		loop(ctx, "digests", router.sendDigests),
		loop(ctx, "suspects", router.reportSuspects),
		loop(ctx, "stream origins", router.storeOrigins),
		loop(ctx, "stored suspects", router.persistSuspects),
		loop(ctx, "messages", func(context.Context) { router.gossip.Receive(peerHandler{router}) }),
		{"callers", func() error { return router.server.Serve(router.callers) }},
		{"readiness", func() error { return serveUntil(ctx, router.ready, router.parts.ReadyHandler(router.Ready)) }},
		{"other hosts", func() error { return serveUntil(ctx, router.peers, router.relayHandler()) }},
		{"metrics", func() error { return serveUntil(ctx, router.metrics, router.metricsHandler()) }},
	}
}

// runRecovered runs the part, with a panic as an error: without it, the process would end
// with all its requests in flight.
func (part part) runRecovered() (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("router: %s: panic: %v\n%s", part.name, cause, bvlog.Stack())
		}
	}()
	return part.run()
}
