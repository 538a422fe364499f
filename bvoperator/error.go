package bvoperator

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvtable"
	"balsamvalve.example/bvverdict"
)

// Failure is the body of an error, under the key "error".
type Failure struct {
	Code       string                     `json:"code"`
	Verdict    string                     `json:"verdict"` // whether the edit may have been accepted
	Reason     string                     `json:"reason"`
	RetryAfter bvclock.Duration           `json:"retry_after_ms,omitempty"`
	Problems   []bvtable.Problem          `json:"problems,omitempty"`
	Conflict   *bvtable.CellConflictError `json:"conflict,omitempty"`
}

// Error implements error, with a line for each invalid cell.
func (failure *Failure) Error() string {
	lines := []string{fmt.Sprintf("%s (%s): %s", failure.Code, failure.Verdict, failure.Reason)}
	for _, problem := range failure.Problems {
		lines = append(lines, problem.String())
	}
	if failure.Conflict != nil {
		lines = append(lines, failure.Conflict.Error())
	}
	return strings.Join(lines, "\n  ")
}

type failureBody struct {
	Error *Failure `json:"error"`
}

// WriteError writes an error as JSON with its status code.
func WriteError(writer http.ResponseWriter, err error) {
	verdict := bvverdict.From(err)
	failure := &Failure{
		Code:       verdict.Code().String(),
		Verdict:    verdict.Verdict().String(),
		Reason:     verdict.Reason(),
		RetryAfter: verdict.RetryAfter(),
	}
	var invalid *bvtable.InvalidError
	if errors.As(err, &invalid) {
		failure.Problems = invalid.Problems
	}
	_ = errors.As(err, &failure.Conflict)
	if cause := verdict.Unwrap(); cause != nil && invalid == nil && failure.Conflict == nil {
		failure.Reason += ": " + cause.Error()
	}
	if verdict.RetryAfter() > 0 {
		writer.Header().Set("Retry-After", strconv.FormatInt(verdict.RetryAfter().Seconds(), 10))
	}
	writer.Header().Set("Content-Type", jsonType)
	writer.WriteHeader(statusCode(verdict.Code()))
	_ = json.NewEncoder(writer).Encode(failureBody{failure}) // fails if the client disconnected
}

func statusCode(code bvverdict.Code) int {
	switch code {
	case bvverdict.BadRequest:
		return http.StatusBadRequest
	case bvverdict.Unauthorized:
		return http.StatusUnauthorized
	case bvverdict.Forbidden:
		return http.StatusForbidden
	case bvverdict.Conflict:
		return http.StatusConflict
	case bvverdict.Invalid:
		return http.StatusUnprocessableEntity
	case bvverdict.PlatformUnavailable, bvverdict.Overloaded:
		return http.StatusServiceUnavailable
	default:
		return http.StatusInternalServerError
	}
}
