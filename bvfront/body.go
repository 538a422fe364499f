package bvfront

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"

	"balsamvalve.example/bvverdict"
)

// readBody reads the whole body, so that it can be offered to more than one
// endpoint.
func (call *call) readBody() error {
	limit := call.limits.BodyBytes
	if limit > 0 && call.request.ContentLength > limit {
		return bvverdict.Refuse(bvverdict.TooLarge, "the body is over %d bytes", limit)
	}
	reader := call.request.Body
	if limit > 0 {
		reader = http.MaxBytesReader(call.writer, reader, limit)
	}
	body, err := readAll(&heldReader{source: reader, call: call}, call.request.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return bvverdict.Refuse(bvverdict.TooLarge, "the body is over %d bytes", limit)
	case errors.Is(err, errNoMemory):
		return noMemory()
	case errors.Is(err, os.ErrDeadlineExceeded):
		call.stalled = true
		return bvverdict.Refuse(bvverdict.DeadlinePassed, "the body did not arrive in time").WithRetryAfter(shortRetry)
	case err != nil:
		return bvverdict.Refuse(bvverdict.BadRequest, "the body can't be read").WithCause(err)
	}
	call.body = body
	call.endBody()
	return nil
}

func noMemory() error {
	return bvverdict.Refuse(bvverdict.Overloaded, "no memory is left for another request").WithRetryAfter(shortRetry)
}

var errNoMemory = errors.New("no memory is left for bodies")

// heldReader takes memory for a body as it comes: its length is not known
// before, where it is sent in chunks.
type heldReader struct {
	source io.Reader
	call   *call
}

func (reader *heldReader) Read(buffer []byte) (int, error) {
	count, err := reader.source.Read(buffer)
	if !reader.call.takeMemory(int64(count)) {
		return 0, errNoMemory
	}
	return count, err
}

// firstBytes is what is taken for a body at first.
const firstBytes = 32 << 10

// readAll reads a body. A length that the caller only claims takes no memory.
func readAll(reader io.Reader, length int64) ([]byte, error) {
	var body bytes.Buffer
	body.Grow(int(min(max(length, 0), firstBytes)) + bytes.MinRead)
	_, err := body.ReadFrom(reader)
	return body.Bytes(), err
}
