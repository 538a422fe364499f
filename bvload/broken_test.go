package bvload

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvloopback"
	"balsamvalve.example/bvstandin"
)

// Guards against a load that counts a broken answer as an answer of the system.
func TestBrokenAnswerIsNoAnswer(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 000 Trouble\r\n", "HTTP/1.1 600 Trouble\r\n", "HTTP/1.1 304 Not Modified\r\n", "HTTP/1.1 200 OK\r\nX Y: 1\r\n", "HTTP/1.1 200 OK\r\nA: 1\r\n B: 1\r\n"} {
		listener, err := net.Listen("tcp", bvloopback.Address())
		require.NoError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		go bvstandin.ServeRaw(listener, func(conn *net.TCPConn, _ *http.Request) {
			_, _ = io.WriteString(conn, head+"Content-Length: 2\r\n\r\n{}")
		})
		load := newLoad(Config{Addresses: []string{listener.Addr().String()}})
		_, failed := load.attempt(t.Context(), apiRequest{method: "POST", path: "/"}, time.Now())
		require.NotNil(t, failed, head)
		require.False(t, failed.typed, head)
		require.Equal(t, codeCut, failed.code, head)
	}
}
