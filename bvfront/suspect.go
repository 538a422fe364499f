package bvfront

import (
	"errors"
	"strings"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvroute"
	"balsamvalve.example/bvsuspect"
	"balsamvalve.example/bvverdict"
)

// suspectRetry is the retry delay for a request that can't run exclusively now.
const suspectRetry = bvclock.Second

// admitSuspect decides whether the request may be sent to an endpoint, and claims the right to
// run it if it may have crashed several.
func (call *call) admitSuspect() error {
	if call.claim != nil {
		return nil
	}
	decision := call.front.parts.Suspects.Decide(call.content)
	switch decision.Access {
	case bvsuspect.Denied:
		return call.deniedError(decision)
	case bvsuspect.Exclusive:
		return call.claimRun(decision)
	}
	return nil
}

func (call *call) claimRun(decision bvsuspect.Decision) error {
	claim, err := call.front.parts.Suspects.Claim(call.ctx, decision)
	switch {
	case errors.Is(err, bvsuspect.ErrClaimed):
		return call.suspectError("the request may crash endpoints and runs through another host", suspectRetry).WithCause(err)
	case err != nil:
		return call.suspectError("the request may crash endpoints, and other hosts can't be asked about it", suspectRetry).WithCause(err)
	}
	call.claim = claim
	return nil
}

func (call *call) deniedError(decision bvsuspect.Decision) *bvverdict.Error {
	return call.suspectError("the request has crashed several endpoints", decision.RetryAfter)
}

// suspectError returns a refusal only if no endpoint may have run the request.
func (call *call) suspectError(reason string, retryAfter bvclock.Duration) *bvverdict.Error {
	if call.runs > 0 {
		return bvverdict.New(bvverdict.MayHaveRun, bvverdict.Poisonous, "%s", reason)
	}
	return bvverdict.Refuse(bvverdict.Poisonous, "%s", reason).WithRetryAfter(retryAfter)
}

// endClaim ends an exclusive run once it is known whether it has crashed its endpoint. The caller
// does not wait for that.
func (call *call) endClaim() {
	if call.claim == nil {
		return
	}
	claim, check, suspects := call.claim, call.check, call.front.parts.Suspects
	go func() {
		defer call.front.recoverPanic()
		if check != nil {
			<-check.last
		}
		suspects.EndClaim(claim)
	}()
}

// newContent returns the features by which the request may crash endpoints.
func (call *call) newContent() bvsuspect.Content {
	content := bvsuspect.Content{Request: call.newFingerprint()}
	scope := bvsuspect.Scope{Workspace: call.workspaceName(), Model: call.metadata.Model}
	path, _, _ := strings.Cut(call.target(), "?")
	content.AddPath(scope, bvroute.HashKey(call.request.Method+" "+call.request.Host+path))
	parts := make([]uint64, 0, len(call.metadata.Prefix))
	for _, part := range call.metadata.Prefix {
		if part.Tokens > 0 { // an engine reads nothing of an empty part
			parts = append(parts, part.Key)
		}
	}
	content.AddParts(scope, parts)
	if call.metadata.Affinity != "" {
		content.AddObject(scope, bvroute.HashKey(call.metadata.Affinity))
	}
	return content
}
