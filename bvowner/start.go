package bvowner

import (
	"context"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvendpoint"
	"balsamvalve.example/bvgate"
	"balsamvalve.example/bvledger"
	"balsamvalve.example/bvlog"
	"balsamvalve.example/bvpeer"
	"balsamvalve.example/bvpermit"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvverdict"
)

// maxAttempts bounds how often a repeatable call is run until it returns an answer.
// Each attempt costs engine work, so the bound is small.
const maxAttempts = 3

// maxCallDuration bounds a call without a deadline from its caller. A tool that hangs
// must not block its program indefinitely.
const maxCallDuration = 10 * bvclock.Minute

// execute runs the call and reports the result to the ledger, which then answers.
func (session *session) execute(start bvledger.Start) {
	ctx, cancel := context.WithTimeout(session.startSpan("run"), session.timeLeft().Std())
	defer cancel()
	session.mutex.Lock()
	session.cancelRun = cancel
	session.mutex.Unlock()
	result := session.runAttemptsRecovered(ctx, start)
	session.startSpan("commit")
	owner := session.owner
	owner.apply(func(now bvclock.Time) { owner.ledger.Finish(now, session.id, result) })
}

func (session *session) timeLeft() bvclock.Duration {
	if session.deadline == 0 {
		return maxCallDuration
	}
	return min(session.deadline.Sub(session.owner.parts.Clock.Now()), maxCallDuration)
}

// runAttemptsRecovered is runAttempts, with a panic as an error: the panic would end the
// process with all its calls.
func (session *session) runAttemptsRecovered(ctx context.Context, start bvledger.Start) (result bvledger.Result) {
	defer func() {
		if cause := recover(); cause != nil {
			session.owner.metrics.Add("panics", 1)
			session.owner.parts.Log.WithField("panic", cause).WithField("stack", bvlog.Stack()).Error("panic in a call")
			result = failedResult(bvverdict.New(bvverdict.MayHaveRun, bvverdict.Internal, "the call failed in this host"))
		}
	}()
	return session.runAttempts(ctx, start)
}

// runAttempts runs attempts until one returns an answer or an outcome that must not be
// retried, or none is left.
func (session *session) runAttempts(ctx context.Context, start bvledger.Start) bvledger.Result {
	if session.isCallerGone() {
		return failedResult(bvverdict.Refuse(bvverdict.Canceled, "caller disconnected before the call was run"))
	}
	if session.call.GetResume() != nil {
		if result, ended := session.resume(ctx, start); ended {
			return result
		}
	}
	spent := int64(0)
	ran := false
	for attempt := 0; ; attempt++ {
		result, retry := session.attempt(ctx, start, attempt)
		spent += result.Spent
		result.Spent = spent
		if result.Err == nil {
			return result
		}
		ran = ran || result.Err.Verdict() != bvverdict.NotRun
		if retry && attempt+1 < maxAttempts && ctx.Err() == nil {
			session.owner.metrics.Add("rerun_calls", 1)
			continue
		}
		if ran && result.Err.Verdict() == bvverdict.NotRun {
			// An earlier attempt may have run, whatever the outcome of the last one.
			result.Err = bvverdict.New(bvverdict.MayHaveRun, result.Err.Code(), "%s", result.Err.Reason()).
				WithRetryAfter(result.Err.RetryAfter())
		}
		return result
	}
}

func failedResult(err *bvverdict.Error) bvledger.Result {
	return bvledger.Result{Err: err}
}

// attempt makes one attempt; retry reports whether another one may succeed.
func (session *session) attempt(ctx context.Context, start bvledger.Start, attempt int) (result bvledger.Result, retry bool) {
	request := session.permitRequest(start)
	request.Attempt = int32(attempt)
	requestedAt := session.owner.parts.Clock.Now()
	permit, err := session.owner.parts.Permits.Acquire(ctx, request)
	session.owner.metrics.Observe("permit_wait", session.owner.parts.Clock.Now().Sub(requestedAt))
	if err != nil {
		return failedResult(bvverdict.From(err)), false
	}
	if refused := session.checkStart(permit); refused != nil {
		permit.Finish(&bvpeer.PermitFinish{Outcome: int32(bvgate.Unused)})
		return failedResult(refused), refused.Code() == bvverdict.Overloaded
	}
	permit.MarkUsed()
	if session.call.GetModel() != nil {
		return session.runChat(ctx, start, permit, attempt)
	}
	return session.runService(ctx, permit)
}

// checkStart is the final check before the call is sent. This host may have been paused
// since it got the permit or the start window of an unrepeatable request. A paused
// process does not notice the pause, so both clocks are read again.
func (session *session) checkStart(permit *bvpermit.Permit) *bvverdict.Error {
	if !permit.IsValid() {
		return bvverdict.Refuse(bvverdict.Overloaded, "the permit lapsed before it was used")
	}
	owner := session.owner
	allowed := false
	owner.apply(func(now bvclock.Time) {
		allowed = owner.ledger.MayStart(now, session.id)
		if allowed && session.call.GetModel() != nil {
			owner.ledger.SetEndpoint(now, session.id, permit.Endpoint())
		}
	})
	if !allowed {
		return bvverdict.Refuse(bvverdict.NotOwner, "start window of the call has passed")
	}
	return nil
}

// permitRequest describes the call to the host that decides for the pool.
func (session *session) permitRequest(start bvledger.Start) *bvpeer.PermitAsk {
	call := session.call
	request := &bvpeer.PermitAsk{
		Member:       call.GetMember(),
		Class:        call.GetClass(),
		Program:      call.GetProgram(),
		Priority:     int32(session.row.Priority),
		Attained:     float64(start.Attained),
		HistoryFrom:  start.Endpoint,
		HistoryHeld:  tokensOf(start.History),
		Fingerprint:  fingerprintOf(call),
		DeadlineMs:   session.deadlineLeft(),
		Unrepeatable: call.GetUnrepeatable(),
	}
	if model := call.GetModel(); model != nil {
		request.Pool = bvpermit.PoolName(bvplatform.Engine, model.GetModel())
		request.PromptTokens = tokensOf(model.GetMessages())
		if !call.GetFullHistory() {
			request.PromptTokens += tokensOf(start.History)
		}
		return request
	}
	request.Pool = bvpermit.PoolName(bvplatform.Service, call.GetService().GetService())
	return request
}

func (session *session) deadlineLeft() int64 {
	if session.deadline == 0 {
		return 0
	}
	return max(int64(session.timeLeft()), 1)
}

// bytesPerToken is used to estimate tokens before an engine has counted them.
const bytesPerToken = 4

func tokensOf(text []byte) int64 {
	return int64(len(text)) / bytesPerToken
}

// fingerprintOf identifies a request that crashes endpoints when it is sent again, also
// under another request id.
func fingerprintOf(call *bvpeer.Call) uint64 {
	if model := call.GetModel(); model != nil {
		return hashParts(call.GetMember(), model.GetModel(), string(model.GetMessages()))
	}
	service := call.GetService()
	return hashParts(call.GetMember(), service.GetService(), service.GetPath(), string(service.GetBody()))
}

// reportFinish reports the end of an attempt to the deciding host.
func reportFinish(permit *bvpermit.Permit, result bvendpoint.ChatResult, err error) {
	permit.Finish(&bvpeer.PermitFinish{
		Outcome:      int32(outcomeOf(err)),
		PromptTokens: int64(result.PromptTokens),
		CachedTokens: int64(result.CachedTokens),
		OutputTokens: int64(result.OutputTokens),
	})
}

func outcomeOf(err error) bvgate.Outcome {
	if err == nil {
		return bvgate.Succeeded
	}
	return bvendpoint.OutcomeOf(err)
}
