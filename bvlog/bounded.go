// Package bvlog writes structured log lines without ever holding up the work
// that they tell of: lines wait in a bounded queue, and what is over the bound
// in number or rate is dropped and counted.
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
	// queuedLines is how many lines may wait for a reader that is slow: some
	// seconds of a busy host's.
	queuedLines = 2048
	// linesPerSecond bounds the volume, well above what callers' requests make.
	linesPerSecond = 400
)

// timeFormat is that of RFC 3339 with milliseconds, in which decisions are told
// apart.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Bounded is a writer that never blocks. Make one with NewBounded.
type Bounded struct {
	clock bvclock.Clock
	lines chan []byte
	done  chan struct{}

	mutex   sync.Mutex
	closed  bool
	second  bvclock.Time // that count is of
	count   int
	dropped int64
}

// NewBounded returns a writer that writes to output from a goroutine of its
// own.
func NewBounded(output io.Writer, clock bvclock.Clock) *Bounded {
	bounded := &Bounded{clock: clock, lines: make(chan []byte, queuedLines), done: make(chan struct{})}
	go bounded.drain(output)
	return bounded
}

func (bounded *Bounded) drain(output io.Writer) {
	defer close(bounded.done)
	for line := range bounded.lines {
		_, _ = output.Write(line) // there is no other place to tell of it
	}
}

// Write queues a line, or drops it. It never fails.
func (bounded *Bounded) Write(line []byte) (int, error) {
	bounded.mutex.Lock()
	defer bounded.mutex.Unlock()
	if bounded.closed {
		return len(line), nil
	}
	bounded.turnSecond()
	bounded.count++
	if bounded.count > linesPerSecond {
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

// turnSecond starts a new second, and tells what the one before dropped.
func (bounded *Bounded) turnSecond() {
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

// Close writes what is queued and ends.
func (bounded *Bounded) Close() {
	bounded.mutex.Lock()
	if !bounded.closed {
		bounded.closed = true
		close(bounded.lines)
	}
	bounded.mutex.Unlock()
	<-bounded.done
}

// New returns a logger of JSON lines.
func New(output io.Writer) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(output)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timeFormat})
	return log
}
