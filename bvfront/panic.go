package bvfront

import (
	"balsamvalve.example/bvdispatch"
	"balsamvalve.example/bvlog"
	"balsamvalve.example/bvverdict"
)

// serveRecovered is serve, with a panic as an error: net/http would close the caller's
// connection without an answer.
func (call *call) serveRecovered() (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = call.panicError(cause)
		}
	}()
	return call.serve()
}

// panicError ends a call that panicked, and returns its error: a refusal only if the request
// was sent to no endpoint.
func (call *call) panicError(cause any) error {
	call.front.parts.Counters.Add("panics", 1)
	call.front.parts.Log.WithField("request", call.metadata.ID).WithField("panic", cause).
		WithField("stack", bvlog.Stack()).Error("panic in a request")
	if call.chosen {
		call.reportOutcome(bvdispatch.Withdrawn, false) // otherwise the endpoint keeps a call that never ends
	}
	if call.sends == 0 {
		return bvverdict.Refuse(bvverdict.Internal, "the request failed in this host").WithRetryAfter(shortRetry)
	}
	return bvverdict.New(bvverdict.MayHaveRun, bvverdict.Internal, "the request failed in this host")
}

// recoverPanic logs a panic in a goroutine that a call has started, and must be deferred by
// it. Without it, the panic would end the process with all its requests.
func (front *Front) recoverPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	front.parts.Counters.Add("panics", 1)
	front.parts.Log.WithField("panic", cause).WithField("stack", bvlog.Stack()).Error("panic after a request")
}
