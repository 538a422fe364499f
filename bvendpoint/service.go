package bvendpoint

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"

	"balsamvalve.example/bvgate"
	"balsamvalve.example/bvverdict"
)

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	Path         string // with the leading slash
	Method       string // empty: POST
	Body         []byte
	Header       http.Header
	Request      string // the caller's id of the request
	Unrepeatable bool
}

// ServiceResult is the answer of a plain service, whatever its status.
type ServiceResult struct {
	Status int
	Header http.Header
	Body   []byte
}

// hopHeaders concern one connection only (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host",
}

// replayHeaders make http.Transport treat any request as replayable.
var replayHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// Invoke calls a plain service once. It returns an error if there is no answer or
// the service states that it did not run the call.
func (client *Client) Invoke(ctx context.Context, address string, call ServiceCall) (ServiceResult, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, orDefault(client.ServiceTimeout, DefaultServiceTimeout).Std(), errSilent)
	defer cancel()
	exchange, err := client.newExchange(ctx, call.method(), address, call.Path, call.Body)
	if err != nil {
		return ServiceResult{}, err
	}
	call.addHeaders(exchange.request.Header)
	response, err := client.send(exchange)
	if err != nil {
		return ServiceResult{}, client.brokenCallError(ctx, exchange, address, err)
	}
	defer func() { _ = response.Body.Close() }()
	return client.serviceResult(ctx, exchange, address, response)
}

func (client *Client) serviceResult(ctx context.Context, exchange *exchange, address string, response *http.Response) (ServiceResult, error) {
	if response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests {
		if err := statusError(response); err.Verdict() == bvverdict.NotRun {
			return ServiceResult{}, err
		}
	}
	limit := orDefault(client.MaxBodyBytes, DefaultMaxBodyBytes)
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return ServiceResult{}, client.brokenCallError(ctx, exchange, address, err)
	}
	if int64(len(body)) > limit {
		return ServiceResult{}, failure(bvverdict.Ran, bvverdict.TooLarge, bvgate.Refused,
			errors.New("answer is too large"), "service answered with more than %d bytes", limit)
	}
	header := response.Header.Clone()
	removeHeaders(header, hopHeaders)
	return ServiceResult{Status: response.StatusCode, Header: header, Body: body}, nil
}

func (call ServiceCall) method() string {
	if call.Method == "" {
		return http.MethodPost
	}
	return call.Method
}

func (call ServiceCall) addHeaders(header http.Header) {
	for name, values := range call.Header {
		header[http.CanonicalHeaderKey(name)] = slices.Clone(values)
	}
	removeHeaders(header, hopHeaders)
	if call.Unrepeatable {
		removeHeaders(header, replayHeaders)
	}
	setIfNotEmpty(header, HeaderRequest, call.Request)
}

func removeHeaders(header http.Header, names []string) {
	for _, name := range names {
		header.Del(name)
	}
}
