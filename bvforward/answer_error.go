package bvforward

import (
	"errors"
	"io"

	"balsamvalve.example/bvexcerpt"
)

//go:generate stringer -type=Defect -linecomment -output=defect_string.go

// Defect is what is wrong with the bytes that an endpoint sent in place of an answer.
type Defect int

// The defects. The texts name counters.
const (
	Malformed    Defect = iota // malformed
	HeadTooLarge               // head_too_large
	OtherAnswers               // other_answers
	BrokenOff                  // broken_off
	Unidentified               // without_id
)

// AnswerError is the error of an answer that can't be read. Its text has no more than an
// excerpt of what the endpoint sent.
type AnswerError struct {
	defect Defect
	cause  error
}

// Defect returns what is wrong with the answer.
func (err *AnswerError) Defect() Defect { return err.defect }

// Error implements error.
func (err *AnswerError) Error() string {
	if err.cause == nil {
		return err.defect.String()
	}
	return err.defect.String() + ": " + bvexcerpt.Wrap(err.cause).Error()
}

// Unwrap returns the cause.
func (err *AnswerError) Unwrap() error { return err.cause }

// newAnswerError returns the error of a failed read of an answer.
func newAnswerError(cause error) *AnswerError {
	var network interface{ Timeout() bool } // implemented by the errors of a connection
	switch {
	case errors.Is(cause, errHeadTooLarge):
		return &AnswerError{HeadTooLarge, cause}
	case errors.Is(cause, io.EOF), errors.Is(cause, io.ErrUnexpectedEOF), errors.As(cause, &network):
		return &AnswerError{BrokenOff, cause}
	}
	return &AnswerError{Malformed, cause}
}
