package bvendpoint_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvendpoint"
	"balsamvalve.example/bvloopback"
	"balsamvalve.example/bvstandin"
	"balsamvalve.example/bvverdict"
)

// startRaw starts an endpoint that answers with the bytes that a function writes.
func startRaw(t *testing.T, answer func(conn *net.TCPConn)) (address string) {
	listener, err := net.Listen("tcp", bvloopback.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go bvstandin.ServeRaw(listener, func(conn *net.TCPConn, _ *http.Request) { answer(conn) })
	return listener.Addr().String()
}

// requireBroken calls an endpoint that answers with the given bytes, and fails if the call gets an answer, or an
// untrue refusal.
func requireBroken(t *testing.T, answer string) {
	t.Helper()
	address := startRaw(t, func(conn *net.TCPConn) {
		_, _ = io.WriteString(conn, answer)
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, conn) // until the client closes the connection
	})
	client := newTestClient(t)
	result, err := client.Invoke(t.Context(), address, bvendpoint.ServiceCall{Path: "/book", Body: []byte("one board")})
	require.Error(t, err, "%+v", result)
	require.Equal(t, bvverdict.MayHaveRun, bvverdict.Of(err))
	require.Error(t, client.Release(t.Context(), address, "salt", "prefix"))
}

// Guards against a status that is no status and becomes the result of a call.
func TestAnswerWithAnInvalidStatusIsNoResult(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999", "101"} {
		requireBroken(t, "HTTP/1.1 "+status+" Trouble\r\nContent-Length: 0\r\n\r\n")
	}
}

// Guards against a field whose name is not valid: it is passed on, or the length that it has is not read.
func TestAnswerWithAnInvalidFieldNameIsNoResult(t *testing.T) {
	for _, line := range []string{"X Y: 1", "X : 1", " X: 1", "X\x01Y: 1", "Content-Length : 5", "Transfer-Encoding : chunked"} {
		requireBroken(t, "HTTP/1.1 200 OK\r\nA: 1\r\n"+line+"\r\n\r\n5\r\nwhole\r\n0\r\n\r\n")
		requireBroken(t, "HTTP/1.1 103 Early Hints\r\nA: 1\r\n"+line+"\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
	}
}

// Guards against a head that leaves open where its body ends.
func TestAnswerWithoutOneFramingIsNoResult(t *testing.T) {
	requireBroken(t, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n")
	requireBroken(t, "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n")
	requireBroken(t, "HTTP/1.1 103 Early Hints\r\nContent-Length: 40\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
}

// Guards against a trailer whose names are not valid.
func TestAnswerWithAnInvalidTrailerIsNoResult(t *testing.T) {
	address := startRaw(t, func(conn *net.TCPConn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX Y: 1\r\n\r\n")
	})
	_, err := newTestClient(t).Invoke(t.Context(), address, bvendpoint.ServiceCall{Path: "/book"})
	require.Error(t, err)
}

// Guards against the verdict of a refusal that breaks off: the call may be run again, though it has run.
func TestRefusalThatBreaksOffPromisesNothing(t *testing.T) {
	const refusal = `{"error":{"message":"full","verdict":"not run"}}`
	address := startRaw(t, func(conn *net.TCPConn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Full\r\nContent-Length: 100\r\n\r\n"+refusal)
	})
	_, err := newTestClient(t).Invoke(t.Context(), address, bvendpoint.ServiceCall{Path: "/book"})
	require.Error(t, err)
	require.Equal(t, bvverdict.MayHaveRun, bvverdict.Of(err))
}

// Guards against a part of an answer as a result: the write of the request gets the reset, and reads just end.
func TestAnswerThatIsResetDuringTheUploadIsNoResult(t *testing.T) {
	address := startRaw(t, func(conn *net.TCPConn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
		time.Sleep(time.Millisecond)
		_ = conn.SetLinger(0)
	})
	client := newTestClient(t)
	client.CheckTimeout = 5 * bvclock.Millisecond
	body := []byte(strings.Repeat("x", 16<<20))
	for range 40 {
		result, err := client.Invoke(t.Context(), address, bvendpoint.ServiceCall{Path: "/book", Body: body})
		require.Error(t, err, "%q", result.Body)
	}
}

// Guards against an answer without a length that is lost because its endpoint does not read the upload.
func TestAnswerWithoutALengthBeforeTheUploadIsReadIsTheResult(t *testing.T) {
	address := startRaw(t, func(conn *net.TCPConn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, conn) // until the client closes the connection
	})
	client := newTestClient(t)
	for range 10 {
		result, err := client.Invoke(t.Context(), address, bvendpoint.ServiceCall{Path: "/book", Body: []byte(strings.Repeat("x", 16<<20))})
		require.NoError(t, err)
		require.Equal(t, "whole", string(result.Body))
	}
}
