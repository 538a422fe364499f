package bvfront

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvforward"
)

func callWithMemory(bytes int64) *call {
	return &call{front: New(Parts{Memory: bytes})}
}

// Guards against answers to many slow callers that together use too much memory.
func TestAnswerIsPassedOnInPartsWhereThereIsNoMemory(t *testing.T) {
	call := callWithMemory(10_000)
	response := &bvforward.Response{Body: bytes.NewReader(make([]byte, 30_000))}
	first, complete, err := call.readBuffered(response)
	require.NoError(t, err)
	require.False(t, complete)
	require.LessOrEqual(t, len(first), 10_000)
	rest, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Len(t, rest, 30_000-len(first), "no byte is lost")
	require.LessOrEqual(t, call.front.memory.used.Load(), int64(10_000))
}

// Guards against an endless event, which would exhaust the host's memory.
func TestEndlessEventIsAborted(t *testing.T) {
	call := callWithMemory(0)
	call.request, call.ctx = httptest.NewRequest(http.MethodPost, "/", nil), t.Context()
	chunk := bytes.Repeat([]byte("x"), streamReadBytes)
	var err error
	for range 2 * maxEventBytes / streamReadBytes {
		require.Empty(t, call.stream.add(chunk))
		if err = call.acquireStreamMemory(); err != nil {
			break
		}
	}
	require.ErrorContains(t, err, "too large")
}

// Guards against memory that is not released when a call ends.
func TestMemoryIsGivenBackWhenTheCallEnds(t *testing.T) {
	call := callWithMemory(callBytes)
	call.cancel = func() {}
	require.True(t, call.acquireMemory(callBytes))
	require.False(t, call.acquireMemory(1))
	call.close()
	require.Zero(t, call.front.memory.used.Load())
}
