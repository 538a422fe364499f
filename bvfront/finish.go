package bvfront

import (
	"net/http"

	"github.com/sirupsen/logrus"

	"balsamvalve.example/bvverdict"
)

// finish tells the caller of a failure and logs how the call ended.
func (call *call) finish(err error) {
	call.log(err)
	if err == nil {
		call.front.parts.Counters.Add("answered", 1)
		return
	}
	call.front.parts.Counters.Add("failed", 1)
	if call.begun || call.request.Context().Err() != nil {
		// An answer that ends early must not look complete: closing the
		// connection is the only sign that HTTP has for it.
		panic(http.ErrAbortHandler)
	}
	call.fail(bvverdict.From(err))
}

// fail answers with a status of our own.
func (call *call) fail(err *bvverdict.Error) {
	header := call.writer.Header()
	call.front.parts.Wire.SetID(header, call.said.ID)
	call.front.closing(header)
	if err.RetryAfter() > 0 {
		call.front.parts.Wire.SetRetryAfter(header, err.RetryAfter())
	}
	http.Error(call.writer, err.Reason(), status(err))
}

// status translates an error. A status that promises that the request has not
// run is only ever given for that verdict.
func status(err *bvverdict.Error) int {
	if err.Verdict() != bvverdict.NotRun {
		if err.Code() == bvverdict.EndpointTimeout {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	switch err.Code() {
	case bvverdict.UnknownRoute, bvverdict.UnknownRequest:
		return http.StatusNotFound
	case bvverdict.BudgetExceeded:
		return http.StatusPaymentRequired
	case bvverdict.TooLarge:
		return http.StatusRequestEntityTooLarge
	case bvverdict.BadRequest:
		return http.StatusBadRequest
	}
	return http.StatusServiceUnavailable
}

func (call *call) log(err error) {
	entry := call.front.parts.Log.WithFields(logrus.Fields{
		"request": call.said.ID,
		"version": call.version,
		"took_ms": int64(call.front.parts.Clock.Now().Sub(call.arrived)),
		"sends":   call.sends,
		"runs":    call.runs,
		"at":      call.at,
		"events":  call.stream.count,
	})
	if call.route != nil {
		entry = entry.WithField("route", call.route.Name)
	}
	if call.said.Program != "" {
		entry = entry.WithField("program", call.said.Program)
	}
	if err != nil {
		entry.WithError(err).Warn("request failed")
		return
	}
	entry.Info("request answered")
}
