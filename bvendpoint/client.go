package bvendpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvexcerpt"
	"balsamvalve.example/bvgate"
	"balsamvalve.example/bvresponse"
	"balsamvalve.example/bvtrace"
	"balsamvalve.example/bvverdict"
)

// Defaults for the zero fields of Client.
const (
	DefaultProgressTimeout = 5 * bvclock.Second
	DefaultDialTimeout     = 1 * bvclock.Second
	DefaultServiceTimeout  = 30 * bvclock.Second
	DefaultMaxResumes      = 3
	DefaultMaxBodyBytes    = 16 << 20
	DefaultCheckTimeout    = 90 * bvclock.Millisecond
)

const (
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveProbes   = 3
	controlTimeout    = 2 * time.Second // of a release or cancel request
	maxErrorBody      = 64 << 10
	maxHeadBytes      = 256 << 10 // of an answer's head and the interim answers before it
)

// Client calls endpoints. The zero value is ready to use by many goroutines;
// fields must not change after the first call.
type Client struct {
	// ProgressTimeout is how long a stream may deliver nothing before its
	// connection counts as silent.
	ProgressTimeout bvclock.Duration
	DialTimeout     bvclock.Duration
	ServiceTimeout  bvclock.Duration // of a service call
	MaxResumes      int              // of one stream; negative means none
	MaxBodyBytes    int64            // bytes of a service's answer, and of a model's text
	// CheckTimeout is how long a service at which a call broke must accept connections to count
	// as running.
	CheckTimeout bvclock.Duration

	once      sync.Once
	transport *bvresponse.Transport
	budget    retryBudget
}

// Close closes connections on which no request is in flight.
func (client *Client) Close() {
	client.initTransport()
	client.transport.CloseIdleConnections()
}

func (client *Client) initTransport() {
	client.once.Do(func() { client.transport = client.newTransport() })
}

func (client *Client) dialer() *net.Dialer {
	return &net.Dialer{
		Timeout: orDefault(client.DialTimeout, DefaultDialTimeout).Std(),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveProbes,
		},
	}
}

// newTransport returns a transport that dials for each request. Answers have no id that joins
// them to a request: on a reused connection, a late copy of the answer to the request before
// would be another caller's answer.
func (client *Client) newTransport() *bvresponse.Transport {
	return bvresponse.NewTransport(&http.Transport{
		DialContext:            client.dialer().DialContext,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeadBytes,
	})
}

func orDefault[T int | int64 | bvclock.Duration](value, standard T) T {
	if value == 0 {
		return standard
	}
	return value
}

// Release requests that an engine drop the cached prefix of a program. A nil error
// means that the engine confirmed it.
func (client *Client) Release(ctx context.Context, address, salt, prefix string) error {
	body, err := json.Marshal(struct {
		Salt   string `json:"salt"`
		Prefix string `json:"prefix"`
	}{salt, prefix})
	if err != nil {
		return failure(bvverdict.NotRun, bvverdict.Internal, bvgate.Canceled, err, "release can't be encoded")
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	exchange, err := client.newExchange(ctx, http.MethodPost, address, "/cache/release", body)
	if err != nil {
		return err
	}
	response, err := client.send(exchange)
	if err != nil {
		return exchange.noAnswerError(err)
	}
	return checkStatus(response)
}

// checkStatus closes the response and returns its error, if its status is one.
func checkStatus(response *http.Response) error {
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		return statusError(response)
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxErrorBody))
	return nil
}

// exchange is one HTTP request, which is sent at most once.
type exchange struct {
	request   *http.Request
	connected atomic.Bool // whether a byte of the request may have left
}

// newExchange builds a request that http.Transport can't send twice.
//
// A transport that finds a reused connection broken retries the request
// automatically if it considers it replayable: a GET, HEAD, OPTIONS or TRACE, or
// any method with an Idempotency-Key header, whose body it can rewind. The service
// would run the call twice. A body without GetBody can't be rewound, even if it is
// empty, so the transport returns an error instead.
func (client *Client) newExchange(ctx context.Context, method, address, path string, body []byte) (*exchange, error) {
	client.initTransport()
	exchange := &exchange{}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { exchange.connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return nil, failure(bvverdict.NotRun, bvverdict.BadRequest, bvgate.Canceled, err, "request can't be built")
	}
	request.Body = io.NopCloser(bytes.NewReader(body))
	request.ContentLength = int64(len(body))
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	bvtrace.Inject(ctx, request.Header)
	exchange.request = request
	return exchange, nil
}

// send uses the transport itself: an http.Client would follow a redirect and
// send the request a second time.
func (client *Client) send(exchange *exchange) (*http.Response, error) {
	return client.transport.RoundTrip(exchange.request)
}

// noAnswerError returns the error of an exchange without a complete answer.
func (exchange *exchange) noAnswerError(cause error) *bvverdict.Error {
	if err := exchange.contextError(cause); err != nil {
		return err
	}
	if !exchange.connected.Load() {
		return failure(bvverdict.NotRun, bvverdict.EndpointFailed, bvgate.Refused, cause, "endpoint can't be reached")
	}
	return failure(bvverdict.MayHaveRun, bvverdict.EndpointFailed, bvgate.Crashed, cause, "connection to endpoint broke")
}

// contextError returns the error of a call whose context has ended, and nil if the
// context has not.
func (exchange *exchange) contextError(cause error) *bvverdict.Error {
	verdict := bvverdict.MayHaveRun
	if !exchange.connected.Load() {
		verdict = bvverdict.NotRun
	}
	ctx := exchange.request.Context()
	switch {
	case ctx.Err() == nil:
		return nil
	case errors.Is(context.Cause(ctx), errSilent):
		return failure(verdict, bvverdict.EndpointTimeout, bvgate.Silent, errSilent, "endpoint sent nothing in time")
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return failure(verdict, bvverdict.DeadlinePassed, bvgate.Canceled, cause, "deadline passed during the call")
	}
	return failure(verdict, bvverdict.Canceled, bvgate.Canceled, cause, "call was canceled")
}

// statusError returns the error in an endpoint's response. If the response does not
// state whether the call ran, the call may have run.
func statusError(response *http.Response) *bvverdict.Error {
	var body struct {
		Error struct {
			Message string `json:"message"`
			Code    string `json:"code"`
			Verdict string `json:"verdict"`
		} `json:"error"`
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBody))
	if err == nil {
		_ = json.Unmarshal(content, &body) // a body in another form has no verdict
	}
	verdict := bvverdict.MayHaveRun
	if body.Error.Verdict == bvverdict.NotRun.String() {
		verdict = bvverdict.NotRun
	}
	failed := failure(verdict, statusCode(response.StatusCode), bvgate.Refused, nil,
		"endpoint answered %d: %s", response.StatusCode, bvexcerpt.Of(body.Error.Message, bvexcerpt.MaxErrorBytes))
	if seconds, parseErr := strconv.Atoi(response.Header.Get("Retry-After")); parseErr == nil {
		failed = failed.WithRetryAfter(bvclock.Duration(seconds) * bvclock.Second)
	}
	return failed
}

func statusCode(status int) bvverdict.Code {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return bvverdict.Overloaded
	case http.StatusNotFound:
		return bvverdict.UnknownModel
	case http.StatusBadRequest:
		return bvverdict.BadRequest
	case http.StatusConflict:
		return bvverdict.AlreadySent
	}
	return bvverdict.EndpointFailed
}
