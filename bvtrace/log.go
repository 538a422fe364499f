package bvtrace

import (
	"context"

	"github.com/sirupsen/logrus"

	"balsamvalve.example/bvverdict"
)

// LogHop writes a line at debug level on how a hop of a request ended, with
// the id of the trace in ctx, which is the same on all hosts that the request
// passes. The fields are names and values in turn.
//
// Of an error it keeps verdict and code: the reason and the cause can hold a
// caller's text, and other members' operators read this log.
func LogHop(ctx context.Context, log logrus.FieldLogger, message string, err error, fields ...string) {
	if leveled, ok := log.(leveled); ok && !leveled.IsLevelEnabled(logrus.DebugLevel) {
		return
	}
	line := make(logrus.Fields, 3+len(fields)/2)
	line["trace"] = ID(ctx)
	for i := 0; i+1 < len(fields); i += 2 {
		line[fields[i]] = fields[i+1]
	}
	if err != nil {
		verdict := bvverdict.From(err)
		line["verdict"] = verdict.Verdict().String()
		line["code"] = verdict.Code().String()
	}
	log.WithFields(line).Debug(message)
}

// leveled is a log that tells whether a line would be written.
type leveled interface {
	IsLevelEnabled(level logrus.Level) bool
}
