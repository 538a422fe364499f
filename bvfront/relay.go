package bvfront

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"

	"balsamvalve.example/bvforward"
	"balsamvalve.example/bvroute"
	"balsamvalve.example/bvverdict"
)

const (
	// wholeBytes is the size up to which an answer is read whole before it is
	// passed on. One that breaks off can then be asked for again, or told as
	// a failure, instead of cutting the caller's connection.
	wholeBytes = 64 << 10
	// relayBytes is read at once of a stream: a few events of 140 bytes.
	relayBytes = 4 << 10
)

// relay passes an endpoint's answer on. An error with call.begun set means that
// the caller has a part of it.
func (call *call) relay(response *bvforward.Response) error {
	if response.Status < http.StatusMultipleChoices && !response.Answer.Sealed {
		return call.broken("the answer is not authenticated", nil)
	}
	if call.route.Kind == bvroute.Stream && response.Status == http.StatusOK {
		return call.relayStream(response)
	}
	first, whole, err := call.readFirst(response)
	if err != nil {
		return call.broken("the answer broke off", err)
	}
	if !whole {
		return call.relayLarge(response, first)
	}
	call.writeHead(response, int64(len(first)))
	if _, err := call.writer.Write(first); err != nil {
		return callerGone(err)
	}
	return nil
}

// readFirst reads an answer up to wholeBytes, as far as there is memory for it, and
// reports whether that is all of it.
func (call *call) readFirst(response *bvforward.Response) (first []byte, whole bool, err error) {
	chunk := int64(relayBytes)
	for len(first) < wholeBytes {
		if !call.takeMemory(chunk) {
			return first, false, nil
		}
		first = slices.Grow(first, int(chunk))
		count, err := io.ReadFull(response.Body, first[len(first):len(first)+int(chunk)])
		first = first[:len(first)+count]
		switch {
		case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF) && response.IsFullyRead():
			return first, true, nil
		case err != nil:
			return nil, false, err
		}
		chunk = min(int64(len(first)), wholeBytes-int64(len(first)))
	}
	return first, false, nil
}

// relayLarge passes on an answer of which the first part was read, while the
// rest arrives.
func (call *call) relayLarge(response *bvforward.Response, first []byte) error {
	call.writeHead(response, response.Length)
	if _, err := call.writer.Write(first); err != nil {
		return callerGone(err)
	}
	if _, err := io.Copy(call.writer, response.Body); err != nil {
		return call.broken("the answer broke off", err)
	}
	return nil
}

// broken is the error of an answer that ended early. Where the caller has left
// or its time is over, that ended it, and it says nothing of the endpoint.
func (call *call) broken(reason string, cause error) error {
	code := bvverdict.EndpointFailed
	switch {
	case call.request.Context().Err() != nil:
		code = bvverdict.Canceled
	case call.ctx.Err() != nil:
		code = bvverdict.EndpointTimeout
	}
	return bvverdict.New(bvverdict.MayHaveRun, code, "%s", reason).WithCause(cause)
}

func callerGone(cause error) error {
	return bvverdict.New(bvverdict.MayHaveRun, bvverdict.Canceled, "the caller has gone").WithCause(cause)
}

// writeHead passes on the head of an answer. A negative length is not told.
func (call *call) writeHead(response *bvforward.Response, length int64) {
	header := call.writer.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	bvforward.DropHopByHop(header, connectionNames(response.Header), call.front.parts.Wire.IsProtected)
	call.front.parts.Wire.PrepareAnswer(header)
	call.front.closing(header)
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if header.Get("Content-Type") == "" {
		header["Content-Type"] = nil // net/http would guess one
	}
	call.begun = true
	call.writer.WriteHeader(response.Status)
}

// relayStream passes on whole events as they arrive.
func (call *call) relayStream(response *bvforward.Response) error {
	buffer := make([]byte, relayBytes)
	for {
		count, err := response.Body.Read(buffer)
		if err := call.passOn(response, call.stream.add(buffer[:count])); err != nil {
			return err
		}
		if err := call.holdStream(); err != nil {
			return err
		}
		switch {
		case errors.Is(err, io.EOF):
			return call.endStream(response)
		case err != nil:
			return call.broken("the stream broke off", err)
		}
	}
}

// passOn writes whole events to the caller. The head goes out with the first
// of them: until then the request can still be answered otherwise.
func (call *call) passOn(response *bvforward.Response, whole []byte) error {
	if len(whole) == 0 {
		return nil
	}
	if !call.spend() {
		return call.broken("the engine generated more than was reserved", nil)
	}
	if !call.begun {
		call.writeHead(response, -1)
		call.firstAt = call.front.parts.Clock.Now()
		call.front.parts.Counters.Observe("first_event", call.firstAt.Sub(call.arrived))
	}
	if _, err := call.writer.Write(whole); err != nil {
		return callerGone(err)
	}
	call.stream.drop(len(whole))
	if err := http.NewResponseController(call.writer).Flush(); err != nil {
		return callerGone(err)
	}
	return nil
}

// endStream ends the caller's stream, unless the engine stopped in the middle
// of an event.
func (call *call) endStream(response *bvforward.Response) error {
	if len(call.stream.pending) > 0 {
		return call.broken("the stream ended within an event", nil)
	}
	if err := call.keepTurn(); err != nil {
		return err
	}
	if !call.begun {
		call.writeHead(response, -1)
	}
	return nil
}
