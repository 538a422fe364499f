// Package bvlog writes structured log lines without blocking the code that logs:
// lines wait in a bounded queue, and lines above its capacity or above the rate
// limit are dropped and counted.
//
// # Usage
//
//	output := bvlog.NewBounded(os.Stdout, bvclock.Boot())
//	log := bvlog.New(output)
//	defer output.Close()
package bvlog

import (
	"fmt"
	"io"
	"sync"

	"github.com/sirupsen/logrus"

	"balsamvalve.example/bvclock"
)

const (
	// maxQueuedLines is the capacity of the queue for a slow reader: some
	// seconds of the output of a busy host.
	maxQueuedLines = 2048
	// maxLinesPerSecond bounds the volume, well above the rate of callers' requests.
	maxLinesPerSecond = 400
)

// timeFormat is the format of RFC 3339 with milliseconds, so that decisions within
// one second can be distinguished.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Bounded is a writer that never blocks. Make one with NewBounded.
type Bounded struct {
	clock bvclock.Clock
	lines chan []byte
	done  chan struct{}

	mutex   sync.Mutex
	closed  bool
	second  bvclock.Time // to which count applies
	count   int
	dropped int64
}

// NewBounded returns a writer that writes to output from its own goroutine.
func NewBounded(output io.Writer, clock bvclock.Clock) *Bounded {
	bounded := &Bounded{clock: clock, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go bounded.drain(output)
	return bounded
}

func (bounded *Bounded) drain(output io.Writer) {
	defer close(bounded.done)
	for line := range bounded.lines {
		_, _ = output.Write(line) // there is no other place to report the error
	}
}

// Write queues a line, or drops it. It never fails.
func (bounded *Bounded) Write(line []byte) (int, error) {
	bounded.mutex.Lock()
	defer bounded.mutex.Unlock()
	if bounded.closed {
		return len(line), nil
	}
	bounded.startSecond()
	bounded.count++
	if bounded.count > maxLinesPerSecond {
		bounded.dropped++
		return len(line), nil
	}
	select {
	case bounded.lines <- append([]byte(nil), line...):
	default:
		bounded.dropped++
	}
	return len(line), nil
}

// startSecond resets the count when a new second has begun, and reports the lines
// dropped before it.
func (bounded *Bounded) startSecond() {
	second := bounded.clock.Now() / bvclock.Time(bvclock.Second)
	if second == bounded.second {
		return
	}
	bounded.second, bounded.count = second, 0
	if bounded.dropped == 0 {
		return
	}
	line := fmt.Appendf(nil, `{"level":"warning","msg":"log lines dropped","lines":%d}`+"\n", bounded.dropped)
	select {
	case bounded.lines <- line:
		bounded.dropped = 0
	default:
	}
}

// Close writes the queued lines and stops the writer.
func (bounded *Bounded) Close() {
	bounded.mutex.Lock()
	if !bounded.closed {
		bounded.closed = true
		close(bounded.lines)
	}
	bounded.mutex.Unlock()
	<-bounded.done
}

// New returns a logger that writes JSON lines.
func New(output io.Writer) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(output)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timeFormat})
	return log
}
