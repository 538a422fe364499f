package bvrouter

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvhistory"
	"balsamvalve.example/bvloopback"
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
		listener, err := net.Listen("tcp", bvloopback.Address())
		require.NoError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		go bvstandin.ServeRaw(listener, func(conn *net.TCPConn, _ *http.Request) {
			_, _ = io.WriteString(conn, head+"Connection: close\r\n\r\n"+encoded)
		})
		_, err = fetchConversation(t.Context(), listener.Addr().String(), "turn")
		require.Equal(t, isProper, err == nil, "%q: %v", head, err)
	}
}

// Guards against an answer of another host without end that is kept until the memory is exhausted.
func TestEndlessAnswerOfAHostIsAborted(t *testing.T) {
	listener, err := net.Listen("tcp", bvloopback.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	chunk := strings.Repeat("x", 1<<20)
	go bvstandin.ServeRaw(listener, func(conn *net.TCPConn, _ *http.Request) {
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n\"")
		for sent := 0; err == nil && sent < 200; sent++ { // enough for a test to fail
			_, err = io.WriteString(conn, chunk)
		}
	})
	var answer string
	_, err = fetchJSON(t.Context(), listener.Addr().String(), "/hosts", bvclock.Minute, &answer)
	require.ErrorContains(t, err, "too large")
}
