package bvowner

import (
	"context"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvendpoint"
	"balsamvalve.example/bvgate"
	"balsamvalve.example/bvledger"
	"balsamvalve.example/bvpeer"
	"balsamvalve.example/bvpermit"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvverdict"
)

// triesPerCall bounds how often a repeatable call is run until it gives an
// answer. Each try costs engine work, so it is small.
const triesPerCall = 3

// longestCall bounds a call whose caller set no deadline. A tool that hangs
// must not hold its program for ever.
const longestCall = 10 * bvclock.Minute

// start runs the call and reports to the ledger, which then answers.
func (session *session) start(start bvledger.Start) {
	ctx, cancel := context.WithTimeout(session.enter("run"), session.timeLeft().Std())
	defer cancel()
	session.mutex.Lock()
	session.abort = cancel
	session.mutex.Unlock()
	result := session.run(ctx, start)
	session.enter("commit")
	owner := session.owner
	owner.do(func(now bvclock.Time) { owner.ledger.Finish(now, session.id, result) })
}

func (session *session) timeLeft() bvclock.Duration {
	if session.deadline == 0 {
		return longestCall
	}
	return min(session.deadline.Sub(session.owner.parts.Clock.Now()), longestCall)
}

// run tries until there is an answer, an outcome that must not be tried
// again, or no try left.
func (session *session) run(ctx context.Context, start bvledger.Start) bvledger.Result {
	if session.isGone() {
		return failed(bvverdict.Refuse(bvverdict.Canceled, "the caller went away before the call was run"))
	}
	if session.call.GetResume() != nil {
		if result, ended := session.resume(ctx, start); ended {
			return result
		}
	}
	spent := int64(0)
	ran := false
	for try := 0; ; try++ {
		result, again := session.try(ctx, start, try)
		spent += result.Spent
		result.Spent = spent
		if result.Err == nil {
			return result
		}
		ran = ran || result.Err.Verdict() != bvverdict.NotRun
		if again && try+1 < triesPerCall && ctx.Err() == nil {
			session.owner.measure.Add("rerun_calls", 1)
			continue
		}
		if ran && result.Err.Verdict() == bvverdict.NotRun {
			// An earlier try may have run, whatever became of the last one.
			result.Err = bvverdict.New(bvverdict.MayHaveRun, result.Err.Code(), "%s", result.Err.Reason()).
				WithRetryAfter(result.Err.RetryAfter())
		}
		return result
	}
}

func failed(err *bvverdict.Error) bvledger.Result {
	return bvledger.Result{Err: err}
}

// try makes one attempt; again says whether another one may help.
func (session *session) try(ctx context.Context, start bvledger.Start, try int) (result bvledger.Result, again bool) {
	ask := session.ask(start)
	ask.Attempt = int32(try)
	asked := session.owner.parts.Clock.Now()
	permit, err := session.owner.parts.Permits.Acquire(ctx, ask)
	session.owner.measure.Observe("permit_wait", session.owner.parts.Clock.Now().Sub(asked))
	if err != nil {
		return failed(bvverdict.From(err)), false
	}
	if refused := session.checkStart(permit); refused != nil {
		permit.Finish(&bvpeer.PermitFinish{Outcome: int32(bvgate.Unused)})
		return failed(refused), refused.Code() == bvverdict.Overloaded
	}
	permit.MarkUsed()
	if session.call.GetModel() != nil {
		return session.chat(ctx, start, permit, try)
	}
	return session.invoke(ctx, permit)
}

// checkStart is the last look before the call goes out. This host may have
// been paused since the permit or the window of an unrepeatable request was
// given: both clocks are read again, because a paused host does not notice.
func (session *session) checkStart(permit *bvpermit.Permit) *bvverdict.Error {
	if !permit.IsValid() {
		return bvverdict.Refuse(bvverdict.Overloaded, "the permit lapsed before it was used")
	}
	owner := session.owner
	allowed := false
	owner.do(func(now bvclock.Time) {
		allowed = owner.ledger.MayStart(now, session.id)
		if allowed && session.call.GetModel() != nil {
			owner.ledger.SetEndpoint(now, session.id, permit.Endpoint())
		}
	})
	if !allowed {
		return bvverdict.Refuse(bvverdict.NotOwner, "the time in which the call could be sent has passed")
	}
	return nil
}

// ask describes the call to the host that decides for the pool.
func (session *session) ask(start bvledger.Start) *bvpeer.PermitAsk {
	call := session.call
	ask := &bvpeer.PermitAsk{
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
		ask.Pool = bvpermit.PoolName(bvplatform.Engine, model.GetModel())
		ask.PromptTokens = tokensOf(model.GetMessages())
		if !call.GetFullHistory() {
			ask.PromptTokens += tokensOf(start.History)
		}
		return ask
	}
	ask.Pool = bvpermit.PoolName(bvplatform.Service, call.GetService().GetService())
	return ask
}

func (session *session) deadlineLeft() int64 {
	if session.deadline == 0 {
		return 0
	}
	return max(int64(session.timeLeft()), 1)
}

// bytesPerToken estimates tokens before an engine has counted them.
const bytesPerToken = 4

func tokensOf(text []byte) int64 {
	return int64(len(text)) / bytesPerToken
}

// fingerprintOf tells a request that crashes endpoints when it comes again,
// also under another request id.
func fingerprintOf(call *bvpeer.Call) uint64 {
	if model := call.GetModel(); model != nil {
		return hash(call.GetMember(), model.GetModel(), string(model.GetMessages()))
	}
	service := call.GetService()
	return hash(call.GetMember(), service.GetService(), service.GetPath(), string(service.GetBody()))
}

// finish reports the end of an attempt to the deciding host.
func finish(permit *bvpermit.Permit, result bvendpoint.ChatResult, err error) {
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
