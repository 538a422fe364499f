package bvdaemon

import (
	"bytes"
	"log"

	"github.com/sirupsen/logrus"
)

// serverLog takes the lines that net/http writes by itself. Each handshake
// that fails is one, also those of port scanners, so they are debug lines; a
// handler's panic is an error.
type serverLog struct {
	log logrus.FieldLogger
}

func newServerLog(to logrus.FieldLogger) *log.Logger {
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

// outage tells the beginning and the end of a failure that is met again and
// again: a line a second would hide all others.
type outage struct {
	what    string
	failing bool
}

func (outage *outage) note(log logrus.FieldLogger, err error) {
	switch {
	case err != nil && !outage.failing:
		log.WithError(err).Warn(outage.what + " can't be reached")
	case err == nil && outage.failing:
		log.Info(outage.what + " can be reached again")
	}
	outage.failing = err != nil
}
