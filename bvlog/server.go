package bvlog

import (
	"bytes"
	"log"
	"strings"

	"github.com/sirupsen/logrus"

	"balsamvalve.example/bvexcerpt"
)

// serverLog receives the log lines of net/http. Callers that break a connection
// or a handshake cause most of them, so they are logged at debug level; a
// handler's panic is logged as an error.
type serverLog struct {
	log logrus.FieldLogger
}

// ForServer returns a logger for the ErrorLog of an http.Server.
func ForServer(to logrus.FieldLogger) *log.Logger {
	return log.New(serverLog{to}, "", 0)
}

// CaptureStandard passes the lines of the standard logger on. net/http's client writes what a
// server sent without a request to it.
func CaptureStandard(to logrus.FieldLogger) {
	log.SetFlags(0)
	log.SetOutput(serverLog{to})
}

const (
	// maxLineBytes bounds a line, which may quote what another process sent.
	maxLineBytes = 200
	// maxPanicBytes bounds the line of a panic, which has its stack.
	maxPanicBytes = 8 << 10
)

// Write implements io.Writer.
func (serverLog serverLog) Write(line []byte) (int, error) {
	text := string(bytes.TrimSpace(line))
	if strings.HasPrefix(text, "http: panic") || strings.HasPrefix(text, "http2: panic") {
		serverLog.log.Error(bvexcerpt.Of(text, maxPanicBytes))
	} else {
		serverLog.log.Debug(bvexcerpt.Of(text, maxLineBytes))
	}
	return len(line), nil
}
