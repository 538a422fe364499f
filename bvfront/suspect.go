package bvfront

import (
	"errors"

	"balsamvalve.example/bvclock"
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
	decision := call.front.parts.Suspects.Decide(call.fingerprint)
	switch decision.Access {
	case bvsuspect.Denied:
		return call.deniedError(decision)
	case bvsuspect.Exclusive:
		return call.claimRun(decision)
	}
	return nil
}

func (call *call) claimRun(decision bvsuspect.Decision) error {
	claim, err := call.front.parts.Suspects.Claim(call.ctx, call.fingerprint, decision)
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
		if check != nil {
			<-check.last
		}
		suspects.EndClaim(claim)
	}()
}
