package bvendpoint

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"balsamvalve.example/bvgate"
	"balsamvalve.example/bvverdict"
)

// errSilent is the cause of a connection that was closed because it made no
// progress in time.
var errSilent = errors.New("no data received in time")

// errTextTooLarge is the error of a model that generates text without end.
var errTextTooLarge = errors.New("the text is too large")

// ChatCall is one call of a model.
type ChatCall struct {
	Model     string
	Messages  json.RawMessage // JSON array: the complete prompt
	MaxTokens int             // 0: the engine's default
	Stream    string          // id of the stream, never reused; empty: it can't be resumed
	Salt      string
	Prefix    string
	Priority  int
	Fence     int64
	Params    json.RawMessage // JSON object: further fields of the OpenAI request
}

// ChatResult is the result of a call, possibly incomplete.
type ChatResult struct {
	Text         string
	PromptTokens int
	CachedTokens int // of the prompt
	OutputTokens int
	FinishReason string
	Incarnation  string // of the engine
	Resumes      int    // how often the stream was resumed
}

// Chat calls a model and passes each token to onToken, in order and exactly once.
// An error of onToken cancels the call. The result holds the tokens that have
// arrived, also if there is an error.
//
// A connection may stall permanently while new ones work, because a device on the
// path has dropped its state: neither a token nor an error arrives. If nothing
// arrives for ProgressTimeout, or the connection breaks, the stream is resumed from
// its offset over a new connection. The engine keeps the state of the call, so a
// resume can't run the call twice.
func (client *Client) Chat(ctx context.Context, address string, call ChatCall, onToken func(offset int, text string) error) (ChatResult, error) {
	body, err := call.body()
	if err != nil {
		return ChatResult{}, failure(bvverdict.NotRun, bvverdict.BadRequest, bvgate.Canceled, err, "call can't be encoded")
	}
	stream := &chatStream{client: client, address: address, call: call, onToken: onToken}
	result, err := stream.resumeUntilDone(ctx, stream.open(ctx, body))
	if err != nil && OutcomeOf(err) == bvgate.Canceled {
		stream.cancel(ctx)
	}
	return result, err
}

// body encodes the request. Messages may be large: they are copied verbatim and
// not parsed.
func (call ChatCall) body() ([]byte, error) {
	fields := make(map[string]json.RawMessage)
	if len(call.Params) > 0 {
		if err := json.Unmarshal(call.Params, &fields); err != nil {
			return nil, fmt.Errorf("params: %w", err)
		}
	}
	delete(fields, "messages")
	model, err := json.Marshal(call.Model)
	if err != nil {
		return nil, err
	}
	fields["model"] = model
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	if call.MaxTokens > 0 {
		delete(fields, "max_completion_tokens")
		fields["max_tokens"] = json.RawMessage(strconv.Itoa(call.MaxTokens))
	}
	head, err := json.Marshal(fields)
	if err != nil {
		return nil, err
	}
	body := make([]byte, 0, len(head)+len(call.Messages)+len(`,"messages":`))
	body = append(body, head[:len(head)-1]...)
	body = append(body, `,"messages":`...)
	body = append(body, call.Messages...)
	return append(body, '}'), nil
}

// chatStream is one call in flight, over one or more successive connections.
type chatStream struct {
	client     *Client
	address    string
	call       ChatCall
	onToken    func(offset int, text string) error
	text       strings.Builder
	nextOffset int // offset of the next token
	result     ChatResult
	onTokenErr error // returned by onToken
}

func (stream *chatStream) open(ctx context.Context, body []byte) *bvverdict.Error {
	return stream.runOnce(ctx, http.MethodPost, "/v1/chat/completions", body)
}

func (stream *chatStream) canResume(ctx context.Context, failed *bvverdict.Error) bool {
	outcome := OutcomeOf(failed)
	if ctx.Err() != nil || stream.call.Stream == "" || failed.Verdict() == bvverdict.NotRun {
		return false
	}
	if outcome != bvgate.Crashed && outcome != bvgate.Silent {
		return false
	}
	if errors.Is(failed, errStreamLost) {
		return false
	}
	resumes := orDefault(stream.client.MaxResumes, DefaultMaxResumes)
	return stream.result.Resumes < resumes && stream.client.budget.spend()
}

// errStreamLost marks a failure after which a resume can't succeed.
var errStreamLost = errors.New("stream is lost")

// resume continues the stream from its offset over a new connection, and returns the
// failure if there is one.
func (stream *chatStream) resume(ctx context.Context, previous *bvverdict.Error) *bvverdict.Error {
	stream.result.Resumes++
	path := fmt.Sprintf("/v1/streams/%s?offset=%d", url.PathEscape(stream.call.Stream), stream.nextOffset)
	failed := stream.runOnce(ctx, http.MethodGet, path, nil)
	if failed == nil || OutcomeOf(failed) != bvgate.Refused {
		return failed
	}
	// The engine can't be reached, or runs but does not know the stream. In both
	// cases the process that had the call has ended. If the first connection was
	// silent and carried no response, the process may never have received the call.
	outcome := bvgate.Crashed
	if OutcomeOf(previous) == bvgate.Silent && stream.result.Incarnation == "" {
		outcome = bvgate.Silent
	}
	cause := errors.Join(errStreamLost, failed)
	return failure(bvverdict.MayHaveRun, bvverdict.EndpointFailed, outcome, cause, "endpoint lost the stream")
}

// runOnce reads the stream over one connection until its end or a failure.
func (stream *chatStream) runOnce(ctx context.Context, method, path string, body []byte) *bvverdict.Error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	progress := orDefault(stream.client.ProgressTimeout, DefaultProgressTimeout).Std()
	guard := time.AfterFunc(progress, func() { cancel(errSilent) })
	defer guard.Stop()
	exchange, err := stream.client.newExchange(ctx, method, stream.address, path, body)
	if err != nil {
		return bvverdict.From(err)
	}
	stream.addHeaders(exchange.request.Header)
	response, err := stream.client.send(exchange)
	if err != nil {
		return exchange.noAnswerError(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return statusError(response)
	}
	stream.result.Incarnation = response.Header.Get(HeaderIncarnation)
	err = stream.readEvents(response.Body, func() { guard.Reset(progress) })
	switch {
	case err == nil:
		return nil
	case stream.onTokenErr != nil:
		return failure(bvverdict.MayHaveRun, bvverdict.Canceled, bvgate.Canceled, stream.onTokenErr, "call was canceled")
	case errors.Is(err, errTextTooLarge):
		return failure(bvverdict.MayHaveRun, bvverdict.TooLarge, bvgate.Refused, err, "engine generated too much text")
	case errors.Is(err, errBadStream):
		return failure(bvverdict.MayHaveRun, bvverdict.EndpointFailed, bvgate.Refused, err, "engine's stream can't be read")
	}
	return exchange.noAnswerError(err)
}

func (stream *chatStream) addHeaders(header http.Header) {
	header.Set("Accept", "text/event-stream")
	setIfNotEmpty(header, HeaderStream, stream.call.Stream)
	setIfNotEmpty(header, HeaderSalt, stream.call.Salt)
	setIfNotEmpty(header, HeaderPrefix, stream.call.Prefix)
	header.Set(HeaderPriority, strconv.Itoa(stream.call.Priority))
	if stream.call.Fence != 0 {
		header.Set(HeaderFence, strconv.FormatInt(stream.call.Fence, 10))
	}
}

func setIfNotEmpty(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}

// readEvents reads the events of one connection, up to the end of the stream.
func (stream *chatStream) readEvents(body io.Reader, progress func()) error {
	events := newEventReader(body, progress)
	for {
		event, err := events.next()
		if err != nil {
			return err
		}
		if event.done {
			return nil
		}
		if err := stream.addEvent(event); err != nil {
			return err
		}
	}
}

// addEvent adds one event to the result and passes its token to onToken.
func (stream *chatStream) addEvent(event event) error {
	if event.usage != nil {
		stream.result.PromptTokens = event.usage.PromptTokens
		stream.result.CachedTokens = event.usage.PromptTokensDetails.CachedTokens
		stream.result.OutputTokens = event.usage.CompletionTokens
	}
	if event.finishReason != "" {
		stream.result.FinishReason = event.finishReason
	}
	if event.text == "" {
		return nil
	}
	if event.hasID && event.id != stream.nextOffset {
		return fmt.Errorf("%w: received token %d, expected %d", errBadStream, event.id, stream.nextOffset)
	}
	if limit := orDefault(stream.client.MaxBodyBytes, DefaultMaxBodyBytes); int64(stream.text.Len()+len(event.text)) > limit {
		return fmt.Errorf("%w: more than %d bytes", errTextTooLarge, limit)
	}
	stream.text.WriteString(event.text)
	stream.nextOffset++
	stream.result.OutputTokens = max(stream.result.OutputTokens, stream.nextOffset)
	if stream.onToken == nil {
		return nil
	}
	stream.onTokenErr = stream.onToken(stream.nextOffset-1, event.text)
	return stream.onTokenErr
}

// cancel requests that the engine cancel the stream. Without it the engine would
// continue for some time, because the stream can be resumed.
func (stream *chatStream) cancel(ctx context.Context) {
	if stream.call.Stream == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), controlTimeout)
	defer cancel()
	path := "/v1/streams/" + url.PathEscape(stream.call.Stream)
	exchange, err := stream.client.newExchange(ctx, http.MethodDelete, stream.address, path, nil)
	if err != nil {
		return
	}
	response, err := stream.client.send(exchange)
	if err != nil {
		return
	}
	_ = checkStatus(response)
}
