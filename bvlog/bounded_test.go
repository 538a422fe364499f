package bvlog

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
)

// stuckWriter is an output that blocks until it is released, like a pipe whose
// reader has stopped reading.
type stuckWriter struct{ release chan struct{} }

func (writer stuckWriter) Write(line []byte) (int, error) {
	<-writer.release
	return len(line), nil
}

// Guards against requests that block because the reader of the log has stopped: lines
// are dropped instead.
func TestStuckReaderDoesNotBlockWriters(t *testing.T) {
	clock := &bvclock.Manual{}
	stuck := stuckWriter{make(chan struct{})}
	bounded := NewBounded(stuck, clock)
	for range 3 * maxQueuedLines {
		clock.Advance(100)
		_, err := bounded.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	require.Positive(t, bounded.dropped)
	close(stuck.release)
	bounded.Close()
}

// Guards against a log of unbounded volume, and against dropped lines that are not
// reported.
func TestVolumeIsBoundedAndDropsAreReported(t *testing.T) {
	clock := &bvclock.Manual{}
	clock.Advance(bvclock.Second)
	var out bytes.Buffer
	bounded := NewBounded(&out, clock)
	for range maxLinesPerSecond + 7 {
		_, _ = bounded.Write([]byte("line\n"))
	}
	clock.Advance(bvclock.Second)
	_, _ = bounded.Write([]byte("last\n"))
	bounded.Close()
	require.Equal(t, maxLinesPerSecond, strings.Count(out.String(), "line\n"))
	require.Contains(t, out.String(), `"lines":7`)
	require.Contains(t, out.String(), "last\n")
}

func TestLinesAreJSON(t *testing.T) {
	var out bytes.Buffer
	bounded := NewBounded(&out, bvclock.Boot())
	New(bounded).WithField("request", "r1").Info("answered")
	bounded.Close()
	require.Contains(t, out.String(), `"request":"r1"`)
}

func TestWriteAfterCloseIsIgnored(t *testing.T) {
	bounded := NewBounded(&bytes.Buffer{}, bvclock.Boot())
	bounded.Close()
	_, err := bounded.Write([]byte("late\n"))
	require.NoError(t, err)
}
