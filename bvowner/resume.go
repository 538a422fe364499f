package bvowner

import (
	"context"

	"balsamvalve.example/bvendpoint"
	"balsamvalve.example/bvledger"
	"balsamvalve.example/bvtrace"
	"balsamvalve.example/bvverdict"
)

// resume takes over the stream of an owner that was lost while its caller was reading.
// The endpoint still has the stream, so the call does not run twice and the caller gets
// the rest of the same answer. It reports false if the call must run again.
func (session *session) resume(ctx context.Context, start bvledger.Start) (bvledger.Result, bool) {
	position := session.call.GetResume()
	endpoint, found := session.owner.parts.EndpointList.Endpoint(position.GetEndpoint())
	if !found || session.call.GetModel() == nil {
		return session.handleLostStream()
	}
	permit := session.owner.parts.Permits.Adopt(ctx, session.permitRequest(start), endpoint.Name, endpoint.Address)
	call := bvendpoint.ChatCall{Stream: position.GetStream(), Salt: session.call.GetMember(), Prefix: session.call.GetProgram()}
	session.emit(startedEvent(endpoint.Name, call.Stream))
	ctx, span := bvtrace.Start(ctx, "endpoint")
	span.SetEndpoint(endpoint.Name)
	answer, err := session.owner.parts.Endpoints.Resume(ctx, endpoint.Address, call, func(offset int, text string) error {
		session.emit(tokenEvent(offset, text))
		return nil
	})
	span.End(err)
	reportFinish(permit, answer, err)
	if err != nil {
		return session.handleLostStream()
	}
	session.owner.metrics.Add("resumed_streams", 1)
	result := bvledger.Result{
		Spent:    int64(answer.PromptTokens) + int64(answer.OutputTokens),
		Endpoint: endpoint.Name,
	}
	return session.buildResult(result, session.call.GetModel().GetModel(), answer), true
}

// handleLostStream decides on a call whose stream can't be taken over. A caller that
// has received part of one answer must not get the rest of another.
func (session *session) handleLostStream() (bvledger.Result, bool) {
	if session.call.GetStreaming() && session.call.GetResume().GetOffset() > 0 {
		err := bvverdict.New(bvverdict.MayHaveRun, bvverdict.EndpointFailed,
			"answer stream was interrupted; send the same request again").WithRetryAfter(retryAfterCut)
		return failedResult(err), true
	}
	return bvledger.Result{}, false
}

// retryAfterCut is the retry time for a caller whose answer was interrupted:
// immediately.
const retryAfterCut = 1
