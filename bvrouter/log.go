package bvrouter

import (
	"bytes"
	"log"

	"github.com/sirupsen/logrus"
)

// serverLog takes the lines that net/http writes by itself. Callers that break
// a connection cause most of them, so they are debug lines.
type serverLog struct {
	log logrus.FieldLogger
}

func newServerLog(to logrus.FieldLogger) *log.Logger {
	return log.New(serverLog{to}, "", 0)
}

// Write implements io.Writer.
func (serverLog serverLog) Write(line []byte) (int, error) {
	serverLog.log.Debug(string(bytes.TrimSpace(line)))
	return len(line), nil
}
