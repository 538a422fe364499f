// Package bvverdict defines the errors that reach a caller, each with a verdict on whether
// the request may have run.
//
// A caller may safely repeat a NotRun request, whatever its effects. For a MayHaveRun
// request with effects, the caller must query the outcome instead.
//
// # Usage
//
//	return bvverdict.Refuse(bvverdict.Overloaded, "queue of model %s is full", model).
//		WithRetryAfter(2 * bvclock.Second)
//
//	if bvverdict.Of(err) == bvverdict.NotRun {
//		// another endpoint may get the request
//	}
package bvverdict

import (
	"errors"
	"fmt"

	"balsamvalve.example/bvclock"
)

//go:generate stringer -type=Verdict,Code -linecomment -output=verdict_string.go

// Verdict indicates whether a request may have run. The zero value guarantees nothing.
type Verdict int

// The verdicts.
const (
	MayHaveRun Verdict = iota // may have run
	NotRun                    // not run
	Ran                       // ran
)

// Code is the kind of an error. The texts are part of the caller API.
type Code int

// The codes.
const (
	Internal            Code = iota // internal
	BadRequest                      // bad_request
	Unauthorized                    // unauthorized
	Forbidden                       // forbidden
	UnknownModel                    // unknown_model
	UnknownService                  // unknown_service
	UnknownProgram                  // unknown_program
	UnknownRequest                  // unknown_request
	TurnOutOfOrder                  // turn_out_of_order
	ProgramEnded                    // program_ended
	BudgetExceeded                  // budget_exceeded
	LimitExceeded                   // limit_exceeded
	Overloaded                      // overloaded
	DeadlinePassed                  // deadline_passed
	Poisonous                       // poisonous
	EndpointFailed                  // endpoint_failed
	EndpointTimeout                 // endpoint_timeout
	PlatformUnavailable             // platform_unavailable
	NotOwner                        // not_owner
	Stopping                        // stopping
	AlreadySent                     // already_sent
	Conflict                        // conflict
	Invalid                         // invalid
	TooLarge                        // too_large
	Canceled                        // canceled
	UnknownRoute                    // unknown_route
	StreamInterrupted               // stream_interrupted
)

// Error is an error with its verdict. The zero value is an internal error of a request that
// may have run.
type Error struct {
	verdict    Verdict
	code       Code
	reason     string
	retryAfter bvclock.Duration
	cause      error
}

// New returns an error with the given verdict; reason is a format string for a
// human-readable text.
func New(verdict Verdict, code Code, reason string, args ...any) *Error {
	return &Error{verdict: verdict, code: code, reason: fmt.Sprintf(reason, args...)}
}

// Refuse returns an error for a request that was not run.
func Refuse(code Code, reason string, args ...any) *Error {
	return New(NotRun, code, reason, args...)
}

// WithRetryAfter sets the time after which a retry can succeed.
func (err *Error) WithRetryAfter(duration bvclock.Duration) *Error {
	err.retryAfter = duration
	return err
}

// WithCause sets the error that caused this one.
func (err *Error) WithCause(cause error) *Error {
	err.cause = cause
	return err
}

// Verdict returns whether the request may have run.
func (err *Error) Verdict() Verdict { return err.verdict }

// Code returns the kind of the error.
func (err *Error) Code() Code { return err.code }

// Reason returns the human-readable text.
func (err *Error) Reason() string { return err.reason }

// RetryAfter returns the time after which a retry can succeed; zero means never.
func (err *Error) RetryAfter() bvclock.Duration { return err.retryAfter }

// Error implements error.
func (err *Error) Error() string {
	text := fmt.Sprintf("%s (%s): %s", err.code, err.verdict, err.reason)
	if err.cause != nil {
		text += ": " + err.cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (err *Error) Unwrap() error { return err.cause }

// From returns the Error in err's chain. Any other error becomes an internal one with
// MayHaveRun, because nothing is known about it.
func From(err error) *Error {
	var found *Error
	if errors.As(err, &found) {
		return found
	}
	return New(MayHaveRun, Internal, "%s", "unexpected error").WithCause(err)
}

// Of returns the verdict of err; for an unknown error it is MayHaveRun.
func Of(err error) Verdict {
	return From(err).Verdict()
}
