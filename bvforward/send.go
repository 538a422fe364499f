package bvforward

import (
	"context"
	"errors"
	"io"
	"net/http"

	"balsamvalve.example/bvroute"
	"balsamvalve.example/bvverdict"
)

const (
	// strayAnswers is the most answers to other requests that are skipped
	// while waiting for the right one.
	strayAnswers = 2
	// strayBytes is the most that is read of such an answer.
	strayBytes = 1 << 20
)

// Response is an endpoint's answer. Its body must be read to the end and then
// closed, or closed early, which ends the endpoint's work.
type Response struct {
	Status int
	Header http.Header
	Answer bvroute.Answer
	Length int64 // of the body in bytes; -1: not said
	// Framed is false for a body that ends with its connection, so that a
	// lost connection can look like an end.
	Framed bool
	Body   io.Reader

	connections *Connections
	connection  *connection
	whole       *wholeReader
	release     func() bool
	reusable    bool
}

// wholeReader notes whether the body was read to its end.
type wholeReader struct {
	source io.Reader
	ended  bool
}

func (reader *wholeReader) Read(buffer []byte) (int, error) {
	n, err := reader.source.Read(buffer)
	if errors.Is(err, io.EOF) {
		reader.ended = true
	}
	return n, err
}

// Send sends the request once and returns the head of its answer. The end of
// ctx closes the connection, also while the body is read. The error is a
// *bvverdict.Error that says whether the request may have run.
func (connections *Connections) Send(ctx context.Context, request *Request) (*Response, error) {
	connection := connections.take(request.Endpoint.ID())
	if connection == nil {
		opened, err := connections.open(ctx, request.Endpoint)
		if err != nil {
			return nil, err
		}
		connection = opened
	}
	release := context.AfterFunc(ctx, func() {
		_ = connection.Close() // its error would be that it is closed already
	})
	response, err := connections.roundTrip(request, connection)
	if err != nil {
		release()
		_ = connection.Close() // what failed is told in err
		return nil, explain(ctx, err)
	}
	response.release = release
	return response, nil
}

// explain puts a canceled context in the place of the error that closing the
// connection caused.
func explain(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	if cause == nil {
		return err
	}
	code := bvverdict.Canceled
	if errors.Is(cause, context.DeadlineExceeded) {
		code = bvverdict.EndpointTimeout
	}
	return bvverdict.New(bvverdict.Of(err), code, "gave up waiting for the endpoint").WithCause(err)
}

func (connections *Connections) roundTrip(request *Request, connection *connection) (*Response, error) {
	if err := connection.send(request); err != nil {
		return nil, err
	}
	for range strayAnswers + 1 {
		response, err := connections.readAnswer(request, connection)
		if err != nil {
			return nil, err
		}
		if response.belongsTo(request) {
			return response, nil
		}
		if _, err := io.CopyN(io.Discard, response.Body, strayBytes); !errors.Is(err, io.EOF) {
			break
		}
	}
	return nil, bvverdict.New(bvverdict.MayHaveRun, bvverdict.EndpointFailed,
		"endpoint %s sent answers to other requests", request.Endpoint.Name)
}

// belongsTo compares the ids. A faulty endpoint sends a second answer late,
// just where the next request's is expected; only the id tells them apart.
func (response *Response) belongsTo(request *Request) bool {
	if response.Answer.ID == "" {
		return response.Status >= http.StatusMultipleChoices
	}
	return response.Answer.ID == request.ID
}

// send writes the request. A body beyond the buffer is written beside the
// wait for the answer: an endpoint may answer before it has read the body, and
// a writer that waits for it would never see the answer.
func (connection *connection) send(request *Request) error {
	connection.written.Store(false)
	if err := request.writeHead(connection.writer); err != nil {
		return brokenSend(request, err)
	}
	if len(request.Body) > connection.writer.Available() {
		go connection.sendBody(request.Body)
		return nil
	}
	_, _ = connection.writer.Write(request.Body) // a bufio.Writer keeps its first error
	if err := connection.writer.Flush(); err != nil {
		return brokenSend(request, err)
	}
	connection.written.Store(true)
	return nil
}

func (connection *connection) sendBody(body []byte) {
	_, _ = connection.writer.Write(body)
	if err := connection.writer.Flush(); err != nil {
		return // the reader of the answer meets the same broken connection
	}
	connection.written.Store(true)
}

func brokenSend(request *Request, cause error) error {
	return bvverdict.New(bvverdict.MayHaveRun, bvverdict.EndpointFailed,
		"connection to endpoint %s broke during the request", request.Endpoint.Name).WithCause(cause)
}

// readAnswer reads one answer's head; interim answers are skipped.
func (connections *Connections) readAnswer(request *Request, connection *connection) (*Response, error) {
	connection.head.bound(true)
	defer connection.head.bound(false)
	for {
		parsed, err := http.ReadResponse(connection.reader, &http.Request{Method: request.Method})
		if err != nil {
			return nil, bvverdict.New(bvverdict.MayHaveRun, bvverdict.EndpointFailed,
				"endpoint %s gave no answer", request.Endpoint.Name).WithCause(err)
		}
		if parsed.StatusCode >= http.StatusOK {
			return connections.newResponse(parsed, connection), nil
		}
	}
}

func (connections *Connections) newResponse(parsed *http.Response, connection *connection) *Response {
	whole := &wholeReader{source: parsed.Body}
	answer := connections.Wire.ReadAnswer(parsed.StatusCode, parsed.Header)
	answer.ClosesConnection = parsed.Close
	framed := parsed.ContentLength >= 0 || len(parsed.TransferEncoding) > 0
	return &Response{
		Status:      parsed.StatusCode,
		Header:      parsed.Header,
		Answer:      answer,
		Length:      parsed.ContentLength,
		Framed:      framed,
		Body:        whole,
		connections: connections,
		connection:  connection,
		whole:       whole,
		reusable:    framed && !parsed.Close,
	}
}

// IsFullyRead reports whether the body was read to its end.
func (response *Response) IsFullyRead() bool { return response.whole.ended }

// Close keeps the connection for the next request if the answer was read whole
// and nothing follows it; otherwise it ends the connection.
func (response *Response) Close() {
	released := response.release()
	clean := response.whole.ended || response.Length == 0
	if !released || !clean || !response.reusable || !response.connection.written.Load() || response.connection.reader.Buffered() > 0 {
		_ = response.connection.Close() // nothing more is expected from it
		return
	}
	response.connection.keep = response.Answer.KeepAlive
	if response.connection.keep <= 0 {
		response.connection.keep = defaultKeep
	}
	response.connections.put(response.connection)
}

// Drain reads the rest of a short answer, so that its connection can be kept.
func (response *Response) Drain() {
	_, _ = io.CopyN(io.Discard, response.Body, bufferBytes) // a longer rest costs the connection
}
