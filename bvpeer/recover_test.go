package bvpeer

import (
	"context"
	"net"
	"testing"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
)

// panickingPeer panics in its first call of each kind.
type panickingPeer struct {
	UnimplementedPeerServer
	calls, fetches int
}

func (peer *panickingPeer) Run(_ *Call, stream grpc.ServerStreamingServer[CallEvent]) error {
	if peer.calls++; peer.calls == 1 {
		panic("a fault of the program")
	}
	return stream.Send(&CallEvent{})
}

func (peer *panickingPeer) Fetch(context.Context, *FetchRequest) (*FetchReply, error) {
	if peer.fetches++; peer.fetches == 1 {
		panic("a fault of the program")
	}
	return &FetchReply{}, nil
}

// Guards against a panic in one host's request, which ended the process with all its calls.
func TestPanicInARequestFailsThatRequestOnly(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	log, lines := test.NewNullLogger()
	server := grpc.NewServer(ServerOptions(nil, nil, log)...)
	RegisterPeerServer(server, &panickingPeer{})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	conn, err := grpc.NewClient(listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	client := NewPeerClient(conn)
	_, err = client.Fetch(t.Context(), &FetchRequest{})
	require.Equal(t, codes.Internal, status.Code(err))
	_, err = client.Fetch(t.Context(), &FetchRequest{})
	require.NoError(t, err)
	for _, expected := range []codes.Code{codes.Internal, codes.OK} {
		stream, err := client.Run(t.Context(), &Call{})
		require.NoError(t, err)
		_, err = stream.Recv()
		require.Equal(t, expected, status.Code(err))
	}
	require.Len(t, lines.AllEntries(), 2)
}
