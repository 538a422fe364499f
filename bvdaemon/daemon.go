// Package bvdaemon assembles one host's daemon: the callers' API, the peer
// service for other hosts, the operators' API, and the loops that poll the
// platform's lists.
//
// # Usage
//
//	daemon, err := bvdaemon.New(settings, log)
//	err = daemon.Run(ctx) // until ctx ends, then a graceful stop
package bvdaemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/sdk/trace"
	"google.golang.org/grpc"

	"balsamvalve.example/bvcaller"
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvendpoint"
	"balsamvalve.example/bventry"
	"balsamvalve.example/bvgate"
	"balsamvalve.example/bvhost"
	"balsamvalve.example/bvlog"
	"balsamvalve.example/bvmeasure"
	"balsamvalve.example/bvowner"
	"balsamvalve.example/bvpeer"
	"balsamvalve.example/bvpermit"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvsetting"
	"balsamvalve.example/bvtrace"
)

// Platform is the part of the platform's API that a daemon uses.
type Platform interface {
	bvplatform.Store
	bvplatform.HostList
	bvplatform.EndpointList
}

// Daemon is one host's process.
type Daemon struct {
	settings     bvsetting.Serve
	log          logrus.FieldLogger
	clock        bvclock.Clock
	platform     Platform
	incarnation  string
	view         *bvhost.View
	peers        *bvpeer.Pool
	endpoints    *endpointTable
	table        *table
	permits      *bvpermit.Server
	permitClient *bvpermit.Client
	owner        *bvowner.Owner
	committer    *commitLoop
	entry        *bventry.Entry
	caller       *http.Server
	operator     *http.Server
	peer         *grpc.Server
	listeners    listeners
	transports   transports
	traces       *bvtrace.Provider
	spanExporter trace.SpanExporter // of the embedding program; may be nil
	measures     *bvmeasure.Counters
	ready        atomic.Bool // the lists have been read and the host is not leaving
	stopped      chan struct{}
}

// listeners are the listening sockets of a daemon.
type listeners struct {
	caller   net.Listener
	operator net.Listener
	peer     net.Listener
}

// New opens the listeners and assembles the daemon. Nothing is served before Run.
func New(settings bvsetting.Serve, log logrus.FieldLogger, options ...Option) (*Daemon, error) {
	daemon := &Daemon{
		settings:    settings,
		log:         log,
		clock:       bvclock.Boot(),
		incarnation: bvhost.NewIncarnation(),
		view:        &bvhost.View{},
		endpoints:   &endpointTable{},
		measures:    bvmeasure.New(),
		stopped:     make(chan struct{}),
	}
	for _, option := range options {
		option(daemon)
	}
	if err := daemon.openTransports(); err != nil {
		return nil, err
	}
	if err := daemon.listen(); err != nil {
		return nil, err
	}
	if err := daemon.openTraces(); err != nil {
		return nil, err
	}
	daemon.platform = daemon.platformClient()
	daemon.view.SetSelf(daemon.hostEntry(bvplatform.HostLive))
	daemon.peers = bvpeer.NewPool(daemon.peerCredentials(), daemon.traces.TracerProvider())
	daemon.table = newTable(daemon)
	daemon.buildServers()
	return daemon, nil
}

func (daemon *Daemon) buildServers() {
	client := &bvendpoint.Client{ProgressTimeout: daemon.settings.SilenceLimit()}
	limits := bvgate.Limits{MaxQueued: daemon.settings.QueueLimit()}
	daemon.permits = bvpermit.NewServer(daemon.clock, newRelease(client), limits, daemon.log)
	daemon.permitClient = bvpermit.NewClient(daemon.clock, daemon.view, daemon.peers, daemon.permits, daemon.log)
	daemon.committer = newCommitLoop(daemon)
	daemon.owner = bvowner.New(ownerName(daemon.view.Self()), bvowner.Parts{
		Clock:        daemon.clock,
		Store:        daemon.platform,
		Committer:    daemon.committer,
		Permits:      daemon.permitClient,
		Endpoints:    client,
		EndpointList: daemon.endpoints,
		Table:        daemon.table,
		Log:          daemon.log,
		Metrics:      daemon.measures,
	})
	daemon.entry = bventry.New(daemon.clock, daemon.view, daemon.peers, daemon.owner, daemon.measures, daemon.log)
	api := bvcaller.New(bvcaller.Parts{
		Entry:     daemon.entry,
		Policy:    daemon.table,
		Ring:      daemon.settings.Ring(),
		BodyLimit: daemon.settings.BodyLimit(),
		Measure:   daemon.measures,
		Log:       daemon.log,
		Tracers:   daemon.traces.TracerProvider(),
	})
	daemon.caller = daemon.newHTTPServer(api.Handler())
	daemon.operator = daemon.newHTTPServer(daemon.operatorHandler())
	daemon.peer = grpc.NewServer(bvpeer.ServerOptions(daemon.peerCredentials(), daemon.traces.TracerProvider(), daemon.log)...)
	bvpeer.RegisterPeerServer(daemon.peer, &peerService{daemon: daemon})
}

func (daemon *Daemon) newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout.Std(),
		ErrorLog:          bvlog.ForServer(daemon.log),
	}
}

// headerTimeout bounds how long a client may take to send its headers. Without
// it, clients that send nothing hold connections indefinitely.
const headerTimeout = 10 * bvclock.Second

func newRelease(client *bvendpoint.Client) bvpermit.Release {
	return func(address, member, program string) bool {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout.Std())
		defer cancel()
		return client.Release(ctx, address, member, program) == nil
	}
}

const releaseTimeout = 3 * bvclock.Second

func (daemon *Daemon) listen() (err error) {
	if daemon.listeners.caller, err = listen("callers", daemon.settings.CallerAddress()); err != nil {
		return err
	}
	if daemon.listeners.operator, err = listen("operators", daemon.settings.OperatorAddress()); err != nil {
		return err
	}
	daemon.listeners.peer, err = listen("peers", daemon.settings.PeerAddress())
	return err
}

func listen(purpose string, address netip.AddrPort) (net.Listener, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("daemon: listen for %s: %w", purpose, err)
	}
	return listener, nil
}

// CallerAddress returns the IP and port that callers use.
func (daemon *Daemon) CallerAddress() string { return daemon.listeners.caller.Addr().String() }

// OperatorAddress returns the IP and port that operators use.
func (daemon *Daemon) OperatorAddress() string { return daemon.listeners.operator.Addr().String() }

// PeerAddress returns the IP and port that other hosts use.
func (daemon *Daemon) PeerAddress() string { return daemon.listeners.peer.Addr().String() }

// Name returns the host's name. If none is set it is the peer address, with the
// port that the system assigned if the setting has port 0.
func (daemon *Daemon) Name() string {
	name := daemon.settings.HostName()
	if name == daemon.settings.PeerAddress().String() {
		return daemon.PeerAddress()
	}
	return name
}

// Ready reports whether the host accepts calls: it has read the lists, is not
// leaving, and has a confirmed table in force. Without the last condition, the
// balancer would send callers to a host that has just started and refuses them all.
func (daemon *Daemon) Ready() bool {
	_, err := daemon.table.follower.Current()
	return err == nil && daemon.ready.Load()
}

// HostCount returns the number of hosts in this one's view, itself included.
func (daemon *Daemon) HostCount() int { return len(daemon.view.Hosts()) }

// Stopped returns a channel that is closed when Run returns.
func (daemon *Daemon) Stopped() <-chan struct{} { return daemon.stopped }

func (daemon *Daemon) hostEntry(state bvplatform.HostState) bvplatform.Host {
	return bvplatform.Host{
		Name:        daemon.Name(),
		PeerAddress: daemon.PeerAddress(),
		Zone:        daemon.settings.Zone(),
		Incarnation: daemon.incarnation,
		State:       state,
	}
}
