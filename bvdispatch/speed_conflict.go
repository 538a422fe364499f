package bvdispatch

import (
	"github.com/sirupsen/logrus"

	"balsamvalve.example/bvclock"
)

// SpeedConflict is a reported pace that an endpoint's responses contradict.
type SpeedConflict struct {
	Endpoint  string  // ID
	Pace      int     // reported, in percent
	Measured  float64 // speed factor of the responses
	Responses int     // that contradict the reports
	Age       bvclock.Duration
}

// takeSpeedConflict returns the conflict of an endpoint's report with its responses, if any,
// at most once in conflictLogInterval.
func (pool *Pool) takeSpeedConflict(now bvclock.Time, id string) (conflict SpeedConflict, found bool) {
	row := pool.byID(id)
	if row == nil || pool.speeds.hasLogged && now.Sub(pool.speeds.loggedAt) < conflictLogInterval {
		return SpeedConflict{}, false
	}
	if pool.speeds.reporters == 0 || !row.speed.isContradicted(now, &pool.speeds) {
		return SpeedConflict{}, false
	}
	pool.speeds.loggedAt, pool.speeds.hasLogged = now, true
	return SpeedConflict{
		Endpoint: id, Pace: row.speed.pace, Measured: row.speed.estimate(now, &pool.speeds),
		Responses: int(row.speed.evidence.responses), Age: now.Sub(row.speed.evidence.updatedAt),
	}, true
}

// SpeedConflicts returns the number of endpoints whose responses contradict their reports.
func (pool *Pool) SpeedConflicts(now bvclock.Time) (count int) {
	if pool.speeds.reporters == 0 {
		return 0
	}
	for _, row := range pool.rows {
		if row.speed.isContradicted(now, &pool.speeds) {
			count++
		}
	}
	return count
}

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
