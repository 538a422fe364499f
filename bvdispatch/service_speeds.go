package bvdispatch

import (
	"math"

	"balsamvalve.example/bvclock"
)

// serviceSpeeds holds the values of a whole service that speeds refer to.
type serviceSpeeds struct {
	reporters int     // endpoints that have reported a pace; 0: all factors are 1
	usual     float64 // milliseconds per event or answer at a factor of 1; 0: unknown
	median    float64 // of the factors of the endpoints of which something is known; 0: unknown
	capacity  float64 // of the endpoints, as a multiple of what it would be if all factors were 1; 0: unknown
	// reportError and meanError are the mean errors, as logarithms, by which the pace of a
	// response differs from the one that was reported with it, and from the mean of the
	// endpoint's earlier responses.
	reportError, meanError average
	facts                  int // reports and responses that were recorded
	loggedAt               bvclock.Time
	hasLogged              bool
}

func (service *serviceSpeeds) medianOrUsual() float64 {
	if service.median == 0 {
		return 1
	}
	return service.median
}

// reliability returns the weight of a new report beside the mean of the endpoint's responses,
// as they predict the pace of a response: 1 where reports predict it better by far. Where the
// pace changes several times during a response, the mean does.
func (service *serviceSpeeds) reliability() float64 {
	report, mean := service.reportError.valueOr(0), service.meanError.valueOr(0)
	if report == 0 {
		return 1
	}
	return mean * mean / (mean*mean + report*report)
}

// recordErrors compares a response's pace with both predictions.
func (service *serviceSpeeds) recordErrors(now bvclock.Time, speed *speed, measured float64, pace int) {
	if pace <= 0 || service.usual == 0 || speed.measured.weight(now, measurementLifetime) == 0 {
		return
	}
	service.reportError.add(math.Abs(math.Log(measured / (service.usual * clampSpeed(factorOf(pace))))))
	service.meanError.add(math.Abs(math.Log(measured / speed.measured.value)))
}
