// Package bvrouter assembles the routing daemon: it serves callers' requests by route,
// forwards them to endpoints, and gets both routes and endpoints from the platform. Every
// host runs the same daemon and makes its own decisions.
//
// # Usage
//
//	router, err := bvrouter.New(settings, parts, log)
//	err = router.Run(ctx) // until ctx is canceled, then stops gracefully
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
	"balsamvalve.example/bvstream"
	"balsamvalve.example/bvsuspect"
)

// Platform is the interface of the platform that a routing daemon requires.
type Platform interface {
	bvplatform.Store
	// AwaitEndpoints returns the changes of the list of endpoints after a change
	// sequence number, as soon as there are any, or no changes after the given wait. The
	// request fails if it is not answered within grace after the wait. It returns the full
	// list for sequence number 0, and if the changes since then are no longer known.
	// Entries that can't be read are reported in the error, which is returned together
	// with the other entries.
	AwaitEndpoints(ctx context.Context, after int64, wait, grace bvclock.Duration) (bvplatform.EndpointChanges, error)
	// FirstEndpoints returns the first entries of the list, or all of them if there are no
	// more than limit.
	FirstEndpoints(ctx context.Context, limit int) (bvplatform.EndpointChanges, error)
	// AwaitRoutes returns the desired state when it changes after a change sequence
	// number, and the sequence number for the next call; no table if nothing has changed
	// after the given wait. The request fails if it is not answered within grace after
	// the wait.
	AwaitRoutes(ctx context.Context, after int64, wait, grace bvclock.Duration) (*bvroute.Table, int64, error)
}

// Wire reads and writes the headers of callers and endpoints.
type Wire interface {
	bvfront.Wire
	bvforward.Wire
}

// Parts are the components that a Router uses. All fields must be set.
type Parts struct {
	Platform Platform
	Wire     Wire
	// ReadyHandler makes the handler that reports readiness to the balancer.
	ReadyHandler func(ready func() bool) http.Handler
}

// Router is one host's daemon. Make one with New.
type Router struct {
	settings    bvsetting.Host                 // from the start of the process
	current     atomic.Pointer[bvsetting.Host] // from the last reload
	parts       Parts
	log         logrus.FieldLogger
	clock       bvclock.Clock
	started     bvclock.Time
	state       *state
	store       *storeClient
	dispatcher  *bvdispatch.Dispatcher
	suspects    *bvsuspect.Suspects
	streams     *bvstream.Streams
	connections *bvforward.Connections
	budgets     *bvbudget.Allocator
	rules       grantRules // used by followHosts only
	histories   *bvhistory.Store
	leases      *bvlease.Leases
	limiter     *bvquota.Limiter
	counters    *bvmeasure.Counters
	front       *bvfront.Front
	server      *bvfront.Server
	leaving     atomic.Bool

	originsDue chan struct{} // holds one element while origins of streams may have to be stored

	listedVersion atomic.Int64 // version of this host's row
	hostsKnown    atomic.Bool  // the list of hosts has been read

	hosts atomic.Pointer[sharedHosts]

	// The following fields are used by followHosts only.
	hostsAsOf        bvclock.Time // since when the list of hosts may have changed
	hostsFailures    int          // consecutive requests for it that no other host answered
	listedAt         bvclock.Time // when this host last wrote its row
	wasReader        bool         // this host was a reader at the last check
	isOnList         bool         // this host's row is on the last list
	listedAsGrantor  bool
	previousHandover *handover // of the last process, until this host is listed

	endpointsMutex sync.Mutex // held while a list of endpoints is applied
	endpoints      endpointList
	endpointsAsOf  atomic.Int64 // since when the list may have changed; 0 before the first one
	endpointsKnown atomic.Bool
	starting       startingList
	listCopies     atomic.Int64 // full lists that are being sent to other hosts

	incarnation string
	gossip      *bvgossip.Gossip
	peerConn    *net.UDPConn
	callers     net.Listener
	ready       net.Listener
	peers       net.Listener
	metrics     net.Listener
}

// memoryShare is the share of the allowed memory that the Go runtime may use. Stacks, the
// C library and socket buffers count too and need the rest.
const memoryShare = 0.7

// callMemoryShare is the share of the allowed memory that calls may hold for requests and
// answers.
const callMemoryShare = 0.2

// New opens the ports and returns a Router.
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
		state:       &state{clock: clock, apply: settings.ApplyBound, revoke: settings.RevocationBound},
		dispatcher:  bvdispatch.NewDispatcher(clock, xxhash.Sum64String(settings.Name), settings.Zone),
		connections: &bvforward.Connections{Clock: clock, Wire: parts.Wire},
		counters:    bvmeasure.New(),
		originsDue:  make(chan struct{}, 1),
	}
	router.limiter = bvquota.New(clock, bvquota.Bounds{
		StartFull: settings.FirstStart, Window: settings.QuotaWindow, OverRatio: settings.QuotaOver, Slack: settings.QuotaSlack,
	})
	router.endpoints.minExpiry = minExpiryIntervals * settings.RegistrationInterval
	router.current.Store(&settings)
	if err := router.listen(); err != nil {
		return nil, err
	}
	if err := router.openGossip(); err != nil {
		return nil, err
	}
	router.store = newStoreClient(parts.Platform, clock, log, router.relays, router.countStoreCall)
	router.suspects = bvsuspect.New(clock, router.store, router.counters, log)
	router.dispatcher.SetObserver(router.suspects)
	router.dispatcher.SetLog(log)
	router.streams = bvstream.New(bvstream.Parts{
		Name: settings.Name, Clock: clock, Peers: streamPeers{router}, Store: router.store, Endpoints: router.dispatcher,
		Counters: router.counters, Log: log,
	})
	router.budgets = bvbudget.NewAllocator(router.store, lenders{router}, incarnation, clock, log)
	router.budgets.SetSettleTime(settings.SettleBound)
	router.leases = bvlease.New(bvlease.Host{
		Name: settings.Name, Incarnation: incarnation, Address: router.settings.PeerAddress,
	}, settings.FirstStart, router.started)
	if !settings.Disabled.Has(bvmechanism.Halves) {
		router.budgets.SetGrantors(grantors{router})
	}
	router.budgets.SetLending(!settings.Disabled.Has(bvmechanism.Lending))
	router.dispatcher.Disable(settings.Disabled)
	router.histories = bvhistory.NewStore(router.store, peers{router}, settings.MaxRowBytes, log)
	router.front = bvfront.New(bvfront.Parts{
		Clock:      clock,
		Wire:       parts.Wire,
		State:      router.state,
		Store:      router.store,
		Dispatcher: router.dispatcher,
		Suspects:   router.suspects,
		Streams:    router.streams,
		Endpoints:  router.connections,
		List:       endpointsInUse{router},
		Quotas:     quotas{router},
		Budgets:    router.budgets,
		Histories:  router.histories,
		Counters:   router.counters,
		Log:        log,
		Memory:     int64(float64(settings.Memory) * callMemoryShare),
		LinkRate:   settings.LinkRate,
		Without:    settings.Disabled,
	})
	router.server = bvfront.NewServer(router.front, bvlog.ForServer(log))
	return router, nil
}

func limitMemory(settings bvsetting.Host) {
	debug.SetMemoryLimit(int64(float64(settings.Memory) * memoryShare))
}

// Reload applies new settings while the daemon runs: memory, the rate of the link, and the
// time for a graceful stop. Names and addresses stay until the next start.
func (router *Router) Reload(settings bvsetting.Host) {
	limitMemory(settings)
	router.front.SetLinkRate(settings.LinkRate)
	router.current.Store(&settings)
	fixed := settings.CallerAddress == router.settings.CallerAddress && settings.StoreAddress == router.settings.StoreAddress
	router.log.WithFields(logrus.Fields{"memory": settings.Memory, "stop": settings.StopBound, "addresses_kept": fixed}).
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

// HostCount returns the number of hosts on the list that this host knows, itself included; 0
// while it knows a part of the list only.
func (router *Router) HostCount() int {
	shared := router.hosts.Load()
	if shared == nil || shared.asOf == 0 {
		return 0
	}
	return len(shared.hosts)
}

// IsReader reports whether this host reads lists from the platform's store for others.
func (router *Router) IsReader() bool {
	return router.fleet().isLarge() && router.fleet().isReader()
}

// HasReaders reports whether this host knows the readers of its availability zone; it may
// be one of them.
func (router *Router) HasReaders() bool {
	fleet := router.fleet()
	return fleet.isLarge() && len(fleet.readers()) == readersPerZone
}

// HeldBytes returns how many bytes of requests and answers this host holds.
func (router *Router) HeldBytes() int64 { return router.front.HeldBytes() }

// RestrictedRequests returns the number of requests that have crashed endpoints and that this host
// runs exclusively or denies.
func (router *Router) RestrictedRequests() int { return router.suspects.RestrictedCount() }

// CanGrant reports whether this host may grant tokens of a program from memory.
func (router *Router) CanGrant(program string) bool {
	return router.leases.MayGrant(router.clock.Now(), program, 0)
}

// IsStoreReachable reports whether the platform's store can be reached, directly or
// through another host.
func (router *Router) IsStoreReachable() bool { return router.store.hasRoute() }

// Ready reports whether callers should be sent to this host. A host that can't reach the
// store, directly or through another host, can still start programs while it reaches other
// hosts that grant their budgets; one that is isolated from all of them must refuse most
// programs, which another host may serve.
func (router *Router) Ready() bool {
	table, _, confirmed := router.state.Confirmed()
	return !router.leaving.Load() && router.server.Accepts() && table != nil && confirmed && router.endpointsKnown.Load() &&
		(router.store.hasRoute() || router.canGrantBudgets())
}

// canGrantBudgets reports whether budgets can be granted without the store.
func (router *Router) canGrantBudgets() bool {
	return router.PeerCount() > 0 && router.leases.IsConfirmed(router.clock.Now())
}

// serveUntil serves HTTP until ctx is canceled.
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

// smallServerTimeout bounds the time to read the headers of requests from the balancer,
// other hosts and the metrics collector, which fit into one packet.
const smallServerTimeout = 5 * bvclock.Second
