// Package bvexcerpt shortens texts of other processes for errors and log lines.
//
// # Usage
//
//	log.WithField("report", bvexcerpt.Of(report, 64)).Warn("invalid load report")
//	return bvexcerpt.Wrap(err) // err quotes what an endpoint sent
package bvexcerpt

import "strings"

// MaxErrorBytes bounds the text of an error that Wrap returns.
const MaxErrorBytes = 160

// mark stands in place of what was left out.
const mark = "..."

// Of returns the start of a text: at most limit bytes, and a mark if it is longer. Bytes
// that are not valid UTF-8 are dropped.
func Of(text string, limit int) string {
	if len(text) <= limit {
		return strings.ToValidUTF8(text, "")
	}
	return strings.ToValidUTF8(text[:limit], "") + mark
}

// Wrap returns an error with an excerpt of err's text, which wraps err; nil for nil.
func Wrap(err error) error {
	if err == nil {
		return nil
	}
	return &excerptError{cause: err}
}

type excerptError struct{ cause error }

// Error implements error.
func (err *excerptError) Error() string { return Of(err.cause.Error(), MaxErrorBytes) }

// Unwrap returns the error with the full text.
func (err *excerptError) Unwrap() error { return err.cause }
