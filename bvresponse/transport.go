package bvresponse

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport sends requests over HTTP/1.1 and returns proper responses only. Make one with
// NewTransport; it is safe for concurrent use.
type Transport struct {
	base *http.Transport
}

// NewDefaultTransport returns a Transport with the settings of http.DefaultTransport.
func NewDefaultTransport() *Transport {
	base := http.DefaultTransport.(*http.Transport).Clone()
	base.ForceAttemptHTTP2 = false // only HTTP/1.1 is checked
	return NewTransport(base)
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewTransport returns a Transport that sends over base, whose connections it checks. Nothing else may
// use base.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	dialTLS := base.DialTLSContext
	if dialTLS == nil {
		dialTLS = withTLS(dial, base)
	}
	base.DialContext, base.DialTLSContext = checked(dial), checked(dialTLS)
	return &Transport{base: base}
}

// withTLS returns a function that dials and makes the handshake, as http.Transport does.
func withTLS(dial dialFunc, base *http.Transport) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		config := base.TLSClientConfig.Clone()
		if config == nil {
			config = &tls.Config{}
		}
		if config.ServerName == "" {
			config.ServerName, _, _ = net.SplitHostPort(address)
		}
		secured := tls.Client(conn, config)
		if err := secured.HandshakeContext(ctx); err != nil {
			return nil, errors.Join(err, conn.Close())
		}
		return secured, nil
	}
}

func checked(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
}

// RoundTrip implements http.RoundTripper.
func (transport *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var used *Conn // of the present attempt; its request is written after GotConn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*Conn); ok {
			_ = conn.ExpectHead(nil) // nothing is checked yet
			conn.BeginRequest()
			used = conn
		}
	}, WroteRequest: func(httptrace.WroteRequestInfo) {
		if used != nil {
			used.EndRequest()
		}
	}}
	response, err := transport.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	response.Body = &checkedBody{ReadCloser: response.Body, response: response}
	return response, nil
}

// CloseIdleConnections closes the connections on which no request is in flight.
func (transport *Transport) CloseIdleConnections() { transport.base.CloseIdleConnections() }

// checkedBody checks the trailer that follows a body.
type checkedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (body *checkedBody) Read(buffer []byte) (int, error) {
	count, err := body.ReadCloser.Read(buffer)
	if errors.Is(err, io.EOF) {
		if trailerErr := CheckTrailer(body.response.Trailer); trailerErr != nil {
			return count, trailerErr
		}
	}
	return count, err
}
