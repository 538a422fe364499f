package bvstandin

import (
	"bytes"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"balsamvalve.example/bvendpoint"
)

const (
	maxBodyBytes = 64 << 20
	// heartbeatInterval is the time between two comments on a stream that waits for
	// its next token. The comments let a reader distinguish a busy engine from a silent
	// connection.
	heartbeatInterval = time.Second
)

// chatRequest holds the fields of an OpenAI chat completion request that the engine uses.
type chatRequest struct {
	Model               string          `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// refusal is the error response to a request that was not run.
type refusal struct {
	status  int
	code    string
	verdict string
	message string
}

func (refusal *refusal) write(writer http.ResponseWriter) {
	if refusal.status == http.StatusServiceUnavailable {
		writer.Header().Set("Retry-After", "1")
	}
	writeError(writer, refusal.status, refusal.code, refusal.verdict, refusal.message)
}

func (engine *Engine) chat(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBodyBytes))
	if err != nil {
		badRequest(writer, err)
		return
	}
	var chat chatRequest
	if err := json.Unmarshal(body, &chat); err != nil {
		badRequest(writer, err)
		return
	}
	prompt, err := parsePrompt(chat.Messages)
	if err != nil {
		badRequest(writer, err)
		return
	}
	stream := engine.newStream(request.Header, chat, prompt)
	stream.poisoned = bytes.Contains(body, []byte(PoisonMarker))
	priority, _ := strconv.Atoi(request.Header.Get(bvendpoint.HeaderPriority))
	if refusal := engine.accept(stream, chat.Model, priority); refusal != nil {
		refusal.write(writer)
		return
	}
	if chat.Stream {
		engine.serveStream(writer, request, stream, 0, chat.StreamOptions.IncludeUsage)
		return
	}
	engine.serveCompletion(writer, request, stream)
}

func badRequest(writer http.ResponseWriter, err error) {
	writeError(writer, http.StatusBadRequest, "bad_request", "not run", err.Error())
}

func (engine *Engine) newStream(header http.Header, chat chatRequest, prompt prompt) *stream {
	stream := &stream{
		id:           header.Get(bvendpoint.HeaderStream),
		key:          cacheKey{header.Get(bvendpoint.HeaderSalt), header.Get(bvendpoint.HeaderPrefix)},
		prompt:       prompt,
		totalTokens:  max(chat.MaxTokens, chat.MaxCompletionTokens),
		finishReason: "length",
		changed:      make(chan struct{}),
		readers:      1,
	}
	stream.totalReaders = 1
	stream.tag = tagOf(prompt.digest)
	if engine.config.Vary {
		stream.tag = rand.Text()[:4]
	}
	if stream.totalTokens <= 0 {
		stream.totalTokens = max(engine.config.OutputTokens, 0)
		stream.finishReason = "stop"
	}
	if stream.totalTokens == 0 {
		stream.totalTokens = defaultOutputTokens
	}
	return stream
}

// accept starts a stream, or returns why it is refused.
func (engine *Engine) accept(stream *stream, model string, priority int) *refusal {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.leavingAt > 0 {
		engine.stats.LastNewCallMS = int64(engine.clock.Now().Sub(engine.leavingAt))
	}
	if refusal := engine.checkRefusal(stream, model); refusal != nil {
		engine.stats.Refused++
		return refusal
	}
	if stream.id != "" {
		engine.streams[stream.id] = stream
	}
	engine.submit(stream, priority)
	return nil
}

func (engine *Engine) checkRefusal(stream *stream, model string) *refusal {
	if engine.config.Model != "" && model != engine.config.Model {
		return &refusal{http.StatusNotFound, "model_not_found", "not run", "no model " + model + " here"}
	}
	if known := engine.streams[stream.id]; known != nil {
		return &refusal{http.StatusConflict, "already_sent", "may have run", "stream is " + known.state.String()}
	}
	if engine.faults.Refuse {
		return &refusal{http.StatusServiceUnavailable, "overloaded", "not run", "engine refuses calls"}
	}
	if engine.config.MaxWaiting > 0 && engine.model.WaitingCalls() >= engine.config.MaxWaiting {
		return &refusal{http.StatusServiceUnavailable, "overloaded", "not run", "queue is full"}
	}
	return nil
}

func (engine *Engine) resume(writer http.ResponseWriter, request *http.Request) {
	offset, err := strconv.Atoi(request.URL.Query().Get("offset"))
	if err != nil || offset < 0 {
		badRequest(writer, errors.New("offset must be a number of tokens"))
		return
	}
	stream := engine.addReader(request.PathValue("id"))
	if stream == nil {
		writeError(writer, http.StatusNotFound, "unknown_stream", "may have run", "stream is not known")
		return
	}
	engine.serveStream(writer, request, stream, offset, true)
}

func (engine *Engine) addReader(id string) *stream {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	stream := engine.streams[id]
	if stream == nil || stream.state == streamCanceled {
		return nil
	}
	engine.stats.Resumed++
	stream.readers++
	stream.totalReaders++
	return stream
}

func (engine *Engine) cancel(writer http.ResponseWriter, request *http.Request) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	id := request.PathValue("id")
	known := engine.streams[id]
	if known == nil {
		// The request may still arrive over a slow connection. It must not start
		// after its cancellation was confirmed.
		known = &stream{id: id, state: streamCanceled, changed: make(chan struct{})}
		engine.streams[id] = known
		engine.scheduleCancel(known)
	}
	engine.cancelStream(known)
	writeJSON(writer, http.StatusOK, struct {
		State    string `json:"state"`
		Produced int    `json:"produced"`
	}{known.state.String(), known.producedTokens})
}

// closeReader removes a reader from the stream. Without any reader, a stream that can't
// be resumed is canceled at once and any other after the grace period.
func (engine *Engine) closeReader(stream *stream) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	stream.readers--
	if stream.readers > 0 {
		return
	}
	if stream.id == "" {
		engine.cancelStream(stream)
		return
	}
	engine.scheduleCancel(stream)
}

func (engine *Engine) scheduleCancel(stream *stream) {
	grace := engine.config.Grace
	if grace == 0 {
		grace = defaultGrace
	}
	totalReaders := stream.totalReaders
	time.AfterFunc(grace.Std(), func() { engine.cancelUnread(stream, totalReaders) })
}

// view is a snapshot of a stream for one reader.
type view struct {
	state          streamState
	producedTokens int
	cachedTokens   int
	changed        <-chan struct{}
	silent         bool
}

func (engine *Engine) view(stream *stream, remote string, sent int) view {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	first := stream.totalReaders == 1
	after := engine.faults.SilentAfter
	if after > 0 && first && sent >= after {
		engine.silentConnections[remote] = true
	}
	return view{stream.state, stream.producedTokens, stream.cachedTokens, stream.changed, engine.silentConnections[remote]}
}

// serveStream sends a stream's tokens from an offset on as server-sent events, followed
// by the usage if requested.
func (engine *Engine) serveStream(writer http.ResponseWriter, request *http.Request, stream *stream, offset int, usage bool) {
	defer engine.closeReader(stream)
	writer.Header().Set("Content-Type", "text/event-stream")
	events := &eventWriter{writer: writer, stream: stream, usage: usage, flush: http.NewResponseController(writer)}
	events.flushNow()
	for {
		view := engine.view(stream, request.RemoteAddr, offset)
		if view.silent {
			<-request.Context().Done()
			return
		}
		offset = events.writeTokens(offset, view.producedTokens, engine.tokensBeforeSilence(stream))
		if view.state != streamRunning && offset >= view.producedTokens {
			events.writeEnd(view)
			return
		}
		if engine.isSilentAt(stream, offset) {
			continue
		}
		if !events.waitForChange(request, view.changed) {
			return
		}
	}
}

// tokensBeforeSilence returns how many tokens the stream's connection may carry.
func (engine *Engine) tokensBeforeSilence(stream *stream) int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.faults.SilentAfter > 0 && stream.totalReaders == 1 {
		return engine.faults.SilentAfter
	}
	return stream.totalTokens
}

func (engine *Engine) isSilentAt(stream *stream, offset int) bool {
	return offset >= engine.tokensBeforeSilence(stream) && offset < stream.totalTokens
}

// serveCompletion waits until the stream is finished and sends the answer as one JSON
// object.
func (engine *Engine) serveCompletion(writer http.ResponseWriter, request *http.Request, stream *stream) {
	defer engine.closeReader(stream)
	for {
		view := engine.view(stream, request.RemoteAddr, 0)
		if view.state == streamFinished {
			writeCompletion(writer, stream, view)
			return
		}
		if view.state != streamRunning {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-view.changed:
		case <-request.Context().Done():
			return
		}
	}
}

// chatUsage is the usage object of the OpenAI API.
type chatUsage struct {
	PromptTokens        int `json:"prompt_tokens"`
	CompletionTokens    int `json:"completion_tokens"`
	TotalTokens         int `json:"total_tokens"`
	PromptTokensDetails struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

func usageOf(stream *stream, view view) chatUsage {
	usage := chatUsage{
		PromptTokens:     stream.prompt.tokens,
		CompletionTokens: view.producedTokens,
		TotalTokens:      stream.prompt.tokens + view.producedTokens,
	}
	usage.PromptTokensDetails.CachedTokens = view.cachedTokens
	return usage
}

func writeCompletion(writer http.ResponseWriter, stream *stream, view view) {
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	type choice struct {
		Index        int     `json:"index"`
		Message      message `json:"message"`
		FinishReason string  `json:"finish_reason"`
	}
	text := answerText(stream.prompt.digest, stream.tag, stream.totalTokens)
	writeJSON(writer, http.StatusOK, struct {
		ID      string    `json:"id"`
		Object  string    `json:"object"`
		Choices []choice  `json:"choices"`
		Usage   chatUsage `json:"usage"`
	}{
		ID:      "chatcmpl-" + stream.prompt.digest,
		Object:  "chat.completion",
		Choices: []choice{{Message: message{"assistant", text}, FinishReason: stream.finishReason}},
		Usage:   usageOf(stream, view),
	})
}

// eventWriter writes a stream as server-sent events.
type eventWriter struct {
	writer http.ResponseWriter
	stream *stream
	usage  bool
	flush  *http.ResponseController
	buffer bytes.Buffer
}

func (events *eventWriter) flushNow() {
	_, _ = events.writer.Write(events.buffer.Bytes())
	events.buffer.Reset()
	_ = events.flush.Flush()
}

const chunkHead = `{"id":"chatcmpl-%s","object":"chat.completion.chunk","choices":[`

// writeTokens writes the tokens from one offset up to another, capped by limit, and
// returns the next offset.
func (events *eventWriter) writeTokens(from, to, limit int) int {
	digest := events.stream.prompt.digest
	to = min(to, limit)
	for offset := from; offset < to; offset++ {
		role := ""
		if offset == 0 {
			role = `"role":"assistant",`
		}
		_, _ = fmt.Fprintf(&events.buffer, "id: %d\ndata: "+chunkHead, offset, digest)
		_, _ = fmt.Fprintf(&events.buffer, `{"index":0,"delta":{%s"content":%q},"finish_reason":null}]}`+"\n\n", role, tokenText(digest, events.stream.tag, offset))
	}
	if to > from {
		events.flushNow()
	}
	return max(from, to)
}

// writeEnd writes the end of a finished stream. For any other stream it aborts the
// connection.
func (events *eventWriter) writeEnd(view view) {
	if view.state != streamFinished {
		panic(http.ErrAbortHandler)
	}
	digest := events.stream.prompt.digest
	_, _ = fmt.Fprintf(&events.buffer, "data: "+chunkHead+`{"index":0,"delta":{},"finish_reason":%q}]}`+"\n\n", digest, events.stream.finishReason)
	if events.usage {
		usage, _ := json.Marshal(usageOf(events.stream, view))
		_, _ = fmt.Fprintf(&events.buffer, "data: "+chunkHead+`],"usage":%s}`+"\n\n", digest, usage)
	}
	events.buffer.WriteString("data: [DONE]\n\n")
	events.flushNow()
}

// waitForChange waits for the next change of the stream, or sends a comment after
// heartbeatInterval. It returns false if the client has disconnected.
func (events *eventWriter) waitForChange(request *http.Request, changed <-chan struct{}) bool {
	timer := time.NewTimer(heartbeatInterval)
	defer timer.Stop()
	for {
		select {
		case <-changed:
			return true
		case <-request.Context().Done():
			return false
		case <-timer.C:
			events.buffer.WriteString(": waiting\n\n")
			events.flushNow()
			return true
		}
	}
}
