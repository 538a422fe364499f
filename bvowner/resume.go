package bvowner

import (
	"context"

	"balsamvalve.example/bvendpoint"
	"balsamvalve.example/bvledger"
	"balsamvalve.example/bvtrace"
	"balsamvalve.example/bvverdict"
)

// resume takes over the stream of an owner that was lost while its caller was
// reading. The endpoint still has the stream, so nothing runs twice and the
// caller gets the rest of the same answer. It reports false when the call has
// to be run anew.
func (session *session) resume(ctx context.Context, start bvledger.Start) (bvledger.Result, bool) {
	position := session.call.GetResume()
	endpoint, found := session.owner.parts.EndpointList.Endpoint(position.GetEndpoint())
	if !found || session.call.GetModel() == nil {
		return session.lostStream()
	}
	permit := session.owner.parts.Permits.Adopt(ctx, session.ask(start), endpoint.Name, endpoint.Address)
	call := bvendpoint.ChatCall{Stream: position.GetStream(), Salt: session.call.GetMember(), Prefix: session.call.GetProgram()}
	session.emit(startedEvent(endpoint.Name, call.Stream))
	ctx, span := bvtrace.Start(ctx, "endpoint")
	span.SetEndpoint(endpoint.Name)
	answer, err := session.owner.parts.Endpoints.Resume(ctx, endpoint.Address, call, func(offset int, text string) error {
		session.emit(tokenEvent(offset, text))
		return nil
	})
	span.End(err)
	finish(permit, answer, err)
	if err != nil {
		return session.lostStream()
	}
	session.owner.measure.Add("resumed_streams", 1)
	result := bvledger.Result{
		Spent:    int64(answer.PromptTokens) + int64(answer.OutputTokens),
		Endpoint: endpoint.Name,
	}
	return session.complete(result, session.call.GetModel().GetModel(), answer), true
}

// lostStream decides about a call whose stream can't be taken over. A caller
// that has read a part of one answer must not get the rest of another.
func (session *session) lostStream() (bvledger.Result, bool) {
	if session.call.GetStreaming() && session.call.GetResume().GetOffset() > 0 {
		err := bvverdict.New(bvverdict.MayHaveRun, bvverdict.EndpointFailed,
			"the answer was cut; send the same request again").WithRetryAfter(retryAfterCut)
		return failed(err), true
	}
	return bvledger.Result{}, false
}

// retryAfterCut is when a caller whose answer was cut may come back: at once.
const retryAfterCut = 1
