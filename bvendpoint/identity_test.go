package bvendpoint_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvendpoint"
	"balsamvalve.example/bvloopback"
)

// repeatingEndpoint sends each answer a second time when the next request has arrived on its
// connection, before the answer to that one.
type repeatingEndpoint struct {
	listener net.Listener
	answer   func(number int64) string
	requests atomic.Int64
}

func newRepeatingEndpoint(t testing.TB, answer func(number int64) string) *repeatingEndpoint {
	listener, err := net.Listen("tcp", bvloopback.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	endpoint := &repeatingEndpoint{listener: listener, answer: answer}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go endpoint.serve(conn)
		}
	}()
	return endpoint
}

func (endpoint *repeatingEndpoint) address() string { return endpoint.listener.Addr().String() }

func (endpoint *repeatingEndpoint) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	requests := bufio.NewReader(conn)
	previous := ""
	for {
		request, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		answer := endpoint.answer(endpoint.requests.Add(1))
		if _, err := io.WriteString(conn, previous+answer); err != nil {
			return
		}
		previous = answer
	}
}

// withLength returns an answer with a length.
func withLength(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d Status\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// Guards against the late answer to another caller's call.
func TestCallGetsNoAnswerOfAnotherCall(t *testing.T) {
	service := newRepeatingEndpoint(t, func(number int64) string { return withLength(200, fmt.Sprint("answer ", number)) })
	client := newTestClient(t)
	for number := range 3 {
		result, err := client.Invoke(t.Context(), service.address(), bvendpoint.ServiceCall{Path: "/look"})
		require.NoError(t, err)
		require.Equal(t, fmt.Sprint("answer ", number+1), string(result.Body))
	}
}

// Guards against the late text of another caller's call, and a late refusal that has a call run twice.
func TestChatGetsNoAnswerOfAnotherCall(t *testing.T) {
	engine := newRepeatingEndpoint(t, func(number int64) string {
		if number == 1 {
			return withLength(503, `{"error":{"message":"full","verdict":"not run"}}`)
		}
		return withLength(200, fmt.Sprintf("data: {\"choices\":[{\"delta\":{\"content\":\"text %d\"}}]}\n\ndata: [DONE]\n\n", number))
	})
	client := newTestClient(t)
	_, err := client.Chat(t.Context(), engine.address(), bvendpoint.ChatCall{Model: "m", Messages: []byte("[]")}, nil)
	require.Error(t, err)
	for number := 2; number <= 3; number++ {
		result, err := client.Chat(t.Context(), engine.address(), bvendpoint.ChatCall{Model: "m", Messages: []byte("[]")}, nil)
		require.NoError(t, err)
		require.Equal(t, fmt.Sprint("text ", number), result.Text)
	}
}

func BenchmarkInvoke(b *testing.B) {
	answer := withLength(200, "answer")
	listener, err := net.Listen("tcp", bvloopback.Address())
	require.NoError(b, err)
	defer func() { _ = listener.Close() }()
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(writer, answer)
		})) // ends with the listener
	}()
	client := &bvendpoint.Client{}
	defer client.Close()
	for b.Loop() {
		_, err := client.Invoke(b.Context(), listener.Addr().String(), bvendpoint.ServiceCall{Path: "/look"})
		require.NoError(b, err)
	}
}
