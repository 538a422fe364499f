package bvendpoint_test

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvendpoint"
	"balsamvalve.example/bvlog"
	"balsamvalve.example/bvloopback"
	"balsamvalve.example/bvverdict"
)

const (
	// boundsTimeout is only reached by a failing test.
	boundsTimeout = 20 * time.Second
	// maxErrorBytes bounds the text of an error.
	maxErrorBytes = 500
	// maxHeapGrowth bounds the memory that one answer may take, garbage included.
	maxHeapGrowth = 96 << 20
)

// startEndless starts an endpoint that sends a head and then a piece until its connection is
// closed, which closes the channel.
func startEndless(t *testing.T, head, piece string) (address string, closed <-chan struct{}) {
	t.Helper()
	ended := make(chan struct{})
	piece = strings.Repeat(piece, max(1, 32<<10/len(piece)))
	server := bvloopback.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		conn, _, err := http.NewResponseController(writer).Hijack()
		if err != nil {
			return // the client has disconnected
		}
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, head)
		for err == nil {
			_, err = io.WriteString(conn, piece)
		}
		close(ended)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), ended
}

// requireBounded fails if a call does not fail in time, without much memory and with a short
// text, or if it leaves its connection open.
func requireBounded(t *testing.T, closed <-chan struct{}, call func(ctx context.Context, client *bvendpoint.Client) error) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), boundsTimeout)
	defer cancel()
	client := &bvendpoint.Client{MaxResumes: -1, CheckTimeout: 20 * bvclock.Millisecond}
	defer client.Close()
	before := heapBytes()
	err := call(ctx, client)
	require.Error(t, err)
	require.NoError(t, ctx.Err())
	require.Less(t, len(err.Error()), maxErrorBytes)
	require.Less(t, heapBytes()-before, int64(maxHeapGrowth))
	select {
	case <-closed:
	case <-ctx.Done():
		require.Fail(t, "the connection stays open")
	}
	return err
}

func heapBytes() int64 {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return int64(memory.HeapInuse)
}

func invoke(address string) func(ctx context.Context, client *bvendpoint.Client) error {
	return func(ctx context.Context, client *bvendpoint.Client) error {
		_, err := client.Invoke(ctx, address, bvendpoint.ServiceCall{Path: "/x"})
		return err
	}
}

func chat(address string) func(ctx context.Context, client *bvendpoint.Client) error {
	return func(ctx context.Context, client *bvendpoint.Client) error {
		_, err := client.Chat(ctx, address, bvendpoint.ChatCall{Model: "m", Messages: []byte("[]")}, nil)
		return err
	}
}

// Guards against a head without end.
func TestEndlessHeadIsAborted(t *testing.T) {
	address, closed := startEndless(t, "HTTP/1.1 200 OK\r\nX: ", "x")
	requireBounded(t, closed, invoke(address))
}

// Guards against interim answers without end.
func TestEndlessInterimAnswersAreAborted(t *testing.T) {
	address, closed := startEndless(t, "", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n")
	requireBounded(t, closed, invoke(address))
}

// Guards against an endpoint's bytes that stand whole in an error.
func TestLongStatusLineIsExcerpted(t *testing.T) {
	address, closed := startEndless(t, strings.Repeat("x", 100<<10)+"\r\n\r\n", "x")
	requireBounded(t, closed, invoke(address))
}

// Guards against an endpoint's message that stands whole in an error, and so in the caller's answer.
func TestLongMessageOfARefusalIsExcerpted(t *testing.T) {
	message := strings.Repeat("x", 50<<10)
	address, closed := startEndless(t, "HTTP/1.1 400 Bad\r\nContent-Length: 60000\r\n\r\n"+`{"error":{"message":"`+message+`"}}`+strings.Repeat(" ", 60000), " ")
	requireBounded(t, closed, chat(address))
}

// Guards against a service's body without end.
func TestEndlessBodyOfAServiceIsTooLarge(t *testing.T) {
	address, closed := startEndless(t, "HTTP/1.1 200 OK\r\n\r\n", "x")
	err := requireBounded(t, closed, invoke(address))
	require.Equal(t, bvverdict.TooLarge, bvverdict.From(err).Code())
}

// Guards against tokens without end that outgrow the host's memory.
func TestEndlessTokensAreTooLarge(t *testing.T) {
	event := `data: {"choices":[{"delta":{"content":"` + strings.Repeat("word ", 800) + `"}}]}` + "\n\n"
	address, closed := startEndless(t, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", event)
	err := requireBounded(t, closed, chat(address))
	require.Equal(t, bvverdict.TooLarge, bvverdict.From(err).Code())
	require.Equal(t, bvverdict.MayHaveRun, bvverdict.Of(err))
}

// Guards against an event's line without end.
func TestEndlessLineIsAborted(t *testing.T) {
	address, closed := startEndless(t, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ", "x")
	requireBounded(t, closed, chat(address))
}

// Guards against an error's body without end.
func TestEndlessBodyOfAnErrorIsAborted(t *testing.T) {
	address, closed := startEndless(t, "HTTP/1.1 500 Failed\r\n\r\n", "x")
	requireBounded(t, closed, chat(address))
}

// Guards against bytes after an answer that the standard logger writes out.
func TestBytesAfterAnAnswerAreNotLogged(t *testing.T) {
	to, lines := test.NewNullLogger()
	to.SetLevel(logrus.DebugLevel)
	bvlog.CaptureStandard(to)
	defer log.SetOutput(os.Stderr)
	listener, err := net.Listen("tcp", bvloopback.Address())
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 1<<10))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody")
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(conn, strings.Repeat("secret", 500))
		_, _ = conn.Read(make([]byte, 1<<10)) // until the client closes the connection
	}()
	client := &http.Client{Transport: &http.Transport{}} // keeps the connection, unlike bvendpoint.Client
	defer client.CloseIdleConnections()
	response, err := client.Get("http://" + listener.Addr().String() + "/x")
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	_ = response.Body.Close()
	<-ended
	require.Eventually(t, func() bool { return len(lines.AllEntries()) > 0 }, boundsTimeout, time.Millisecond)
	for _, line := range lines.AllEntries() {
		require.Contains(t, line.Message, "secret")
		require.NotContains(t, line.Message, strings.Repeat("secret", 40))
	}
}
