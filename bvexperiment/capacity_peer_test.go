package bvexperiment_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgate"
	"balsamvalve.example/bvhost"
	"balsamvalve.example/bvpeer"
	"balsamvalve.example/bvpermit"
	"balsamvalve.example/bvplatform"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
	"google.golang.org/grpc"
)

const capacityModel = "model-1"

// permitService is a peer that implements only Permit and Status.
type permitService struct {
	bvpeer.UnimplementedPeerServer
	permits *bvpermit.Server
}

func (service *permitService) Permit(stream bvpeer.Peer_PermitServer) error {
	return service.permits.Serve(stream)
}

func (service *permitService) Status(context.Context, *bvpeer.StatusRequest) (*bvpeer.StatusReply, error) {
	return &bvpeer.StatusReply{}, nil
}

// startPeer starts a peer that decides for some engines, and returns its address.
func startPeer(b *testing.B, engines int) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	permits := bvpermit.NewServer(bvclock.Boot(), func(string, string, string) bool { return true }, bvgate.Limits{}, logrus.New())
	endpoints := make([]bvplatform.Endpoint, engines)
	for at := range endpoints {
		endpoints[at] = bvplatform.Endpoint{
			Name: fmt.Sprintf("engine-%d", at), Serves: capacityModel, Address: "127.0.0.1:1", Slots: 64, CacheTokens: 1_000_000,
		}
	}
	permits.Update(endpoints, nil)
	server := grpc.NewServer(bvpeer.ServerOptions(nil, nil, logrus.New())...)
	bvpeer.RegisterPeerServer(server, &permitService{permits: permits})
	go func() { _ = server.Serve(countingListener{listener}) }()
	b.Cleanup(server.Stop)
	return listener.Addr().String()
}

// transferred counts the bytes of all connections, without TCP and IP headers.
var transferred atomic.Int64

type countingListener struct{ net.Listener }

func (listener countingListener) Accept() (net.Conn, error) {
	connection, err := listener.Listener.Accept()
	return countingConnection{connection}, err
}

type countingConnection struct{ net.Conn }

func (connection countingConnection) Read(buffer []byte) (int, error) {
	count, err := connection.Conn.Read(buffer)
	transferred.Add(int64(count))
	return count, err
}

func (connection countingConnection) Write(buffer []byte) (int, error) {
	count, err := connection.Conn.Write(buffer)
	transferred.Add(int64(count))
	return count, err
}

func processorTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkCapacityPermit measures a permit over gRPC on loopback, from request to
// finish. The processor time is that of both hosts together.
func BenchmarkCapacityPermit(b *testing.B) {
	withSizes(b, "engines", []int{19, 76, 304}, func(b *testing.B, size int) {
		decider := bvplatform.Host{Name: "decider", PeerAddress: startPeer(b, size), State: bvplatform.HostLive}
		view := &bvhost.View{}
		view.Update(1, []bvplatform.Host{decider})
		peers := &bvpeer.Pool{}
		defer peers.Close()
		client := bvpermit.NewClient(bvclock.Boot(), view, peers, nil, logrus.New())
		before, bytes := processorTime(), transferred.Load()
		calls := 0
		for b.Loop() {
			calls++
			permit, err := client.Acquire(context.Background(), &bvpeer.PermitAsk{
				Pool: bvpermit.PoolName(bvplatform.Engine, capacityModel), Member: "piran",
				Program: fmt.Sprintf("p-%d", calls%(size*programsPerEngine)), PromptTokens: 2000, OutputTokens: 100,
			})
			if err != nil {
				b.Fatal(err)
			}
			permit.MarkUsed()
			permit.Finish(&bvpeer.PermitFinish{PromptTokens: 2000, OutputTokens: 100, PauseMs: 500})
		}
		used := processorTime() - before
		b.ReportMetric(float64(used.Microseconds())/float64(calls), "cpu-us/call")
		b.ReportMetric(float64(transferred.Load()-bytes)/float64(calls), "wire-B/call")
	})
}

// BenchmarkCapacityConnections measures the cost of an idle connection for both hosts
// together: its heap, and the bytes and processor time of its keepalive pings per
// second.
func BenchmarkCapacityConnections(b *testing.B) {
	withSizes(b, "peers", []int{10, 50, 200}, func(b *testing.B, size int) {
		addresses := make([]string, size)
		for at := range addresses {
			addresses[at] = startPeer(b, 1)
		}
		const idle = 8 * time.Second
		held, bytes, used := 0.0, 0.0, time.Duration(0)
		for b.Loop() {
			peers := &bvpeer.Pool{}
			held = heapGrowth(func() any {
				for _, address := range addresses {
					peer, err := peers.Peer(address)
					require.NoError(b, err)
					_, err = peer.Status(context.Background(), &bvpeer.StatusRequest{})
					require.NoError(b, err)
				}
				return peers
			})
			before, sent := processorTime(), transferred.Load()
			time.Sleep(idle)
			used = processorTime() - before
			bytes = float64(transferred.Load() - sent)
			peers.Close()
		}
		perSecond := float64(size) * idle.Seconds()
		b.ReportMetric(held/float64(size), "heap-B/connection")
		b.ReportMetric(bytes/perSecond, "wire-B/s/connection")
		b.ReportMetric(float64(used.Microseconds())/perSecond, "cpu-us/s/connection")
	})
}
