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
	// maxBufferedBytes is the size up to which an answer is read completely before it is
	// passed on. If a buffered answer breaks off, the request can be resent or answered
	// with an error, instead of closing the caller's connection.
	maxBufferedBytes = 64 << 10
	// streamReadBytes is the size of one read of a stream: some events of 140 bytes.
	streamReadBytes = 4 << 10
)

// relay passes an endpoint's answer on to the caller. If it returns an error and
// call.headWritten is set, the caller has received a part of the answer.
func (call *call) relay(response *bvforward.Response) error {
	if needsSeal(response.Status) && !response.Answer.Sealed {
		return call.brokenAnswerError("the answer is not authenticated", nil)
	}
	if call.route.Kind == bvroute.Stream && response.Status == http.StatusOK {
		return call.relayStream(response)
	}
	buffered, complete, err := call.readBuffered(response)
	if err != nil {
		return call.brokenAnswerError("the answer broke off", err)
	}
	if !complete {
		return call.relayLarge(response, buffered)
	}
	call.writeHead(response, int64(len(buffered)))
	if _, err := call.writer.Write(buffered); err != nil {
		return callerLeftError(err)
	}
	return nil
}

// needsSeal reports whether an answer with a status is passed on only with the endpoint's authentication
// code: successes, and statuses that callers take as a promise that the request has not run.
func needsSeal(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return status < http.StatusMultipleChoices
}

// readBuffered reads up to maxBufferedBytes of an answer, or less if no memory is left,
// and reports whether that is the complete answer.
func (call *call) readBuffered(response *bvforward.Response) (buffered []byte, complete bool, err error) {
	chunk := int64(streamReadBytes)
	for len(buffered) < maxBufferedBytes {
		if !call.acquireMemory(chunk) {
			return buffered, false, nil
		}
		buffered = slices.Grow(buffered, int(chunk))
		count, err := io.ReadFull(response.Body, buffered[len(buffered):len(buffered)+int(chunk)])
		buffered = buffered[:len(buffered)+count]
		switch {
		case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF) && response.IsFullyRead():
			return buffered, true, nil
		case err != nil:
			return nil, false, err
		}
		chunk = min(int64(len(buffered)), maxBufferedBytes-int64(len(buffered)))
	}
	return buffered, false, nil
}

// relayLarge passes on an answer whose first part is buffered, while the rest arrives.
func (call *call) relayLarge(response *bvforward.Response, buffered []byte) error {
	call.writeHead(response, response.Length)
	if _, err := call.writer.Write(buffered); err != nil {
		return callerLeftError(err)
	}
	if _, err := io.Copy(call.writer, &bulkReader{source: response.Body, call: call, count: int64(len(buffered))}); err != nil {
		return call.brokenAnswerError("the answer broke off", err)
	}
	return nil
}

// brokenAnswerError returns the error of an answer that ended early. If the caller has
// disconnected or its deadline has passed, that was the cause, and the error does not
// blame the endpoint.
func (call *call) brokenAnswerError(reason string, cause error) error {
	code := bvverdict.EndpointFailed
	switch {
	case call.request.Context().Err() != nil:
		code = bvverdict.Canceled
	case call.ctx.Err() != nil:
		code = bvverdict.EndpointTimeout
	}
	return bvverdict.New(bvverdict.MayHaveRun, code, "%s", reason).WithCause(cause)
}

func callerLeftError(cause error) error {
	return bvverdict.New(bvverdict.MayHaveRun, bvverdict.Canceled, "the caller has disconnected").WithCause(cause)
}

// writeHead passes on the head of an answer. A negative length means unknown.
func (call *call) writeHead(response *bvforward.Response, length int64) {
	header := call.writer.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	bvforward.DropHopByHop(header, connectionNames(response.Header), call.front.parts.Wire.IsProtected)
	call.front.parts.Wire.PrepareAnswer(header)
	call.front.addCloseHeader(header)
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if header.Get("Content-Type") == "" {
		header["Content-Type"] = nil // keeps net/http from guessing one
	}
	call.headWritten = true
	call.writer.WriteHeader(response.Status)
}

// relayStream passes on complete events as they arrive.
func (call *call) relayStream(response *bvforward.Response) error {
	buffer := make([]byte, streamReadBytes)
	body := &bulkReader{source: response.Body, call: call}
	for {
		count, err := body.Read(buffer)
		if err := call.writeEvents(response, call.stream.add(buffer[:count])); err != nil {
			return err
		}
		if err := call.acquireStreamMemory(); err != nil {
			return err
		}
		switch {
		case errors.Is(err, io.EOF):
			return call.finishStream(response)
		case err != nil:
			return call.brokenAnswerError("the stream broke off", err)
		}
	}
}

// writeEvents writes complete events to the caller. The head is written with the first
// of them: until then the request can still be resent or answered with an error.
func (call *call) writeEvents(response *bvforward.Response, complete []byte) error {
	if len(complete) == 0 {
		return nil
	}
	if !call.headWritten {
		if err := call.awaitRecording(); err != nil {
			return err
		}
	}
	if !call.spendTokens() {
		return call.brokenAnswerError("the engine generated more than was reserved", nil)
	}
	if !call.headWritten {
		call.writeHead(response, -1)
		call.firstEventAt = call.front.parts.Clock.Now()
		call.front.parts.Counters.Observe("first_event", call.firstEventAt.Sub(call.arrived))
	}
	if _, err := call.writer.Write(complete); err != nil {
		return callerLeftError(err)
	}
	call.stream.discard(len(complete))
	if err := http.NewResponseController(call.writer).Flush(); err != nil {
		return callerLeftError(err)
	}
	return nil
}

// finishStream persists the turn and ends the caller's stream. It fails if the engine
// stopped in the middle of an event.
func (call *call) finishStream(response *bvforward.Response) error {
	if len(call.stream.pending) > 0 {
		return call.brokenAnswerError("the stream ended within an event", nil)
	}
	if err := call.persistTurn(); err != nil {
		return err
	}
	if !call.headWritten {
		call.writeHead(response, -1)
	}
	return nil
}
