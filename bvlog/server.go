package bvlog

import (
	"bytes"
	"log"

	"github.com/sirupsen/logrus"
)

// serverLog takes the lines that net/http writes by itself. Callers that break
// a connection or a handshake cause most of them, so they are debug lines; a
// handler's panic is an error.
type serverLog struct {
	log logrus.FieldLogger
}

// ForServer returns a logger for an http.Server's ErrorLog.
func ForServer(to logrus.FieldLogger) *log.Logger {
	return log.New(serverLog{to}, "", 0)
}

// Write implements io.Writer.
func (serverLog serverLog) Write(line []byte) (int, error) {
	text := string(bytes.TrimSpace(line))
	if bytes.Contains(line, []byte("panic")) {
		serverLog.log.Error(text)
	} else {
		serverLog.log.Debug(text)
	}
	return len(line), nil
}
