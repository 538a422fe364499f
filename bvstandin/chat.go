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
	maxBody = 64 << 20
	// heartbeat is the time between two comments on a stream that has no
	// token yet, so that a reader can tell a busy engine from a connection
	// that went silent.
	heartbeat = time.Second
)

// chatRequest is a request of the OpenAI API, as far as it is used.
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

// refusal is an answer to a request that was not run.
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
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBody))
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
		engine.relay(writer, request, stream, 0, chat.StreamOptions.IncludeUsage)
		return
	}
	engine.answerWhole(writer, request, stream)
}

func badRequest(writer http.ResponseWriter, err error) {
	writeError(writer, http.StatusBadRequest, "bad_request", "not run", err.Error())
}

func (engine *Engine) newStream(header http.Header, chat chatRequest, prompt prompt) *stream {
	stream := &stream{
		id:      header.Get(bvendpoint.HeaderStream),
		key:     cacheKey{header.Get(bvendpoint.HeaderSalt), header.Get(bvendpoint.HeaderPrefix)},
		prompt:  prompt,
		total:   max(chat.MaxTokens, chat.MaxCompletionTokens),
		finish:  "length",
		changed: make(chan struct{}),
		readers: 1,
	}
	stream.readings = 1
	stream.tag = tagOf(prompt.digest)
	if engine.config.Vary {
		stream.tag = rand.Text()[:4]
	}
	if stream.total <= 0 {
		stream.total = max(engine.config.OutputTokens, 0)
		stream.finish = "stop"
	}
	if stream.total == 0 {
		stream.total = defaultOutputTokens
	}
	return stream
}

// accept starts a stream or says why not.
func (engine *Engine) accept(stream *stream, model string, priority int) *refusal {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.leavingAt > 0 {
		engine.stats.LastNewMS = int64(engine.clock.Now().Sub(engine.leavingAt))
	}
	if refusal := engine.refuses(stream, model); refusal != nil {
		engine.stats.Refused++
		return refusal
	}
	if stream.id != "" {
		engine.streams[stream.id] = stream
	}
	engine.submit(stream, priority)
	return nil
}

func (engine *Engine) refuses(stream *stream, model string) *refusal {
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
	stream := engine.reopen(request.PathValue("id"))
	if stream == nil {
		writeError(writer, http.StatusNotFound, "unknown_stream", "may have run", "stream is not known")
		return
	}
	engine.relay(writer, request, stream, offset, true)
}

func (engine *Engine) reopen(id string) *stream {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	stream := engine.streams[id]
	if stream == nil || stream.state == streamCanceled {
		return nil
	}
	engine.stats.Resumed++
	stream.readers++
	stream.readings++
	return stream
}

func (engine *Engine) cancel(writer http.ResponseWriter, request *http.Request) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	id := request.PathValue("id")
	known := engine.streams[id]
	if known == nil {
		// The request may still be on its way over a slow connection: it must
		// not start after its cancel was confirmed.
		known = &stream{id: id, state: streamCanceled, changed: make(chan struct{})}
		engine.streams[id] = known
		engine.forgetLater(known)
	}
	engine.stop(known)
	writeJSON(writer, http.StatusOK, struct {
		State    string `json:"state"`
		Produced int    `json:"produced"`
	}{known.state.String(), known.produced})
}

// closeReader notes that a connection no longer reads the stream.
func (engine *Engine) closeReader(stream *stream) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	stream.readers--
	if stream.readers > 0 {
		return
	}
	if stream.id == "" {
		engine.stop(stream)
		return
	}
	engine.forgetLater(stream)
}

func (engine *Engine) forgetLater(stream *stream) {
	grace := engine.config.Grace
	if grace == 0 {
		grace = defaultGrace
	}
	readings := stream.readings
	time.AfterFunc(grace.Std(), func() { engine.abandon(stream, readings) })
}

// view is what a reader sees of a stream at one moment.
type view struct {
	state    streamState
	produced int
	cached   int
	changed  <-chan struct{}
	silent   bool
}

func (engine *Engine) view(stream *stream, remote string, sent int) view {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	first := stream.readings == 1
	after := engine.faults.SilentAfter
	if after > 0 && first && sent >= after {
		engine.silent[remote] = true
	}
	return view{stream.state, stream.produced, stream.cached, stream.changed, engine.silent[remote]}
}

// relay sends a stream's tokens from an offset on, as server-sent events, and
// its usage at the end if it is wanted.
func (engine *Engine) relay(writer http.ResponseWriter, request *http.Request, stream *stream, offset int, usage bool) {
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
		offset = events.tokens(offset, view.produced, engine.silentAfter(stream))
		if view.state != streamRunning && offset >= view.produced {
			events.end(view)
			return
		}
		if engine.silentAt(stream, offset) {
			continue
		}
		if !events.wait(request, view.changed) {
			return
		}
	}
}

// silentAfter returns how many tokens the stream's connection may bring.
func (engine *Engine) silentAfter(stream *stream) int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.faults.SilentAfter > 0 && stream.readings == 1 {
		return engine.faults.SilentAfter
	}
	return stream.total
}

func (engine *Engine) silentAt(stream *stream, offset int) bool {
	return offset >= engine.silentAfter(stream) && offset < stream.total
}

// answerWhole answers in one piece when the stream is complete.
func (engine *Engine) answerWhole(writer http.ResponseWriter, request *http.Request, stream *stream) {
	defer engine.closeReader(stream)
	for {
		view := engine.view(stream, request.RemoteAddr, 0)
		if view.state == streamFinished {
			writeWhole(writer, stream, view)
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
		CompletionTokens: view.produced,
		TotalTokens:      stream.prompt.tokens + view.produced,
	}
	usage.PromptTokensDetails.CachedTokens = view.cached
	return usage
}

func writeWhole(writer http.ResponseWriter, stream *stream, view view) {
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	type choice struct {
		Index        int     `json:"index"`
		Message      message `json:"message"`
		FinishReason string  `json:"finish_reason"`
	}
	text := answerText(stream.prompt.digest, stream.tag, stream.total)
	writeJSON(writer, http.StatusOK, struct {
		ID      string    `json:"id"`
		Object  string    `json:"object"`
		Choices []choice  `json:"choices"`
		Usage   chatUsage `json:"usage"`
	}{
		ID:      "chatcmpl-" + stream.prompt.digest,
		Object:  "chat.completion",
		Choices: []choice{{Message: message{"assistant", text}, FinishReason: stream.finish}},
		Usage:   usageOf(stream, view),
	})
}

// eventWriter writes server-sent events.
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

// tokens writes the tokens from one offset to another, not beyond a limit.
func (events *eventWriter) tokens(from, to, limit int) int {
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

// end writes the end of a stream that finished, and breaks the connection of
// any other.
func (events *eventWriter) end(view view) {
	if view.state != streamFinished {
		panic(http.ErrAbortHandler)
	}
	digest := events.stream.prompt.digest
	_, _ = fmt.Fprintf(&events.buffer, "data: "+chunkHead+`{"index":0,"delta":{},"finish_reason":%q}]}`+"\n\n", digest, events.stream.finish)
	if events.usage {
		usage, _ := json.Marshal(usageOf(events.stream, view))
		_, _ = fmt.Fprintf(&events.buffer, "data: "+chunkHead+`],"usage":%s}`+"\n\n", digest, usage)
	}
	events.buffer.WriteString("data: [DONE]\n\n")
	events.flushNow()
}

// wait returns at the next change of the stream. It reports false when the
// client is gone.
func (events *eventWriter) wait(request *http.Request, changed <-chan struct{}) bool {
	timer := time.NewTimer(heartbeat)
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
