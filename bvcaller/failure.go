package bvcaller

import (
	"encoding/json"
	"net/http"
	"strconv"

	"balsamvalve.example/bvtrace"
	"balsamvalve.example/bvverdict"
)

var statuses = map[bvverdict.Code]int{
	bvverdict.BadRequest:          http.StatusBadRequest,
	bvverdict.Unauthorized:        http.StatusUnauthorized,
	bvverdict.Forbidden:           http.StatusForbidden,
	bvverdict.UnknownModel:        http.StatusNotFound,
	bvverdict.UnknownService:      http.StatusNotFound,
	bvverdict.UnknownProgram:      http.StatusNotFound,
	bvverdict.UnknownRequest:      http.StatusNotFound,
	bvverdict.TurnOutOfOrder:      http.StatusConflict,
	bvverdict.ProgramEnded:        http.StatusGone,
	bvverdict.BudgetExceeded:      http.StatusPaymentRequired,
	bvverdict.LimitExceeded:       http.StatusTooManyRequests,
	bvverdict.Overloaded:          http.StatusServiceUnavailable,
	bvverdict.DeadlinePassed:      http.StatusGatewayTimeout,
	bvverdict.Poisonous:           http.StatusUnprocessableEntity,
	bvverdict.EndpointFailed:      http.StatusBadGateway,
	bvverdict.EndpointTimeout:     http.StatusGatewayTimeout,
	bvverdict.PlatformUnavailable: http.StatusServiceUnavailable,
	bvverdict.NotOwner:            http.StatusServiceUnavailable,
	bvverdict.Stopping:            http.StatusServiceUnavailable,
	bvverdict.AlreadySent:         http.StatusConflict,
	bvverdict.Conflict:            http.StatusConflict,
	bvverdict.Invalid:             http.StatusUnprocessableEntity,
	bvverdict.TooLarge:            http.StatusRequestEntityTooLarge,
}

// writeError writes a typed error with its verdict. It omits the cause, which can
// name another member's endpoint or program.
func (api *API) writeError(writer http.ResponseWriter, request *http.Request, err error) {
	api.recordRefusal(request, err)
	verdict := bvverdict.From(err)
	writer.Header().Set("Content-Type", "application/json")
	if verdict.RetryAfter() > 0 {
		writer.Header().Set("Retry-After", strconv.FormatInt(verdict.RetryAfter().Seconds(), 10))
	}
	status, found := statuses[verdict.Code()]
	if !found {
		status = http.StatusInternalServerError
	}
	writer.WriteHeader(status)
	_, _ = writer.Write(errorBody(verdict))
}

// recordRefusal counts and logs an error that is sent to a caller.
func (api *API) recordRefusal(request *http.Request, err error) {
	api.measure.CountRefusal(memberOf(request), err)
	bvtrace.LogHop(request.Context(), api.log, "caller was refused", err)
}

func errorBody(verdict *bvverdict.Error) []byte {
	body, err := json.Marshal(struct {
		Error any `json:"error"`
	}{struct {
		Message      string `json:"message"`
		Type         string `json:"type"`
		Code         string `json:"code"`
		Verdict      string `json:"verdict"`
		RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
	}{
		Message:      verdict.Reason(),
		Type:         "balsamvalve_error",
		Code:         verdict.Code().String(),
		Verdict:      verdict.Verdict().String(),
		RetryAfterMs: int64(verdict.RetryAfter()),
	}})
	if err != nil {
		return []byte(`{"error":{"message":"unexpected error","verdict":"may have run"}}`)
	}
	return body
}
