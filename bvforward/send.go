package bvforward

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvresponse"
	"balsamvalve.example/bvroute"
	"balsamvalve.example/bvverdict"
)

const (
	// maxStrayAnswers is the maximum number of answers to other requests that are
	// skipped while waiting for the matching one.
	maxStrayAnswers = 2
	// maxStrayBytes is the maximum that is read of such an answer.
	maxStrayBytes = 1 << 20
)

// Response is an endpoint's answer. Close must be called; calling it before the body is
// read to its end closes the connection, which cancels the endpoint's work.
type Response struct {
	Status int
	Header http.Header
	Answer bvroute.Answer
	Length int64 // of the body in bytes; -1: unknown
	Body   io.Reader

	connections *Connections
	connection  *connection
	eof         *eofReader
	release     func() bool
	reusable    bool
}

// eofReader records whether the body was read to its end, and checks what follows it.
type eofReader struct {
	parsed  *http.Response
	reached bool
}

func (reader *eofReader) Read(buffer []byte) (int, error) {
	n, err := reader.parsed.Body.Read(buffer)
	if errors.Is(err, io.EOF) {
		err = cmp.Or(bvresponse.CheckTrailer(reader.parsed.Trailer), err)
	}
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		reader.reached = true
		return n, io.EOF
	}
	return n, newAnswerError(err)
}

// Send sends the request once and returns the answer when its head has been read.
// Canceling ctx closes the connection, also while the body is read. The error is a
// *bvverdict.Error that states whether the request may have run.
func (connections *Connections) Send(ctx context.Context, request *Request) (*Response, error) {
	if request.ID == "" {
		return nil, bvverdict.Refuse(bvverdict.BadRequest, "the request has no id")
	}
	connection := connections.takeIdle(request.Endpoint.ID(), request.ID)
	if connection == nil {
		opened, err := connections.dial(ctx, request.Endpoint)
		if err != nil {
			return nil, err
		}
		connection = opened
	}
	connection.record(request.ID)
	release := context.AfterFunc(ctx, func() {
		_ = connection.Close() // fails only if it is already closed
	})
	response, err := connections.roundTrip(request, connection)
	if err != nil {
		release()
		_ = connection.Close() // err already has the cause
		return nil, wrapContextError(ctx, err)
	}
	response.release = release
	return response, nil
}

// wrapContextError replaces the error caused by closing the connection by one that
// states that ctx was canceled or its deadline passed.
func wrapContextError(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	if cause == nil {
		return err
	}
	code := bvverdict.Canceled
	if errors.Is(cause, context.DeadlineExceeded) {
		code = bvverdict.EndpointTimeout
	}
	return bvverdict.New(bvverdict.Of(err), code, "request canceled or timed out while waiting for the endpoint").WithCause(err)
}

func (connections *Connections) roundTrip(request *Request, connection *connection) (*Response, error) {
	if err := connection.writeRequest(request); err != nil {
		return nil, err
	}
	for range maxStrayAnswers + 1 {
		response, err := connections.readAnswer(request, connection)
		if err != nil {
			return nil, err
		}
		if response.Answer.ID == request.ID {
			return response, nil
		}
		if err := connections.skip(request, response); err != nil {
			return nil, err
		}
	}
	return nil, newStrayError(request, OtherAnswers)
}

// skip reads an answer that does not have the request's ID to its end, or returns an error if the
// request's own answer can't follow.
func (connections *Connections) skip(request *Request, response *Response) error {
	reason, defect := OtherID, OtherAnswers
	if response.Answer.ID == "" {
		reason, defect = WithoutID, Unidentified
		connections.stopReuse(response.connection.pool)
	}
	connections.skipped[reason].Add(1)
	if !response.reusable || reason == WithoutID && response.connection.isFirstRequest() {
		return newStrayError(request, defect)
	}
	_, err := io.CopyN(io.Discard, response.Body, maxStrayBytes)
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case err == nil: // it is longer
		return newStrayError(request, defect)
	}
	return newNoAnswerError(request, err)
}

func newStrayError(request *Request, defect Defect) error {
	return bvverdict.New(bvverdict.MayHaveRun, bvverdict.EndpointFailed,
		"endpoint %s sent answers to other requests, or without an id", request.Endpoint.Name).WithCause(&AnswerError{defect: defect})
}

// writeRequest writes the request. A body larger than the buffer is written by another
// goroutine: an endpoint may answer before it has read the body, and a blocked write
// would keep that answer from being read.
func (connection *connection) writeRequest(request *Request) error {
	connection.requestWritten.Store(false)
	if err := request.writeHead(connection.writer); err != nil {
		return newSendError(request, err)
	}
	if len(request.Body) > connection.writer.Available() {
		connection.BeginRequest()
		go connection.writeBody(request.Body)
		return nil
	}
	_, _ = connection.writer.Write(request.Body) // a bufio.Writer returns its first error again
	if err := connection.writer.Flush(); err != nil {
		return newSendError(request, err)
	}
	connection.requestWritten.Store(true)
	return nil
}

func (connection *connection) writeBody(body []byte) {
	_, _ = connection.writer.Write(body)
	err := connection.writer.Flush()
	connection.EndRequest()
	connection.requestWritten.Store(err == nil) // otherwise reading the answer fails on the same connection
}

func newSendError(request *Request, cause error) error {
	return bvverdict.New(bvverdict.MayHaveRun, bvverdict.EndpointFailed,
		"connection to endpoint %s broke during the request", request.Endpoint.Name).WithCause(cause)
}

// readAnswer reads the head of one answer. It skips interim (1xx) answers.
func (connections *Connections) readAnswer(request *Request, connection *connection) (*Response, error) {
	connection.head.setBounded(true)
	defer connection.head.setBounded(false)
	buffered, _ := connection.reader.Peek(connection.reader.Buffered()) // reads nothing
	if err := connection.ExpectHead(buffered); err != nil {
		return nil, newNoAnswerError(request, newAnswerError(err))
	}
	for {
		parsed, err := http.ReadResponse(connection.reader, &http.Request{Method: request.Method})
		if err != nil {
			return nil, newNoAnswerError(request, newAnswerError(err))
		}
		if parsed.StatusCode >= http.StatusOK {
			return connections.newResponse(parsed, connection), nil
		}
	}
}

func newNoAnswerError(request *Request, cause error) error {
	return bvverdict.New(bvverdict.MayHaveRun, bvverdict.EndpointFailed, "endpoint %s gave no answer", request.Endpoint.Name).WithCause(cause)
}

func (connections *Connections) newResponse(parsed *http.Response, connection *connection) *Response {
	body := &eofReader{parsed: parsed}
	answer := connections.Wire.ReadAnswer(parsed.StatusCode, parsed.Header)
	answer.ClosesConnection = parsed.Close
	framed := parsed.ContentLength >= 0 || len(parsed.TransferEncoding) > 0
	return &Response{
		Status:      parsed.StatusCode,
		Header:      parsed.Header,
		Answer:      answer,
		Length:      parsed.ContentLength,
		Body:        body,
		connections: connections,
		connection:  connection,
		eof:         body,
		reusable:    framed && !parsed.Close,
	}
}

// IsFullyRead reports whether the body was read to its end.
func (response *Response) IsFullyRead() bool { return response.eof.reached }

// Close returns the connection to its pool if the answer was read completely and no
// bytes follow it; otherwise it closes the connection.
func (response *Response) Close() {
	released := response.release()
	clean := response.eof.reached || response.Length == 0
	if !released || !clean || !response.reusable || !response.connection.requestWritten.Load() || response.connection.reader.Buffered() > 0 {
		_ = response.connection.Close() // the connection can't be reused
		return
	}
	response.connection.idleTimeout = min(response.Answer.KeepAlive, maxIdleTimeout)
	if response.connection.idleTimeout <= 0 {
		response.connection.idleTimeout = defaultIdleTimeout
	}
	response.connections.putIdle(response.connection)
}

// drainTimeout bounds the wait for the rest of a short answer: the request may go to another
// endpoint meanwhile.
const drainTimeout = 20 * bvclock.Millisecond

// Drain reads the rest of a short answer, so that its connection can be reused. After a
// longer rest, or one that does not arrive in time, Close closes the connection.
func (response *Response) Drain() {
	if response.connection.SetReadDeadline(time.Now().Add(drainTimeout.Std())) != nil {
		return // the connection is closed
	}
	_, _ = io.CopyN(io.Discard, response.Body, bufferBytes)
	_ = response.connection.SetReadDeadline(time.Time{}) // fails only if the connection is closed
}
