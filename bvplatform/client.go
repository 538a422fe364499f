package bvplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"sync/atomic"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvresponse"
	"balsamvalve.example/bvtrace"
)

// Default settings of a Client.
const (
	DefaultTimeout = 2 * bvclock.Second
	maxIdleConns   = 64
	maxErrorBody   = 4096
	maxAnswerBytes = 64 << 20 // more than any object or list has
)

// Client reaches a platform over HTTP. It implements Store, Objects, HostList
// and EndpointList. Set Address before the first call; the client is then
// safe for concurrent use.
type Client struct {
	Address string           // IP and port
	Timeout bvclock.Duration // of one call; 0 means DefaultTimeout
	// DialTLS connects with TLS; nil means plain HTTP.
	DialTLS func(ctx context.Context, network, address string) (net.Conn, error)

	once      sync.Once
	transport *bvresponse.Transport
}

// Endpoints implements EndpointList.
func (client *Client) Endpoints(ctx context.Context) ([]Endpoint, error) {
	var body struct{ Endpoints []Endpoint }
	err := client.get(ctx, "/endpoints", &body)
	return body.Endpoints, err
}

// Hosts implements HostList.
func (client *Client) Hosts(ctx context.Context) ([]Host, error) {
	var body struct{ Hosts []Host }
	err := client.get(ctx, "/hosts", &body)
	return body.Hosts, err
}

// Announce implements HostList.
func (client *Client) Announce(ctx context.Context, host Host) error {
	return client.write(ctx, http.MethodPut, "/hosts/"+url.PathEscape(host.Name), host)
}

// PutEndpoint adds or updates an endpoint of the list. The entry lapses unless
// it is put again within lapse; 0 means that it never lapses.
func (client *Client) PutEndpoint(ctx context.Context, endpoint Endpoint, lapse bvclock.Duration) error {
	path := fmt.Sprintf("/endpoints/%s?lapse_ms=%d", url.PathEscape(endpoint.Name), int64(lapse))
	return client.write(ctx, http.MethodPut, path, endpoint)
}

// RemoveEndpoint takes an endpoint off the list.
func (client *Client) RemoveEndpoint(ctx context.Context, name string) error {
	return client.write(ctx, http.MethodDelete, "/endpoints/"+url.PathEscape(name), nil)
}

// Commit implements Store.
func (client *Client) Commit(ctx context.Context, transaction Transaction) (int64, error) {
	encoded, err := json.Marshal(transaction)
	if err != nil {
		return 0, fmt.Errorf("platform: encoding: %w", err)
	}
	content, err := client.exchange(ctx, http.MethodPost, "/table/commit", encoded)
	if err != nil {
		return 0, err
	}
	var body struct{ Version int64 }
	if err := json.Unmarshal(content, &body); err != nil {
		return 0, fmt.Errorf("%w: answer can't be read: %v", ErrUnknown, err)
	}
	return body.Version, nil
}

// Read implements Store.
func (client *Client) Read(ctx context.Context, keys ...string) ([]Row, error) {
	parameters := struct{ Keys []string }{keys}
	var body struct{ Rows []Row }
	err := client.query(ctx, "/table/read", parameters, &body)
	return body.Rows, err
}

// Scan implements Store.
func (client *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	parameters := struct {
		Prefix string
		After  string
		Limit  int
	}{prefix, after, limit}
	var body struct{ Rows []Row }
	err := client.query(ctx, "/table/scan", parameters, &body)
	return body.Rows, err
}

// PutObject implements Objects.
func (client *Client) PutObject(ctx context.Context, name string, content []byte) error {
	_, err := client.exchange(ctx, http.MethodPut, objectPath(name), content)
	return err
}

// Object implements Objects.
func (client *Client) Object(ctx context.Context, name string) ([]byte, error) {
	content, err := client.exchange(ctx, http.MethodGet, objectPath(name), nil)
	return content, unknownToUnavailable(err)
}

// DeleteObject implements Objects.
func (client *Client) DeleteObject(ctx context.Context, name string) error {
	_, err := client.exchange(ctx, http.MethodDelete, objectPath(name), nil)
	return err
}

// Close drops idle connections.
func (client *Client) Close() {
	client.connections().CloseIdleConnections()
}

func objectPath(name string) string {
	return "/objects/" + url.PathEscape(name)
}

func (client *Client) get(ctx context.Context, path string, answer any) error {
	content, err := client.exchange(ctx, http.MethodGet, path, nil)
	if err != nil {
		return unknownToUnavailable(err)
	}
	return decode(content, answer)
}

// query sends a read-only request with a body.
func (client *Client) query(ctx context.Context, path string, parameters, answer any) error {
	encoded, err := json.Marshal(parameters)
	if err != nil {
		return fmt.Errorf("platform: encoding: %w", err)
	}
	content, err := client.exchange(ctx, http.MethodPost, path, encoded)
	if err != nil {
		return unknownToUnavailable(err)
	}
	return decode(content, answer)
}

func (client *Client) write(ctx context.Context, method, path string, message any) error {
	encoded, err := json.Marshal(message)
	if err != nil {
		return fmt.Errorf("platform: encoding: %w", err)
	}
	_, err = client.exchange(ctx, method, path, encoded)
	return err
}

func decode(content []byte, answer any) error {
	if err := json.Unmarshal(content, answer); err != nil {
		return fmt.Errorf("platform: answer can't be read: %w", errors.Join(ErrUnavailable, err))
	}
	return nil
}

// unknownToUnavailable turns an unknown outcome into ErrUnavailable, for
// calls that change nothing.
func unknownToUnavailable(err error) error {
	if errors.Is(err, ErrUnknown) {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	return err
}

// exchange makes one HTTP exchange and returns the body of a good answer.
//
// The platform's answer may be lost after the write took effect. The caller
// sees a timeout, a reset or an EOF. Only a call that never got a connection
// is known not to have been carried out; all others wrap ErrUnknown.
func (client *Client) exchange(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, client.timeout().Std())
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := client.request(httptrace.WithClientTrace(ctx, trace), method, path, body)
	if err != nil {
		return nil, err
	}
	response, err := client.connections().RoundTrip(request)
	if err != nil {
		return nil, NoAnswerError(connected.Load(), err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(http.MaxBytesReader(nil, response.Body, maxAnswerBytes))
	if err != nil {
		return nil, NoAnswerError(true, err)
	}
	return content, statusError(response.StatusCode, content)
}

func (client *Client) request(ctx context.Context, method, path string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, client.scheme()+client.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	// Without GetBody the transport can't send the request a second time when
	// a reused connection breaks; the caller reads the row back instead.
	request.GetBody = nil
	if len(body) == 0 {
		request.Body = io.NopCloser(bytes.NewReader(nil))
	}
	request.Header.Set("Content-Type", "application/json")
	bvtrace.Inject(ctx, request.Header)
	return request, nil
}

func (client *Client) scheme() string {
	if client.DialTLS == nil {
		return "http://"
	}
	return "https://"
}

// NoAnswerError returns the error of a call that got no answer: ErrUnavailable
// without a connection, since it was not carried out, otherwise ErrUnknown.
func NoAnswerError(connected bool, cause error) error {
	if connected {
		return fmt.Errorf("%w: %v", ErrUnknown, cause)
	}
	return fmt.Errorf("%w: %v", ErrUnavailable, cause)
}

func statusError(status int, content []byte) error {
	switch {
	case status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusConflict:
		return decodeConflict(content)
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests:
		return fmt.Errorf("%w: status %d", ErrUnavailable, status)
	case status >= http.StatusInternalServerError:
		return fmt.Errorf("%w: status %d", ErrUnknown, status)
	}
	return fmt.Errorf("platform: status %d: %s", status, content[:min(len(content), maxErrorBody)])
}

func decodeConflict(content []byte) error {
	conflict := &ConflictError{}
	if err := json.Unmarshal(content, conflict); err != nil {
		return fmt.Errorf("platform: conflict can't be read: %w", err)
	}
	return conflict
}

func (client *Client) timeout() bvclock.Duration {
	if client.Timeout > 0 {
		return client.Timeout
	}
	return DefaultTimeout
}

func (client *Client) connections() *bvresponse.Transport {
	client.once.Do(func() {
		client.transport = bvresponse.NewTransport(&http.Transport{
			MaxIdleConnsPerHost: maxIdleConns,
			DisableCompression:  true,
			DialTLSContext:      client.DialTLS,
		})
	})
	return client.transport
}
