package bvfront

import (
	"net/http"
	"strings"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvdispatch"
	"balsamvalve.example/bvforward"
	"balsamvalve.example/bvmechanism"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvverdict"
)

const (
	// maxSends is how many endpoints a request is offered to. Sends that an
	// endpoint refused don't count as run, but each costs a few milliseconds.
	maxSends = 4
	// leastSend is the least time left for which a send makes sense: a call
	// to an endpoint and back takes some milliseconds.
	leastSend = 5 * bvclock.Millisecond
)

// forward offers the request to one endpoint after the other, as long as it
// can't have run, or may run again.
func (call *call) forward() error {
	for {
		if call.left() < leastSend {
			return call.outOfTime()
		}
		endpoint, found := call.front.parts.Dispatcher.Choose(call.service.Name, &call.placement)
		if !found {
			return call.noEndpoint()
		}
		err := call.try(endpoint)
		if err == nil || call.begun {
			return err
		}
		if !call.mayTryAgain(err) {
			return call.ofAllSends(err)
		}
		call.avoid(endpoint.Name)
		call.front.parts.Counters.Add("sends_again", 1)
	}
}

// ofAllSends is the error of the last send with the verdict of all of them: it may not have
// run there, and have run at an endpoint before.
func (call *call) ofAllSends(err error) error {
	if call.runs == 0 || bvverdict.Of(err) != bvverdict.NotRun {
		return err
	}
	return bvverdict.New(bvverdict.MayHaveRun, bvverdict.From(err).Code(), "the request may have run before").WithCause(err)
}

func (call *call) avoid(endpoint string) {
	if call.placement.Excluded == nil {
		call.placement.Excluded = make(map[string]bool)
	}
	call.placement.Excluded[endpoint] = true
}

func (call *call) mayTryAgain(err error) bool {
	if call.ctx.Err() != nil || call.sends >= maxSends {
		return false
	}
	if bvverdict.Of(err) == bvverdict.NotRun {
		return true
	}
	return call.route.MayRepeat() && call.runs < call.route.Attempts
}

func (call *call) outOfTime() error {
	if call.runs == 0 {
		return bvverdict.Refuse(bvverdict.DeadlinePassed, "no time is left to run the request").WithRetryAfter(shortRetry)
	}
	return bvverdict.New(bvverdict.MayHaveRun, bvverdict.EndpointTimeout, "no answer in time")
}

// noEndpoint is a true refusal only while nothing was sent that may have run.
func (call *call) noEndpoint() error {
	if call.runs > 0 {
		return bvverdict.New(bvverdict.MayHaveRun, bvverdict.EndpointFailed, "no other endpoint of %s", call.service.Name)
	}
	return bvverdict.Refuse(bvverdict.Overloaded, "no endpoint of %s takes the request", call.service.Name).WithRetryAfter(shortRetry)
}

// try sends the request to one endpoint and relays its answer.
func (call *call) try(endpoint bvplatform.Endpoint) error {
	call.sends++
	call.answered, call.erred = false, false
	call.at, call.sentAt = endpoint, call.front.parts.Clock.Now()
	response, err := call.front.parts.Endpoints.Send(call.ctx, call.outgoing(endpoint))
	if err != nil {
		call.ended(outcomeOf(err))
		return call.settleRun(err)
	}
	defer response.Close()
	if response.Answer.HasLoad {
		call.load = response.Answer.Load
		call.front.parts.Dispatcher.SetLoad(call.service.Name, endpoint.ID(), response.Answer.Load)
	}
	if response.Answer.NotRun {
		response.Drain()
		return call.refused(response.Status)
	}
	call.runs++
	call.answered, call.erred = true, response.Status >= http.StatusInternalServerError
	err = call.relay(response)
	outcome := outcomeOf(err)
	if call.ctx.Err() != nil && outcome == bvdispatch.Broken {
		outcome = bvdispatch.Withdrawn // it was answering when the time was over
	}
	call.ended(outcome)
	return err
}

// settleRun counts a send that may have run.
func (call *call) settleRun(err error) error {
	if bvverdict.Of(err) != bvverdict.NotRun {
		call.runs++
	}
	return err
}

// ended tells the dispatcher how the last send ended.
func (call *call) ended(outcome bvdispatch.Outcome) {
	now := call.front.parts.Clock.Now()
	result := bvdispatch.Result{Outcome: outcome, Duration: now.Sub(call.sentAt), AnswerStarted: call.answered, IsError: call.erred, OutputTokens: call.generated()}
	switch {
	case call.service.Engine == nil:
		result.Pace = result.Duration
	case call.stream.count > 1:
		result.Pace = now.Sub(call.firstAt) / bvclock.Duration(call.stream.count-1)
	}
	if call.stream.count > 0 && call.load.Waiting == 0 { // else it waited for a place
		result.UncachedTokens, result.TimeToFirstEvent = max(call.placement.PromptTokens-call.placement.CachedTokens, 0), call.firstAt.Sub(call.sentAt)
	}
	call.front.parts.Dispatcher.EndCall(call.service.Name, call.at.ID(), &call.placement, result)
}

// refused notes that an endpoint did not run the request.
func (call *call) refused(status int) error {
	if status == http.StatusMisdirectedRequest {
		call.ended(bvdispatch.Wrong)
		return bvverdict.Refuse(bvverdict.EndpointFailed, "another endpoint has the address of %s", call.at.Name).WithRetryAfter(shortRetry)
	}
	call.ended(bvdispatch.Full)
	return bvverdict.Refuse(bvverdict.Overloaded, "endpoint %s is full (status %d)", call.at.Name, status).WithRetryAfter(shortRetry)
}

func outcomeOf(err error) bvdispatch.Outcome {
	switch {
	case err == nil:
		return bvdispatch.Served
	case bvverdict.From(err).Code() == bvverdict.Canceled:
		return bvdispatch.Withdrawn
	case bvverdict.Of(err) == bvverdict.NotRun:
		return bvdispatch.Unreachable
	}
	return bvdispatch.Broken
}

// continues reports whether the request's program is under way.
func (call *call) continues() bool {
	return call.metadata.Continues() || call.placement.HeldPrefix != (bvdispatch.HeldPrefix{})
}

func (call *call) outgoing(endpoint bvplatform.Endpoint) *bvforward.Request {
	header := call.request.Header
	bvforward.DropHopByHop(header, connectionNames(header), call.front.parts.Wire.IsProtected)
	call.front.parts.Wire.PrepareCall(header, endpoint.Name, call.left())
	if call.keyed {
		call.front.parts.Wire.SetWorkspace(header, call.workspaceName())
	}
	if call.service.Engine != nil && !call.front.parts.Without.Has(bvmechanism.Ranks) {
		call.front.parts.Wire.SetUrgency(header, bvdispatch.Urgency(call.priority(), call.continues()))
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

// connectionNames are the headers that the caller's Connection header names.
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
	return call.request.URL.RequestURI() // the absolute form that proxies get
}
