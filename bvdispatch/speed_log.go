package bvdispatch

import "github.com/sirupsen/logrus"

// SetLog sets the log of decisions that an operator should know of. It must be called before
// the first call is dispatched.
func (dispatcher *Dispatcher) SetLog(log logrus.FieldLogger) { dispatcher.log = log }

func (dispatcher *Dispatcher) logSpeedConflict(service string, conflict SpeedConflict) {
	if dispatcher.log == nil {
		return
	}
	dispatcher.log.WithFields(logrus.Fields{
		"service": service, "endpoint": conflict.Endpoint, "pace": conflict.Pace, "measured_percent": int(usualPercent * conflict.Measured),
		"responses": conflict.Responses, "age_ms": int64(conflict.Age),
	}).Warn("the responses of an endpoint contradict its reported pace: the measured one is used")
}

// SpeedConflicts returns the number of endpoints whose responses contradict their reports.
func (dispatcher *Dispatcher) SpeedConflicts() (count int) {
	now := dispatcher.clock.Now()
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	for _, pool := range dispatcher.pools {
		count += pool.SpeedConflicts(now)
	}
	return count
}
