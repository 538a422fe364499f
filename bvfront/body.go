package bvfront

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"

	"balsamvalve.example/bvverdict"
)

// readBody reads the body into memory, so that it can be sent to more than one
// endpoint.
func (call *call) readBody() error {
	if call.request.ContentLength == 0 {
		return nil
	}
	limit := call.limits.BodyBytes
	if limit > 0 && call.request.ContentLength > limit {
		return bvverdict.Refuse(bvverdict.TooLarge, "the body exceeds %d bytes", limit)
	}
	reader := call.request.Body
	if limit > 0 {
		reader = http.MaxBytesReader(call.writer, reader, limit)
	}
	inTime := context.AfterFunc(call.front.ending, call.endBody)
	body, err := readAll(&meteredReader{source: reader, call: call}, call.request.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case !inTime():
		call.bodyTimedOut = true
		return bvverdict.Refuse(bvverdict.Stopping, "the host stops before the body has arrived").WithRetryAfter(shortRetry)
	case errors.As(err, &tooLarge):
		return bvverdict.Refuse(bvverdict.TooLarge, "the body exceeds %d bytes", limit)
	case errors.Is(err, errNoMemory):
		return memoryError()
	case errors.Is(err, os.ErrDeadlineExceeded):
		call.bodyTimedOut = true
		return bvverdict.Refuse(bvverdict.DeadlinePassed, "the body did not arrive in time").WithRetryAfter(shortRetry)
	case err != nil:
		return bvverdict.Refuse(bvverdict.BadRequest, "the body can't be read").WithCause(err)
	}
	call.body = body
	call.clearReadDeadline()
	return nil
}

func memoryError() error {
	return bvverdict.Refuse(bvverdict.Overloaded, "no memory is left for another request").WithRetryAfter(shortRetry)
}

var errNoMemory = errors.New("no memory is left for bodies")

// meteredReader acquires memory for a body while it is read: the length of a body with
// chunked transfer encoding is not known in advance.
type meteredReader struct {
	source io.Reader
	call   *call
}

func (reader *meteredReader) Read(buffer []byte) (int, error) {
	count, err := reader.source.Read(buffer)
	if !reader.call.acquireMemory(int64(count)) {
		return 0, errNoMemory
	}
	return count, err
}

// initialBodyBytes is the maximum buffer size allocated before a body is read.
const initialBodyBytes = 32 << 10

// readAll reads a body. The length that the caller claims does not decide how much memory
// is allocated.
func readAll(reader io.Reader, length int64) ([]byte, error) {
	var body bytes.Buffer
	body.Grow(int(min(max(length, 0), initialBodyBytes)) + bytes.MinRead)
	_, err := body.ReadFrom(reader)
	return body.Bytes(), err
}
