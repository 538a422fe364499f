package bvpeer

import (
	"fmt"
	"sync"
	"time"

	"github.com/grpc-ecosystem/go-grpc-middleware/v2/interceptors/recovery"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/contrib/instrumentation/google.golang.org/grpc/otelgrpc"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"balsamvalve.example/bvlog"
	"balsamvalve.example/bvtrace"
)

// Detection of dead connections. A network device between two hosts can drop the state of a
// connection, so that both ends consider it open but nothing arrives. An unanswered ping
// closes the connection, and the next call dials a new one.
const (
	pingInterval = 2 * time.Second
	pingTimeout  = 2 * time.Second
)

// Delays before a failed connection to a host is dialed again, and the limit of a dial.
const (
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = time.Second
	dialTimeout    = time.Second
)

// maxMessageBytes bounds a message between hosts; a history of 320,000 tokens is well below
// it.
const maxMessageBytes = 64 << 20

// Pool holds one connection per peer. The zero value is ready to use, without TLS.
type Pool struct {
	mutex       sync.Mutex
	connections map[string]*grpc.ClientConn
	credentials credentials.TransportCredentials
	tracers     trace.TracerProvider
}

// NewPool returns a pool that dials with the given credentials and traces with the given
// provider. Both may be nil.
func NewPool(transport credentials.TransportCredentials, tracers trace.TracerProvider) *Pool {
	return &Pool{credentials: transport, tracers: tracers}
}

// Peer returns a client for the host that listens at address, an IP and port.
func (pool *Pool) Peer(address string) (PeerClient, error) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if connection, found := pool.connections[address]; found {
		return NewPeerClient(connection), nil
	}
	connection, err := grpc.NewClient("passthrough:///"+address, pool.options()...)
	if err != nil {
		return nil, fmt.Errorf("peer: dial %s: %w", address, err)
	}
	if pool.connections == nil {
		pool.connections = make(map[string]*grpc.ClientConn)
	}
	pool.connections[address] = connection
	return NewPeerClient(connection), nil
}

// Retain closes the connections to all addresses except the given ones.
func (pool *Pool) Retain(addresses map[string]bool) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for address, connection := range pool.connections {
		if !addresses[address] {
			_ = connection.Close()
			delete(pool.connections, address)
		}
	}
}

// Close closes all connections.
func (pool *Pool) Close() {
	pool.Retain(nil)
}

func (pool *Pool) options() []grpc.DialOption {
	transport := pool.credentials
	if transport == nil {
		transport = insecure.NewCredentials()
	}
	return []grpc.DialOption{
		grpc.WithTransportCredentials(transport),
		grpc.WithStatsHandler(otelgrpc.NewClientHandler(traceOptions(pool.tracers)...)),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
		// No retries by a service configuration. gRPC still resends a call if the server
		// refused its stream unprocessed or if nothing of it was written. That is harmless
		// even for an unrepeatable request: an owner that receives a call twice treats the
		// second as a repeat.
		grpc.WithDisableRetry(),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time:                pingInterval,
			Timeout:             pingTimeout,
			PermitWithoutStream: true,
		}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: minRedialDelay, Multiplier: 2, MaxDelay: maxRedialDelay},
			MinConnectTimeout: dialTimeout,
		}),
	}
}

// ServerOptions returns the options of a daemon's gRPC server that match those of Pool. A
// panic in a handler is logged and fails its request only.
func ServerOptions(transport credentials.TransportCredentials, tracers trace.TracerProvider, log logrus.FieldLogger) []grpc.ServerOption {
	if transport == nil {
		transport = insecure.NewCredentials()
	}
	recovered := recovery.WithRecoveryHandler(func(cause any) error {
		log.WithField("panic", cause).WithField("stack", bvlog.Stack()).Error("panic in another host's request")
		return status.Error(codes.Internal, "the request failed in this host")
	})
	return []grpc.ServerOption{
		grpc.ChainUnaryInterceptor(recovery.UnaryServerInterceptor(recovered)),
		grpc.ChainStreamInterceptor(recovery.StreamServerInterceptor(recovered)),
		grpc.Creds(transport),
		grpc.StatsHandler(otelgrpc.NewServerHandler(traceOptions(tracers)...)),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime:             pingInterval / 2,
			PermitWithoutStream: true,
		}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingInterval, Timeout: pingTimeout}),
	}
}

func traceOptions(tracers trace.TracerProvider) []otelgrpc.Option {
	if tracers == nil {
		tracers = noop.NewTracerProvider()
	}
	return []otelgrpc.Option{otelgrpc.WithTracerProvider(tracers), otelgrpc.WithPropagators(bvtrace.Propagator())}
}
