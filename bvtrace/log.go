package bvtrace

import (
	"context"

	"github.com/sirupsen/logrus"

	"balsamvalve.example/bvverdict"
)

// Log returns the log with the id of the trace in ctx, which is the same on
// all hosts that a request passes.
func Log(ctx context.Context, log logrus.FieldLogger) logrus.FieldLogger {
	return log.WithField("trace", ID(ctx))
}

// LogEnd writes a line at debug level on how a hop ended. Of an error it keeps
// verdict and code: the reason and the cause can hold a caller's text, and
// other members' operators read this log.
func LogEnd(log logrus.FieldLogger, message string, err error) {
	if err != nil {
		verdict := bvverdict.From(err)
		log = log.WithField("verdict", verdict.Verdict().String()).WithField("code", verdict.Code().String())
	}
	log.Debug(message)
}
