package bvplatform_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvloopback"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvstandin"
)

// Guards against a write that counts as carried out, or a read that counts as answered, because of a broken answer.
func TestBrokenAnswerOfThePlatformIsNone(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 600 Trouble\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nA: 1\r\n X: 1\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 103 Early Hints\r\nContent-Length: 2\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
	} {
		listener, err := net.Listen("tcp", bvloopback.Address())
		require.NoError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		go bvstandin.ServeRaw(listener, func(conn *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(conn, answer) })
		client := &bvplatform.Client{Address: listener.Addr().String()}
		require.ErrorIs(t, client.PutObject(t.Context(), "name", []byte("content")), bvplatform.ErrUnknown, "%q", answer)
		_, err = client.Commit(t.Context(), write("a1", "a", 0))
		require.ErrorIs(t, err, bvplatform.ErrUnknown, "%q", answer)
		_, err = client.Hosts(t.Context())
		require.ErrorIs(t, err, bvplatform.ErrUnavailable, "%q", answer)
	}
}
