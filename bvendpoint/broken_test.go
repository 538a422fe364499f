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
	"balsamvalve.example/bvstandin"
)

// startRaw starts an endpoint that answers with the bytes that a function writes.
func startRaw(t *testing.T, answer func(conn *net.TCPConn)) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go bvstandin.ServeRaw(listener, func(conn *net.TCPConn, _ *http.Request) { answer(conn) })
	return listener.Addr().String()
}

// Guards against a part of an answer that is the result of a call: the write of the request gets the error of the
// connection, and reads end as after a complete answer.
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
		time.Sleep(50 * time.Millisecond)
	})
	client := newTestClient(t)
	for range 10 {
		result, err := client.Invoke(t.Context(), address, bvendpoint.ServiceCall{Path: "/book", Body: []byte(strings.Repeat("x", 16<<20))})
		require.NoError(t, err)
		require.Equal(t, "whole", string(result.Body))
	}
}
