// Package bvrouter puts a routing daemon together: callers' requests by route
// on one side, endpoints on the other, and the platform that tells it of both.
// Every host runs the same daemon and decides by itself.
//
// # Usage
//
//	router, err := bvrouter.New(settings, parts, log)
//	err = router.Run(ctx) // until ctx ends, then a graceful stop
package bvrouter

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"balsamvalve.example/bvbudget"
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvdispatch"
	"balsamvalve.example/bvforward"
	"balsamvalve.example/bvfront"
	"balsamvalve.example/bvgossip"
	"balsamvalve.example/bvhistory"
	"balsamvalve.example/bvhost"
	"balsamvalve.example/bvlease"
	"balsamvalve.example/bvlog"
	"balsamvalve.example/bvmeasure"
	"balsamvalve.example/bvmechanism"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvquota"
	"balsamvalve.example/bvroute"
	"balsamvalve.example/bvsetting"
)

// Platform is what a routing daemon asks of its platform.
type Platform interface {
	bvplatform.Store
	// AwaitEndpoints returns what changes on the list of endpoints after a
	// point of its history, as soon as something does, or nothing after the
	// given time. The list is whole from point 0 on, or where the changes since
	// are not known. Entries that can't be read are told in the error beside the
	// others.
	AwaitEndpoints(ctx context.Context, after int64, wait bvclock.Duration) (bvplatform.EndpointChanges, error)
	// FirstEndpoints returns the first entries of the list, and all of them if there
	// are no more than the given number.
	FirstEndpoints(ctx context.Context, limit int) (bvplatform.EndpointChanges, error)
	// AwaitRoutes returns the desired state when it changes after a point of
	// its history, and the point to go on from; no table when nothing changed
	// for the given time.
	AwaitRoutes(ctx context.Context, after int64, wait bvclock.Duration) (*bvroute.Table, int64, error)
}

// Wire reads and writes the headers of callers and endpoints.
type Wire interface {
	bvfront.Wire
	bvforward.Wire
}

// Parts are what a Router works with. All fields must be set.
type Parts struct {
	Platform Platform
	Wire     Wire
	// ReadyHandler makes the handler that reports readiness to the balancer.
	ReadyHandler func(ready func() bool) http.Handler
}

// Router is one host's daemon. Make one with New.
type Router struct {
	settings    bvsetting.Host                 // at the start
	current     atomic.Pointer[bvsetting.Host] // as last reloaded
	parts       Parts
	log         logrus.FieldLogger
	clock       bvclock.Clock
	started     bvclock.Time
	state       *state
	store       *storeClient
	dispatcher  *bvdispatch.Dispatcher
	connections *bvforward.Connections
	budgets     *bvbudget.Allocator
	histories   *bvhistory.Store
	leases      *bvlease.Leases
	limiter     *bvquota.Limiter
	counters    *bvmeasure.Counters
	front       *bvfront.Front
	server      *bvfront.Server
	leaving     atomic.Bool

	listedVersion atomic.Int64 // of this host's row
	hostsKnown    atomic.Bool  // the list of hosts was read

	hosts atomic.Pointer[sharedHosts]

	// followHosts' alone.
	hostsAsOf        bvclock.Time // since when the list of hosts may have changed
	hostsFailures    int          // questions in a row for it that no other host answered
	listedAt         bvclock.Time // when this host last wrote its row
	wasReader        bool         // this host reads for others
	isOnList         bool         // the last list that was read has this host's row
	listedAsGrantor  bool
	previousHandover *handover // of the last process, until this host is listed

	endpointsMutex  sync.Mutex // held while a list of endpoints is handed on
	endpoints       endpointList
	endpointsAsOf   bvclock.Time // since when the list may have changed
	endpointsKnown  atomic.Bool
	partialListAsOf bvclock.Time // followEndpoints' alone: when a part of the list was last read
	listCopies      atomic.Int64 // whole lists that are being given to other hosts

	incarnation string
	gossip      *bvgossip.Gossip
	peerConn    *net.UDPConn
	callers     net.Listener
	ready       net.Listener
	peers       net.Listener
	metrics     net.Listener
}

// memoryShare is the part of the allowed memory that the Go runtime may use;
// the rest is for stacks, the C library and bytes in socket buffers, which
// count too.
const memoryShare = 0.7

// callShare is the part of the allowed memory that calls may hold, of requests and of
// answers.
const callMemoryShare = 0.2

// New opens the ports and puts the parts together.
func New(settings bvsetting.Host, parts Parts, log logrus.FieldLogger) (*Router, error) {
	limitMemory(settings)
	clock := bvclock.Boot()
	incarnation := bvhost.NewIncarnation()
	router := &Router{
		incarnation: incarnation,
		settings:    settings,
		parts:       parts,
		log:         log,
		clock:       clock,
		started:     clock.Now(),
		state:       &state{clock: clock, apply: settings.Apply, revoke: settings.Revoke},
		dispatcher:  bvdispatch.NewDispatcher(clock, xxhash.Sum64String(settings.Name), settings.Zone),
		connections: &bvforward.Connections{Clock: clock, Wire: parts.Wire},
		counters:    bvmeasure.New(),
	}
	router.limiter = bvquota.New(clock, bvquota.Bounds{
		StartFull: settings.FirstStart, Window: settings.QuotaWindow, OverRatio: settings.QuotaOver, Slack: settings.QuotaSlack,
	})
	router.current.Store(&settings)
	if err := router.listen(); err != nil {
		return nil, err
	}
	if err := router.openGossip(); err != nil {
		return nil, err
	}
	router.store = newStoreClient(parts.Platform, clock, log, router.relays, router.countStoreCall)
	router.budgets = bvbudget.NewAllocator(router.store, lenders{router}, incarnation, clock, log)
	router.budgets.SetSettleTime(settings.Settle)
	router.leases = bvlease.New(bvlease.Host{
		Name: settings.Name, Incarnation: incarnation, Address: router.settings.PeerAddress,
	}, settings.FirstStart, router.started)
	if !settings.Without.Has(bvmechanism.Halves) {
		router.budgets.SetGrantors(grantors{router})
	}
	router.budgets.SetLending(!settings.Without.Has(bvmechanism.Lending))
	router.dispatcher.Disable(settings.Without)
	router.histories = bvhistory.NewStore(router.store, peers{router}, settings.RowBytes, log)
	router.front = bvfront.New(bvfront.Parts{
		Clock:      clock,
		Wire:       parts.Wire,
		State:      router.state,
		Store:      router.store,
		Dispatcher: router.dispatcher,
		Endpoints:  router.connections,
		Quotas:     quotas{router},
		Budgets:    router.budgets,
		Histories:  router.histories,
		Counters:   router.counters,
		Log:        log,
		Memory:     int64(float64(settings.Memory) * callMemoryShare),
		Without:    settings.Without,
	})
	router.server = bvfront.NewServer(router.front, bvlog.ForServer(log))
	return router, nil
}

func limitMemory(settings bvsetting.Host) {
	debug.SetMemoryLimit(int64(float64(settings.Memory) * memoryShare))
}

// Reload takes over new settings while the daemon runs: memory and the time for
// a planned stop. Names and addresses stay until the next start.
func (router *Router) Reload(settings bvsetting.Host) {
	limitMemory(settings)
	router.current.Store(&settings)
	fixed := settings.CallerAddress == router.settings.CallerAddress && settings.StoreAddress == router.settings.StoreAddress
	router.log.WithFields(logrus.Fields{"memory": settings.Memory, "stop": settings.Stop, "addresses_kept": fixed}).
		Info("settings reloaded")
}

func (router *Router) listen() (err error) {
	if router.callers, err = listen("callers", router.settings.CallerAddress); err != nil {
		return err
	}
	if router.ready, err = listen("the balancer", router.settings.ReadyAddress); err != nil {
		return err
	}
	if router.peers, err = listen("other hosts", router.settings.PeerAddress); err != nil {
		return err
	}
	router.metrics, err = listen("metrics", router.settings.MetricsAddress)
	return err
}

func listen(purpose, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("router: listen for %s: %w", purpose, err)
	}
	return listener, nil
}

// CallerAddress returns the IP and port that callers use.
func (router *Router) CallerAddress() string { return router.callers.Addr().String() }

// PeerCount returns the number of other hosts whose digests arrive.
func (router *Router) PeerCount() int { return len(router.gossip.LivePeers()) }

// Name returns the host's name.
func (router *Router) Name() string { return router.settings.Name }

// EndpointCount returns the number of endpoints on the list that this host uses.
func (router *Router) EndpointCount() int {
	router.endpointsMutex.Lock()
	defer router.endpointsMutex.Unlock()
	return len(router.endpoints.all())
}

// IsReader reports whether this host reads lists from the platform's store for others.
func (router *Router) IsReader() bool {
	return router.sources().isLarge() && router.sources().isReader()
}

// HasReaders reports whether this host knows the readers of its availability zone; it may
// be one of them.
func (router *Router) HasReaders() bool {
	known := router.sources()
	return known.isLarge() && len(known.readers()) == readersPerZone
}

// HeldBytes returns how many bytes of requests and answers this host holds.
func (router *Router) HeldBytes() int64 { return router.front.HeldBytes() }

// CanGrant reports whether this host may grant tokens of a program from memory.
func (router *Router) CanGrant(program string) bool {
	return router.leases.MayGrant(router.clock.Now(), program, 0)
}

// IsStoreReachable reports whether the platform's store can be reached, directly or
// through another host.
func (router *Router) IsStoreReachable() bool { return router.store.hasRoute() }

// Ready reports whether callers should be sent here. A host that can't ask the
// store, by itself or through another host, can still begin programs while other
// hosts are heard that grant their budgets; one that is cut off from all of them
// must refuse most programs, which another host may serve.
func (router *Router) Ready() bool {
	table, _, confirmed := router.state.Confirmed()
	return !router.leaving.Load() && table != nil && confirmed && router.endpointsKnown.Load() &&
		(router.store.hasRoute() || router.canGrantBudgets())
}

// granting reports whether budgets can be granted without the store.
func (router *Router) canGrantBudgets() bool {
	return router.PeerCount() > 0 && router.leases.IsConfirmed(router.clock.Now())
}

// Run serves until ctx ends, and then stops without cutting off a request.
func (router *Router) Run(ctx context.Context) error {
	router.log.WithFields(logrus.Fields{
		"host":    router.settings.Name,
		"zone":    router.settings.Zone,
		"callers": router.callers.Addr().String(),
	}).Info("started")
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, background := errgroup.WithContext(background)
	group.Go(func() error { router.followRoutes(background); return nil })
	group.Go(func() error { router.maintainConfirmation(background); return nil })
	group.Go(func() error { router.followEndpoints(background); return nil })
	group.Go(func() error { router.store.runProbes(background, hostsPrefix+router.settings.Name); return nil })
	group.Go(func() error { router.closeIdleConnections(background); return nil })
	group.Go(func() error { router.releaseIdleBudgets(background); return nil })
	group.Go(func() error { router.sweep(background); return nil })
	group.Go(func() error { router.followHosts(background); return nil })
	group.Go(func() error { router.sendDigests(background); return nil })
	group.Go(router.receive)
	group.Go(func() error { return router.server.Serve(router.callers) })
	group.Go(func() error { return serveUntil(background, router.ready, router.parts.ReadyHandler(router.Ready)) })
	group.Go(func() error { return serveUntil(background, router.peers, router.relayHandler()) })
	group.Go(func() error { return serveUntil(background, router.metrics, router.metricsHandler()) })
	group.Go(func() error {
		defer func() { _ = router.peerConn.Close() }() // the process ends
		defer stop()
		select {
		case <-ctx.Done():
			return router.leave()
		case <-background.Done():
			return nil
		}
	})
	err := group.Wait()
	router.connections.Close()
	router.log.WithError(err).Info("stopped")
	return err
}

// serveUntil serves HTTP until ctx ends.
func serveUntil(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: smallServerTimeout.Std()}
	release := context.AfterFunc(ctx, func() {
		_ = server.Close() // the process ends
	})
	defer release()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("router: %w", err)
	}
	return nil
}

// smallServerTimeout bounds the headers of the balancer's and the metrics
// collector's requests, which fit into one packet.
const smallServerTimeout = 5 * bvclock.Second
