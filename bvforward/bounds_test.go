package bvforward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvverdict"
)

const (
	// endlessTime bounds a request to an endpoint that sends bytes without end.
	endlessTime = 400 * time.Millisecond
	// boundsTimeout is only reached by a failing test.
	boundsTimeout = 10 * time.Second
	// maxErrorBytes bounds the text of an error, with the endpoint's name and the verdict.
	maxErrorBytes = 400
	// maxHeapGrowth bounds the memory that one answer may take, garbage included.
	maxHeapGrowth = 16 << 20
)

// newEndless returns an endpoint that sends a head and then a piece until its connection is
// closed, and a channel that is closed then.
func newEndless(t *testing.T, head, piece string) (*endpoint, <-chan struct{}) {
	t.Helper()
	closed := make(chan struct{})
	piece = strings.Repeat(piece, max(1, 32<<10/len(piece)))
	endless := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		defer close(closed)
		_, err := io.WriteString(conn, head)
		for err == nil {
			_, err = io.WriteString(conn, piece)
		}
		return false
	})
	return endless, closed
}

// requireClosed fails if the host does not close the endpoint's connection.
func requireClosed(t *testing.T, closed <-chan struct{}) {
	t.Helper()
	select {
	case <-closed:
	case <-time.After(boundsTimeout):
		require.Fail(t, "the connection stays open")
	}
}

// fetchWithin is fetch with a deadline. It checks the error's text, and the memory.
func fetchWithin(t *testing.T, endless *endpoint, limit time.Duration) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	before := heapBytes()
	response, err := newConnections().Send(ctx, endless.request("1"))
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		response.Close()
	}
	require.Error(t, err)
	require.Less(t, len(err.Error()), maxErrorBytes)
	require.Less(t, heapBytes()-before, int64(maxHeapGrowth))
	return err
}

func heapBytes() int64 {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return int64(memory.HeapInuse)
}

// requireDefect checks the type of an answer's error.
func requireDefect(t *testing.T, defect Defect, err error) {
	t.Helper()
	var answer *AnswerError
	require.ErrorAs(t, err, &answer)
	require.Equal(t, defect, answer.Defect(), err)
}

// Guards against an endpoint's bytes that stand whole in an error, and so in a log line.
func TestErrorsHaveAnExcerptOfTheEndpointsBytes(t *testing.T) {
	long := strings.Repeat("x", 200<<10)
	for _, text := range []string{
		long + "\r\n\r\n",
		"HTTP/1.1 " + long + "\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + long + "\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: " + long + "\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: " + long + "\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + long[:3<<10] + "\r\n\r\n",
	} {
		server := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ int) bool {
			_, _ = io.WriteString(conn, text)
			return false
		})
		requireDefect(t, Malformed, fetchWithin(t, server, boundsTimeout))
	}
}

// Guards against interim answers without end.
func TestEndlessInterimAnswersAreAborted(t *testing.T) {
	endless, closed := newEndless(t, "", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n")
	requireDefect(t, HeadTooLarge, fetchWithin(t, endless, boundsTimeout))
	requireClosed(t, closed)
}

// Guards against a status line without end.
func TestEndlessStatusLineIsAborted(t *testing.T) {
	endless, closed := newEndless(t, "HTTP/1.1 ", "2")
	requireDefect(t, HeadTooLarge, fetchWithin(t, endless, boundsTimeout))
	requireClosed(t, closed)
}

// Guards against trailers without end.
func TestEndlessTrailerIsAborted(t *testing.T) {
	endless, closed := newEndless(t, "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "Trail: x\r\n")
	requireDefect(t, Malformed, fetchWithin(t, endless, boundsTimeout))
	requireClosed(t, closed)
}

// Guards against a chunk's extension without end.
func TestEndlessChunkExtensionIsAborted(t *testing.T) {
	endless, closed := newEndless(t, "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4;", "x")
	requireDefect(t, Malformed, fetchWithin(t, endless, boundsTimeout))
	requireClosed(t, closed)
}

// Guards against many chunks of one byte with extensions, which cost more than they carry.
func TestEndlessChunksOfExtensionsAreAborted(t *testing.T) {
	chunk := "1;" + strings.Repeat("x", 1000) + "\r\ny\r\n"
	endless, closed := newEndless(t, "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n", chunk)
	requireDefect(t, Malformed, fetchWithin(t, endless, boundsTimeout))
	requireClosed(t, closed)
}

// requireTimedOut fails if an endless answer does not end with the request's time.
func requireTimedOut(t *testing.T, endless *endpoint, closed <-chan struct{}) {
	t.Helper()
	start := time.Now()
	_ = fetchWithin(t, endless, endlessTime)
	require.Less(t, time.Since(start), boundsTimeout)
	requireClosed(t, closed)
}

// Guards against a body in chunks without end that is read beyond the request's time.
func TestEndlessChunksEndWithTheRequest(t *testing.T) {
	endless, closed := newEndless(t, "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n"+strings.Repeat("x", 1024)+"\r\n")
	requireTimedOut(t, endless, closed)
}

// Guards against a body without length or end that is read beyond the request's time.
func TestEndlessUnframedBodyEndsWithTheRequest(t *testing.T) {
	endless, closed := newEndless(t, "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\n", "x")
	requireTimedOut(t, endless, closed)
}

// Guards against an answer to another request without end, in place of the answer.
func TestEndlessAnswerToAnotherRequestIsAborted(t *testing.T) {
	endless, closed := newEndless(t, "HTTP/1.1 200 OK\r\nId: 2\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n"+strings.Repeat("x", 1024)+"\r\n")
	requireDefect(t, OtherAnswers, fetchWithin(t, endless, boundsTimeout))
	requireClosed(t, closed)
}

// Guards against a refusal whose body does not arrive and that holds its request.
func TestRestOfARefusalIsNotAwaited(t *testing.T) {
	closed := make(chan struct{})
	server := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		defer close(closed)
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Full\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 100\r\n\r\nx")
		_, _ = conn.Read(make([]byte, 1)) // until the host closes the connection
		return false
	})
	ctx, cancel := context.WithTimeout(t.Context(), boundsTimeout)
	defer cancel()
	response, err := newConnections().Send(ctx, server.request("1"))
	require.NoError(t, err)
	response.Drain()
	require.NoError(t, ctx.Err())
	response.Close()
	requireClosed(t, closed)
}

// Guards against a refusal whose short body is drained and whose connection is then lost.
func TestConnectionOfARefusalIsUsedAgain(t *testing.T) {
	server := newEndpoint(t, func(conn net.Conn, _ *http.Request, number int) bool {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 503 Full\r\nId: %d\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull", number)
		return err == nil
	})
	connections := newConnections()
	for number := range 3 {
		response, err := connections.Send(t.Context(), server.request(fmt.Sprint(number+1)))
		require.NoError(t, err)
		require.True(t, response.Answer.NotRun)
		response.Drain()
		response.Close()
		time.Sleep(drainTimeout.Std()) // a deadline that was left on the connection passes
	}
	require.EqualValues(t, 1, server.dials.Load())
}

// Guards against bytes without end after an answer, on a connection that is kept.
func TestBytesAfterAnAnswerAreNotReadOffWithoutEnd(t *testing.T) {
	endless, closed := newEndless(t, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\nKeep-Alive: timeout=1000000\r\n\r\nbody", "x")
	connections := newConnections()
	body, err := fetch(t, connections, endless.request("1"))
	require.NoError(t, err)
	require.Equal(t, "body", body)
	endpoint := endless.request("1").Endpoint.ID()
	if idle := connections.popIdle(endpoint); idle != nil { // no bytes had arrived with the answer
		require.Eventually(t, idle.isStale, boundsTimeout, time.Millisecond)
		connections.returnIdle(idle)
	}
	require.Nil(t, connections.takeIdle(endpoint, ""))
	requireClosed(t, closed)
}

// Guards against an error that hides that the caller left, or that its time was over.
func TestEndOfTheRequestIsNotTheEndpointsDefect(t *testing.T) {
	closed := make(chan struct{})
	server := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		defer close(closed)
		for _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nX: "); err == nil; _, err = io.WriteString(conn, "x") {
			time.Sleep(10 * time.Millisecond) // far below the bound in bytes
		}
		return false
	})
	ctx, cancel := context.WithTimeout(t.Context(), endlessTime)
	defer cancel()
	_, err := newConnections().Send(ctx, server.request("1"))
	require.Equal(t, bvverdict.EndpointTimeout, bvverdict.From(err).Code())
	require.True(t, errors.Is(context.Cause(ctx), context.DeadlineExceeded))
	requireClosed(t, closed)
}
