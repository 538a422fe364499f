package bvfront

import (
	"errors"
	"net/http"
	"strings"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvdispatch"
	"balsamvalve.example/bvforward"
	"balsamvalve.example/bvmechanism"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvroute"
	"balsamvalve.example/bvsuspect"
	"balsamvalve.example/bvverdict"
)

// minSendTime is the minimum remaining time for a send: a round trip to an endpoint
// takes some milliseconds.
const minSendTime = 5 * bvclock.Millisecond

// forward sends the request to one endpoint after the other, as long as it can't have
// run, or may run again.
func (call *call) forward() error {
	for {
		if call.remaining() < minSendTime {
			return call.deadlineError()
		}
		if err := call.admitSuspect(); err != nil {
			return err
		}
		call.prepareStart()
		endpoint, found := call.front.parts.Dispatcher.Choose(call.service.Name, &call.placement)
		if !found && call.awaitSlot() {
			continue
		}
		if !found {
			return call.noEndpointError()
		}
		call.chosen, call.endpoint, call.sentAt = true, endpoint, call.front.parts.Clock.Now()
		call.recordStart(endpoint)
		err := call.sendOnce(endpoint)
		if err == nil || call.headWritten {
			return err
		}
		if !call.mayResend(err) {
			return call.withVerdictOfAllSends(err)
		}
		call.awaitCheck()
		call.front.parts.Counters.Add("sends_again", 1)
	}
}

// withVerdictOfAllSends returns the error of the last send with the verdict of all sends:
// a request that did not run at the last endpoint may have run at an earlier one.
func (call *call) withVerdictOfAllSends(err error) error {
	if call.runs == 0 || bvverdict.Of(err) != bvverdict.NotRun {
		return err
	}
	return bvverdict.New(bvverdict.MayHaveRun, bvverdict.From(err).Code(), "the request may have run at another endpoint").WithCause(err)
}

// awaitSlot waits until a tool's endpoint may have a free slot, if all rejected the request and
// the time suffices. It reports whether another choice may find one.
func (call *call) awaitSlot() bool {
	wait := call.placement.SlotWait()
	if wait == 0 || call.remaining() < wait+minSendTime {
		return false
	}
	call.front.parts.Counters.Add("slot_waits", 1)
	select {
	case <-bvclock.After(wait):
	case <-call.ctx.Done():
	}
	return call.ctx.Err() == nil
}

func (call *call) mayResend(err error) bool {
	if call.ctx.Err() != nil || !call.placement.MaySendAgain() {
		return false
	}
	if bvverdict.Of(err) == bvverdict.NotRun {
		return true
	}
	return call.route.MayRepeat() && call.runs < call.route.Attempts && call.claim == nil
}

func (call *call) deadlineError() error {
	if call.runs == 0 {
		return bvverdict.Refuse(bvverdict.DeadlinePassed, "no time is left to run the request").WithRetryAfter(shortRetry)
	}
	return bvverdict.New(bvverdict.MayHaveRun, bvverdict.EndpointTimeout, "no answer in time")
}

// noEndpointError returns a refusal only if no endpoint may have run the request.
func (call *call) noEndpointError() error {
	if call.runs > 0 {
		return bvverdict.New(bvverdict.MayHaveRun, bvverdict.EndpointFailed, "no other endpoint of %s", call.service.Name)
	}
	if call.resumesStream() && call.isVersionGone() {
		return call.versionGoneError()
	}
	if waited := call.placement.Waited(); waited > 0 {
		return bvverdict.Refuse(bvverdict.Overloaded, "all endpoints of %s are full after %d sends and %s of waiting for a slot",
			call.service.Name, call.sends, waited).WithRetryAfter(shortRetry)
	}
	return bvverdict.Refuse(bvverdict.Overloaded, "no endpoint of %s accepts the request", call.service.Name).WithRetryAfter(shortRetry)
}

// sendOnce sends the request to one endpoint and relays its answer.
func (call *call) sendOnce(endpoint bvplatform.Endpoint) error {
	call.sends++
	call.headReceived, call.serverError, call.load = false, false, bvroute.Load{}
	call.endpoint, call.sentAt = endpoint, call.front.parts.Clock.Now()
	call.listAge = call.sentAt.Sub(call.front.parts.List.AsOf())
	if endpoint.IsRetained() {
		call.front.parts.Counters.Add("sends_to_retained", 1)
	}
	response, err := call.front.parts.Endpoints.Send(call.ctx, call.newEndpointRequest(endpoint))
	if err != nil {
		call.countDefect(err)
		call.reportOutcome(outcomeOf(err), bvforward.IsRefused(err))
		return call.countRun(err)
	}
	defer response.Close()
	call.applyLoad(endpoint, response.Answer)
	if response.Answer.NotRun {
		response.Drain()
		return call.handleRefusal(response.Status)
	}
	call.runs++
	call.headReceived, call.serverError = true, response.Status >= http.StatusInternalServerError
	err = call.relay(response)
	call.countDefect(err)
	outcome := outcomeOf(err)
	if call.ctx.Err() != nil && outcome == bvdispatch.Broken {
		outcome = bvdispatch.Withdrawn // the endpoint was answering when the deadline passed
	}
	call.reportOutcome(outcome, false)
	return err
}

// countDefect counts an answer that can't be read, unless the call had ended before.
func (call *call) countDefect(err error) {
	var answer *bvforward.AnswerError
	if errors.As(err, &answer) && call.ctx.Err() == nil {
		call.front.parts.Counters.Count("broken_answers", answer.Defect().String())
	}
}

// countRun counts a send whose request may have run.
func (call *call) countRun(err error) error {
	if bvverdict.Of(err) != bvverdict.NotRun {
		call.runs++
	}
	return err
}

// reportOutcome reports the outcome of the last send to the dispatcher; refused means that
// nothing listens at the endpoint's address.
func (call *call) reportOutcome(outcome bvdispatch.Outcome, refused bool) {
	call.chosen = false
	now := call.front.parts.Clock.Now()
	result := bvdispatch.Result{
		Outcome: outcome, Duration: now.Sub(call.sentAt), AnswerStarted: call.headReceived, Refused: refused,
		IsError: call.serverError, ReportedPace: call.load.Pace, OutputTokens: call.generatedTokens(),
	}
	switch {
	case call.service.Engine == nil:
		result.Pace = result.Duration
	case call.stream.count > 1:
		result.Pace = now.Sub(call.firstEventAt) / bvclock.Duration(call.stream.count-1)
	}
	if call.stream.count > 0 && call.load.Waiting == 0 { // otherwise the request waited for a slot
		result.UncachedTokens, result.TimeToFirstEvent = max(call.placement.PromptTokens-call.placement.CachedTokens, 0), call.firstEventAt.Sub(call.sentAt)
	}
	call.placement.RecordSend(call.endpoint.Name, outcome)
	call.front.parts.Dispatcher.EndCall(call.service.Name, call.endpoint.ID(), &call.placement, result)
	switch outcome {
	case bvdispatch.Broken:
		call.reportBroken()
	case bvdispatch.Served:
		if !call.serverError { // an endpoint may fail a request before it runs it
			call.front.parts.Suspects.RecordAnswer(bvsuspect.Answer{Content: call.content, SentAt: call.sentAt, Partial: call.resumesStream()})
		}
	}
}

// reportBroken reports that the last send broke, which may mean that the request has
// crashed the endpoint.
func (call *call) reportBroken() {
	broken := bvsuspect.BrokenCall{
		Content:   call.content,
		Endpoint:  bvdispatch.HashID(call.endpoint.ID()),
		ID:        call.metadata.ID,
		Route:     call.route.Name,
		Name:      call.endpoint.Name,
		TimedOut:  call.ctx.Err() != nil,
		HasAnswer: call.headReceived,
		Exclusive: call.claim != nil,
	}
	call.front.parts.Suspects.RecordBrokenCall(broken)
	if !broken.TimedOut {
		call.check = call.front.checkEndpoint(broken, call.endpoint)
	}
}

// handleRefusal reports that the endpoint did not run the request, and returns the error.
func (call *call) handleRefusal(status int) error {
	if status == http.StatusMisdirectedRequest {
		call.reportOutcome(bvdispatch.Wrong, false)
		return bvverdict.Refuse(bvverdict.EndpointFailed, "another endpoint has the address of %s", call.endpoint.Name).WithRetryAfter(shortRetry)
	}
	call.reportOutcome(bvdispatch.Full, false)
	return bvverdict.Refuse(bvverdict.Overloaded, "endpoint %s is full (status %d)", call.endpoint.Name, status).WithRetryAfter(shortRetry)
}

func outcomeOf(err error) bvdispatch.Outcome {
	switch {
	case err == nil:
		return bvdispatch.Served
	case bvverdict.From(err).Code() == bvverdict.Canceled, errors.Is(err, errNotRecorded), errors.Is(err, bvforward.ErrNoResources):
		return bvdispatch.Withdrawn
	case bvverdict.Of(err) == bvverdict.NotRun:
		return bvdispatch.Unreachable
	}
	return bvdispatch.Broken
}

// hasEarlierTurns reports whether the request's program had earlier turns, or a part of this one.
func (call *call) hasEarlierTurns() bool {
	return call.metadata.Continues() || call.resumesStream() || call.placement.HeldPrefix != (bvdispatch.HeldPrefix{})
}

// urgency returns the request's rank among those that wait at an engine.
func (call *call) urgency() int {
	if end := call.programDeadline(); end != 0 {
		left := end.Sub(call.front.parts.Clock.Now())
		if left < 0 && call.front.parts.Dispatcher.IsOverdue(call.service.Name, call.route.Name, left) {
			call.front.parts.Counters.Add("turns_overdue", 1)
			return bvdispatch.OverdueUrgency
		}
	}
	return bvdispatch.Urgency(call.priority(), call.hasEarlierTurns())
}

func (call *call) newEndpointRequest(endpoint bvplatform.Endpoint) *bvforward.Request {
	header := call.request.Header
	bvforward.DropHopByHop(header, connectionNames(header), call.front.parts.Wire.IsProtected)
	call.front.parts.Wire.PrepareCall(header, endpoint.Name, call.remaining())
	if call.keysRequired {
		call.front.parts.Wire.SetWorkspace(header, call.workspaceName())
	}
	if call.service.Engine != nil && !call.front.parts.Without.Has(bvmechanism.Ranks) {
		call.front.parts.Wire.SetUrgency(header, call.urgency())
	}
	return &bvforward.Request{
		Endpoint: endpoint,
		ID:       call.metadata.ID,
		Method:   call.request.Method,
		Target:   call.target(),
		Host:     call.request.Host,
		Header:   header,
		Body:     call.body,
	}
}

// connectionNames returns the header names listed in the Connection header.
func connectionNames(header http.Header) []string {
	var names []string
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			names = append(names, strings.TrimSpace(name))
		}
	}
	return names
}

func (call *call) target() string {
	if strings.HasPrefix(call.request.RequestURI, "/") {
		return call.request.RequestURI
	}
	return call.request.URL.RequestURI() // the absolute form, as sent to proxies
}
