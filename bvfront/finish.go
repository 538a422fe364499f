package bvfront

import (
	"fmt"
	"maps"
	"net/http"

	"github.com/sirupsen/logrus"

	"balsamvalve.example/bvsuspect"
	"balsamvalve.example/bvverdict"
)

// finish writes an error to the caller, if any, and logs the outcome of the call.
func (call *call) finish(err error) {
	call.log(err)
	call.countStream()
	if err == nil {
		call.front.parts.Counters.Add("answered", 1)
		call.front.parts.Counters.Observe("request_latency", call.front.parts.Clock.Now().Sub(call.arrived))
		return
	}
	call.front.parts.Counters.Add("failed", 1)
	call.front.parts.Counters.CountRefusal(call.workspaceName(), err)
	if call.headWritten || call.hasCallerLeft() {
		// A truncated answer must not look complete: HTTP can signal it only by
		// closing the connection. In HTTP/1.0 that ends a complete answer as well.
		if !call.request.ProtoAtLeast(1, 1) {
			resetOnClose(call.request.Context())
		}
		panic(http.ErrAbortHandler)
	}
	call.writeError(bvverdict.From(err))
}

// countStream counts new streams and resumed ones, and those of each that brought
// their caller an event.
func (call *call) countStream() {
	if !call.isStream() {
		return
	}
	name := "streams_" + call.streamStart()
	call.front.parts.Counters.Add(name, 1)
	if call.stream.count > 0 {
		call.front.parts.Counters.Add(name+"_with_events", 1)
	}
}

// hasCallerLeft reports whether the caller has closed its connection. net/http also
// cancels the context of a request whose body does not arrive in time.
func (call *call) hasCallerLeft() bool {
	return call.request.Context().Err() != nil && !call.bodyTimedOut
}

// writeError answers with an error status from this host.
func (call *call) writeError(err *bvverdict.Error) {
	header := call.writer.Header()
	call.front.parts.Wire.SetID(header, call.metadata.ID)
	call.front.addCloseHeader(header)
	if err.Code() == bvverdict.Unauthorized {
		header.Set("WWW-Authenticate", "Bearer") // required by RFC 9110, section 15.5.2
	}
	if err.RetryAfter() > 0 {
		call.front.parts.Wire.SetRetryAfter(header, err.RetryAfter())
	}
	http.Error(call.writer, err.Reason(), status(err))
}

// status returns the HTTP status of an error. Only errors with the verdict NotRun get a
// status that promises that the request has not run.
func status(err *bvverdict.Error) int {
	if err.Verdict() != bvverdict.NotRun {
		if err.Code() == bvverdict.EndpointTimeout {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	switch err.Code() {
	case bvverdict.Unauthorized:
		return http.StatusUnauthorized
	case bvverdict.LimitExceeded:
		return http.StatusTooManyRequests
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

// log writes the log line of a call: the request, the version and the endpoint that
// served it, and the outcome.
func (call *call) log(err error) {
	now := call.front.parts.Clock.Now()
	fields := logrus.Fields{
		"request": call.metadata.ID,
		"version": call.version,
		"took_ms": int64(now.Sub(call.arrived)),
		"sends":   call.sends,
		"runs":    call.runs,
	}
	if call.route != nil {
		fields["route"] = call.route.Name
	}
	if call.workspace != nil {
		fields["workspace"] = call.workspace.Name
	}
	if call.metadata.Program != "" {
		fields["program"] = call.scopedID(call.metadata.Program)
	}
	if call.sends > 0 {
		fields["endpoint"], fields["endpoint_version"] = call.endpoint.Name, call.endpoint.Version
		fields["sent_ms"] = int64(call.sentAt.Sub(call.arrived))
		fields["list_ms"] = int64(call.listAge)
		fields["load"] = fmt.Sprintf("%d+%d/%d", call.load.Running, call.load.Waiting, call.load.Slots)
		fields["pace"] = call.load.Pace
	}
	if call.endpoint.IsRetained() {
		fields["retained"] = true
	}
	if call.service != nil && call.service.Engine != nil && call.sends > 0 {
		fields["prompt"], fields["cached"] = call.placement.PromptTokens, call.placement.CachedTokens
		fields["load_thought"] = int(call.placement.Load)
		fields["asked"] = len(call.placement.PeerCalls)
	}
	if waited := call.placement.Waited(); waited > 0 {
		fields["slot_wait_ms"] = int64(waited)
	}
	if call.stream.count > 0 {
		fields["first_ms"] = int64(call.firstEventAt.Sub(call.arrived))
		fields["events"] = call.stream.count
		if call.persistDuration > 0 {
			fields["kept_ms"] = int64(call.persistDuration)
		}
	}
	if call.isStream() {
		fields["stream"] = call.streamStart()
	}
	if call.resumesStream() {
		maps.Copy(fields, call.originFields())
	}
	if basis := call.quotaBasis; basis != nil {
		fields["cap_level"], fields["cap_required"], fields["cap_share"] = basis.Level, basis.Required, basis.GroupShare
	}
	if call.rejection != nil {
		maps.Copy(fields, call.rejectionFields())
	}
	if err != nil && call.content.Request != (bvsuspect.Fingerprint{}) {
		fields["content"] = bvsuspect.FormatHash(call.content.Request.Exact)
	}
	entry := call.front.parts.Log.WithFields(fields)
	if err != nil {
		entry.WithError(err).Warn("request failed")
		return
	}
	entry.Info("request answered")
}
