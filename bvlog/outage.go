package bvlog

import (
	"github.com/sirupsen/logrus"
)

// Outage logs the start and the end of a recurring failure: a line for each
// failed attempt would bury all others. Set Dependency and Log before use; it
// is not safe for concurrent use.
type Outage struct {
	Dependency string // that can't be reached
	Log        logrus.FieldLogger

	failing bool
}

// Record records the result of the last attempt.
func (outage *Outage) Record(err error) {
	switch {
	case err != nil && !outage.failing:
		outage.Log.WithError(err).Warn(outage.Dependency + ": lost")
	case err == nil && outage.failing:
		outage.Log.Info(outage.Dependency + ": regained")
	}
	outage.failing = err != nil
}
