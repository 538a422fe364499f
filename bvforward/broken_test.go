package bvforward

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvverdict"
)

const (
	// uploadBytes is more than the socket buffers of both sides hold.
	uploadBytes = 32 << 20
	// settleTime is long enough for a packet to arrive and for the other side to act on it.
	settleTime = 50 * time.Millisecond
	// brokenTimeout is only reached by a failing test.
	brokenTimeout = 2 * time.Second
)

// newUpload returns a request whose body an endpoint does not read before it answers.
func newUpload(server *endpoint) *Request {
	request := server.request("1")
	request.Method, request.Body = "POST", []byte(strings.Repeat("x", uploadBytes))
	return request
}

// newAnsweringEndpoint returns an endpoint that answers each request with the same bytes and keeps its
// connections open.
func newAnsweringEndpoint(t *testing.T, answer string) *endpoint {
	return newEndpoint(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		_, err := io.WriteString(conn, answer)
		return err == nil
	})
}

// fetchBroken sends a request that must fail before its time is over, as one that may have run.
func fetchBroken(t *testing.T, server *endpoint) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), brokenTimeout)
	defer cancel()
	response, err := newConnections().Send(ctx, server.request("1"))
	body := []byte(nil)
	if err == nil {
		defer response.Close()
		body, err = io.ReadAll(response.Body)
	}
	require.Error(t, err, "%q", body)
	require.NoError(t, ctx.Err(), "it is not waited for")
	require.Equal(t, bvverdict.MayHaveRun, bvverdict.Of(err))
	requireDefect(t, Malformed, err)
}

// Guards against a part of an answer that passes for all of it: the write gets the reset, and reads just end.
func TestAnswerThatIsResetDuringTheUploadIsNotComplete(t *testing.T) {
	server := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart")
		time.Sleep(settleTime) // until the head is read
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	})
	response, err := newConnections().Send(t.Context(), newUpload(server))
	require.NoError(t, err)
	defer response.Close()
	time.Sleep(3 * settleTime) // until the write has failed
	body, err := io.ReadAll(response.Body)
	require.Error(t, err, "%q", body)
	var answer *AnswerError
	require.ErrorAs(t, err, &answer)
	require.Equal(t, BrokenOff, answer.Defect())
}

// Guards against a reset that only the write, or only the read, of a request finds.
func TestAnswerThatIsResetAtAnyMomentOfTheUploadIsNotComplete(t *testing.T) {
	upload := []byte(strings.Repeat("x", uploadBytes))
	for _, bytesRead := range []int64{0, 64 << 10, 2 << 20} {
		for _, delay := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
			for _, isAborted := range []bool{true, false} { // otherwise it is closed with unread bytes
				server := newEndpoint(t, func(conn net.Conn, request *http.Request, _ int) bool {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart")
					_, _ = io.CopyN(io.Discard, request.Body, bytesRead)
					time.Sleep(delay)
					if isAborted {
						_ = conn.(*net.TCPConn).SetLinger(0)
					}
					return false
				})
				for range 5 {
					request := server.request("1")
					request.Method, request.Body = "POST", upload
					body, err := fetch(t, newConnections(), request)
					require.Error(t, err, "%q, %d, %v, %t", body, bytesRead, delay, isAborted)
				}
			}
		}
	}
}

// Guards against a complete answer that is taken for a part because the endpoint reads the upload after it.
func TestAnswerThatEndsBeforeTheUploadIsReadIsComplete(t *testing.T) {
	server := newEndpoint(t, func(conn net.Conn, request *http.Request, _ int) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole")
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, request.Body)
		return false
	})
	for range 10 {
		response, err := newConnections().Send(t.Context(), newUpload(server))
		require.NoError(t, err)
		time.Sleep(settleTime)
		body, err := io.ReadAll(response.Body)
		response.Close()
		require.NoError(t, err)
		require.Equal(t, "whole", string(body))
	}
}

// Guards against a wait for an upload that is never read, after its answer has ended.
func TestAnswerThatEndsWhileTheUploadWaitsIsComplete(t *testing.T) {
	ended := make(chan struct{})
	server := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole")
		_ = conn.(*net.TCPConn).CloseWrite()
		<-ended
		return false
	})
	defer close(ended)
	ctx, cancel := context.WithTimeout(t.Context(), brokenTimeout)
	defer cancel()
	response, err := newConnections().Send(ctx, newUpload(server))
	require.NoError(t, err)
	defer response.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, "whole", string(body))
}

// Guards against an answer with a length that is rejected because the rest of the upload is refused.
func TestFramedAnswerIsCompleteThoughTheUploadIsReset(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	} {
		server := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ int) bool {
			_, _ = io.WriteString(conn, answer)
			time.Sleep(settleTime)
			_ = conn.(*net.TCPConn).SetLinger(0)
			return false
		})
		response, err := newConnections().Send(t.Context(), newUpload(server))
		require.NoError(t, err)
		time.Sleep(3 * settleTime)
		body, err := io.ReadAll(response.Body)
		response.Close()
		require.NoError(t, err)
		require.Equal(t, "whole", string(body))
	}
}

// Guards against an invalid status that is skipped like an interim one, and whose body is read as the answer.
func TestAnswerWithAnInvalidStatusIsMalformed(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999", "-10", "+20", "2x0"} {
		for _, rest := range []string{
			"Id: 1\r\nContent-Length: 0\r\n\r\n",
			"Id: 1\r\nContent-Length: 49\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nwhole",
		} {
			t.Run(status, func(t *testing.T) {
				fetchBroken(t, newAnsweringEndpoint(t, "HTTP/1.1 "+status+" Trouble\r\n"+rest))
			})
		}
	}
}

// Guards against a field that is not valid: it is passed on, or a length that it has is not read.
func TestAnswerWithAnInvalidFieldIsMalformed(t *testing.T) {
	for _, line := range []string{
		"X Y: 1", "X : 1", " : 1", " X: 1", "\tX: 1", ": 1", "X\x01Y: 1", "X\x00: 1", "X\x7f: 1", "X\t: 1", "\x0bX: 1", "X\xe9: 1", "X(: 1",
		"Content-Length : 5", "Transfer-Encoding : chunked", "no colon", "X: \x01", "X: \x00", "X: 1\r2", "X: 1\x7f",
	} {
		t.Run(line, func(t *testing.T) {
			fetchBroken(t, newAnsweringEndpoint(t, "HTTP/1.1 200 OK\r\nId: 1\r\n"+line+"\r\nContent-Length: 5\r\n\r\nwhole"))
			fetchBroken(t, newAnsweringEndpoint(t, "HTTP/1.1 200 OK\r\n"+line+"\r\nId: 1\r\nContent-Length: 5\r\n\r\nwhole"))
			fetchBroken(t, newAnsweringEndpoint(t, "HTTP/1.1 103 Early Hints\r\nX: 1\r\n"+line+"\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nwhole"))
		})
	}
}

// Guards against a trailer whose names are not valid.
func TestAnswerWithAnInvalidTrailerIsMalformed(t *testing.T) {
	for _, line := range []string{"X Y: 1", "X : 1", "X\x01Y: 1", ": 1", "no colon"} {
		t.Run(line, func(t *testing.T) {
			fetchBroken(t, newAnsweringEndpoint(t, "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n"+line+"\r\n\r\n"))
		})
	}
}

// Guards against a head that leaves open where its body ends.
func TestAnswerWithoutOneFramingIsMalformed(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"HTTP/1.0 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.0 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nwhole!",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nContent-Length: 49\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/2.0 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 200 O\x01K\r\nId: 1\r\nContent-Length: 5\r\n\r\nwhole",
	} {
		server := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ int) bool {
			_, _ = io.WriteString(conn, head)
			return false
		})
		fetchBroken(t, server)
	}
}

// Guards against proper answers that are taken for broken ones.
func TestProperAnswersAreRead(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 200\r\nid:1\r\ncontent-length:5\r\nEmpty:\r\n\r\nwhole",
		"HTTP/1.1 200 \r\nID: 1\r\nX-!#$%&'*+.^_`|~9: \t a \x80\xff b \t\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 200 OK\nId: 1\nContent-Length: 5\n\nwhole",
		"HTTP/1.1 299 Caf\xe9 \t au lait\r\nId: 1\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 599 Own\r\nId: 1\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: Chunked\r\n\r\n2;x=y\r\nwh\r\n3\r\nole\r\n0\r\nX-Sum: 1\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 200 OK\r\nId: 1\r\nX: " + strings.Repeat("x", 3*bufferBytes) + "\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole",
		"HTTP/1.0 200 OK\r\nId: 1\r\n\r\nwhole",
		"HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\nwhole",
	} {
		for _, size := range []int{len(answer), 1} {
			server := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ int) bool {
				for rest := answer; rest != ""; rest = rest[min(size, len(rest)):] {
					_, _ = io.WriteString(conn, rest[:min(size, len(rest))])
				}
				return false
			})
			body, err := fetch(t, newConnections(), server.request("1"))
			require.NoError(t, err, "%.80q", answer)
			require.Equal(t, "whole", body, "%.80q", answer)
		}
	}
}

// Guards against an answer without a length that looks complete after its connection was lost.
func TestAnswerWithoutALengthThatIsResetIsNotComplete(t *testing.T) {
	server := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart")
		time.Sleep(settleTime)
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	})
	_, err := fetch(t, newConnections(), server.request("1"))
	require.Error(t, err)
	require.False(t, errors.Is(err, io.EOF))
}
