package bvtrace

import (
	"context"

	"github.com/sirupsen/logrus"

	"balsamvalve.example/bvverdict"
)

// LogHop logs the outcome of a hop of a request at debug level, with the trace
// id in ctx, which is the same on all hosts that the request passes. The fields
// are alternating names and values.
//
// Of an error it logs only verdict and code: the reason and the cause can hold a
// caller's text, and operators of other members read this log.
func LogHop(ctx context.Context, log logrus.FieldLogger, message string, err error, fields ...string) {
	if leveled, ok := log.(levelChecker); ok && !leveled.IsLevelEnabled(logrus.DebugLevel) {
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

// levelChecker is a logger that reports whether a level is enabled.
type levelChecker interface {
	IsLevelEnabled(level logrus.Level) bool
}
