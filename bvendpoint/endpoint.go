// Package bvendpoint calls endpoints: model engines and plain services.
//
// A Client makes one call to an endpoint that its user chooses, and reports the
// outcome. It never sends a request a second time: a stream that broke or stalled
// is resumed from its offset over a new connection, and a call whose outcome is
// unknown is reported as one that may have run.
//
// Engines speak the OpenAI chat completions protocol with these additions, all
// of which an engine may ignore:
//
//   - the headers below, on the request;
//   - the SSE field "id", which holds the number of the token in its stream;
//   - GET and DELETE /v1/streams/{id}, which resume and cancel a stream;
//   - POST /cache/release, which drops the cached prefix of a program.
//
// Each request goes over a new connection: the protocol has no id in answers, so nothing else distinguishes
// an answer from a late copy of the one before.
//
// # Usage
//
//	client := &bvendpoint.Client{}
//	defer client.Close()
//	result, err := client.Chat(ctx, address, call, func(offset int, text string) error {
//		return relay(text)
//	})
//	switch bvendpoint.OutcomeOf(err) {
//	case bvgate.Succeeded:
//	case bvgate.Crashed: // the request is a suspect
//	}
package bvendpoint

import (
	"errors"

	"balsamvalve.example/bvexcerpt"
	"balsamvalve.example/bvgate"
	"balsamvalve.example/bvverdict"
)

// Headers of requests to endpoints and of their responses.
const (
	HeaderStream      = "Bv-Stream"      // id of the stream, chosen by the client
	HeaderSalt        = "Bv-Salt"        // prefixes are shared only under the same salt
	HeaderPrefix      = "Bv-Prefix"      // key of the program whose history the prompt repeats
	HeaderPriority    = "Bv-Priority"    // higher is served first
	HeaderFence       = "Bv-Fence"       // fencing number of the sender
	HeaderRequest     = "Bv-Request"     // the caller's id of the request
	HeaderIncarnation = "Bv-Incarnation" // of the engine, in its response
)

// outcomeError carries the outcome of a call in an error chain.
type outcomeError struct {
	outcome bvgate.Outcome
	cause   error
}

// Error implements error.
func (err *outcomeError) Error() string {
	if err.cause == nil {
		return "call " + err.outcome.String()
	}
	return "call " + err.outcome.String() + ": " + bvexcerpt.Wrap(err.cause).Error()
}

// Unwrap returns the cause.
func (err *outcomeError) Unwrap() error { return err.cause }

// OutcomeOf returns the outcome of a call, given the error that it returned.
//
// Refused: the endpoint rejected the call, or could not be reached. Crashed: the
// connection broke, and the endpoint has lost the stream or refuses connections. Silent:
// the endpoint stopped sending data and a resume did not succeed, or its answer was lost.
// Canceled: the user of the client canceled the call.
func OutcomeOf(err error) bvgate.Outcome {
	if err == nil {
		return bvgate.Succeeded
	}
	var found *outcomeError
	if errors.As(err, &found) {
		return found.outcome
	}
	return bvgate.Canceled
}

// failure builds the error of a call that has no complete answer.
func failure(verdict bvverdict.Verdict, code bvverdict.Code, outcome bvgate.Outcome, cause error, reason string, args ...any) *bvverdict.Error {
	return bvverdict.New(verdict, code, reason, args...).WithCause(&outcomeError{outcome: outcome, cause: cause})
}
