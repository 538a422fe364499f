package bvrouter

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvhistory"
	"balsamvalve.example/bvstandin"
)

// Guards against a conversation that is taken from an answer other than a success of another host.
func TestConversationIsReadOfProperAnswersOnly(t *testing.T) {
	encoded := string(bvhistory.Chain{}.Encode())
	for head, isProper := range map[string]bool{
		"HTTP/1.1 200 OK\r\n":                  true,
		"HTTP/1.1 000 Trouble\r\n":             false,
		"HTTP/1.1 500 Trouble\r\n":             false,
		"HTTP/1.1 200 OK\r\nX Y: 1\r\n":        false,
		"HTTP/1.1 200 OK\r\nA: 1\r\n B: 1\r\n": false,
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		go bvstandin.ServeRaw(listener, func(conn *net.TCPConn, _ *http.Request) {
			_, _ = io.WriteString(conn, head+"Connection: close\r\n\r\n"+encoded)
		})
		_, err = fetchConversation(t.Context(), listener.Addr().String(), "turn")
		require.Equal(t, isProper, err == nil, "%q: %v", head, err)
	}
}
