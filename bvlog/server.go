package bvlog

import (
	"bytes"
	"log"

	"github.com/sirupsen/logrus"
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
