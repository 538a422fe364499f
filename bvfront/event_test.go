package bvfront

import (
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"balsamvalve.example/bvverdict"
)

// Guards against events that are lost, duplicated or split at the boundaries of reads.
func TestWholeEventsComeOutHoweverTheStreamIsCut(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		count := rapid.IntRange(0, 8).Draw(rt, "events")
		var stream, data strings.Builder
		for i := range count {
			word := rapid.StringMatching(`[a-z ]{0,12}`).Draw(rt, "word")
			stream.WriteString("id: " + string(rune('a'+i)) + "\ndata: " + word + "\n\n")
			data.WriteString(word + "\n")
		}
		whole := stream.String()
		rest := whole + rapid.SampledFrom([]string{"", "id: z", "id: z\ndata: cut\n"}).Draw(rt, "tail")
		splitter := eventSplitter{collect: true}
		var out strings.Builder
		for len(rest) > 0 {
			size := rapid.IntRange(1, len(rest)).Draw(rt, "read")
			added := splitter.add([]byte(rest[:size]))
			out.Write(added)
			splitter.discard(len(added))
			rest = rest[size:]
		}
		require.Equal(rt, whole, out.String())
		require.Equal(rt, data.String(), string(splitter.data))
		require.Equal(rt, count, splitter.count)
	})
}

func TestCarriageReturnsEndLinesToo(t *testing.T) {
	var splitter eventSplitter
	require.Equal(t, "id: 1\r\ndata: x\r\n\r\n", string(splitter.add([]byte("id: 1\r\ndata: x\r\n\r\nid"))))
	require.Equal(t, "1", splitter.lastID)
}

// Guards against a status that promises more than is known about the request.
func TestStatusPromisesNoMoreThanTheVerdict(t *testing.T) {
	for code := bvverdict.Internal; code <= bvverdict.UnknownRoute; code++ {
		for _, verdict := range []bvverdict.Verdict{bvverdict.MayHaveRun, bvverdict.Ran} {
			given := status(bvverdict.New(verdict, code, "x"))
			require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, given, code)
		}
	}
	require.Equal(t, http.StatusServiceUnavailable, status(bvverdict.Refuse(bvverdict.Overloaded, "x")))
	require.Equal(t, http.StatusPaymentRequired, status(bvverdict.Refuse(bvverdict.BudgetExceeded, "x")))
	require.Equal(t, http.StatusNotFound, status(bvverdict.Refuse(bvverdict.UnknownRoute, "x")))
}

// Guards against an event without end that is scanned from its start at each read.
func TestIncompleteEventIsScannedOnce(t *testing.T) {
	var splitter eventSplitter
	splitter.discard(len(splitter.add([]byte("data: x\n\ndata: y\nda"))))
	require.Equal(t, len("data: y\nda"), splitter.scanned)
	require.Equal(t, len("data: y\n"), splitter.line)
	require.Equal(t, "data: y\nda\n\n", string(splitter.add([]byte("\n\n"))))
}

// BenchmarkEventWithoutEnd reads an event of short lines up to the bound on events.
func BenchmarkEventWithoutEnd(b *testing.B) {
	chunk := bytes.Repeat([]byte("a\n"), streamReadBytes/2)
	for b.Loop() {
		var splitter eventSplitter
		for range maxEventBytes / streamReadBytes {
			require.Empty(b, splitter.add(chunk))
		}
	}
}
