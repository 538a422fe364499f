package bvlog

import (
	"github.com/sirupsen/logrus"
)

// Outage tells the beginning and the end of a failure that is met again and
// again: a line for each time would hide all others. Set What and Log before
// use; it is not safe for concurrent use.
type Outage struct {
	What string // can't be reached
	Log  logrus.FieldLogger

	failing bool
}

// Note takes in how the last try ended.
func (outage *Outage) Note(err error) {
	switch {
	case err != nil && !outage.failing:
		outage.Log.WithError(err).Warn(outage.What + ": lost")
	case err == nil && outage.failing:
		outage.Log.Info(outage.What + ": regained")
	}
	outage.failing = err != nil
}
