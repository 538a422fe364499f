package bvload

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvverdict"
)

const (
	maxAnswer    = 64 << 20
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// outgoing is a request to the caller API.
type outgoing struct {
	method       string
	path         string
	key          string
	body         []byte
	program      string
	parent       string
	class        string
	request      string
	turn         int
	unrepeatable bool
	full         bool
	stream       bool
}

// incoming is the complete answer to a request.
type incoming struct {
	body       []byte // whole; of a stream nil
	text       string // of a stream
	usage      usage
	tokens     []time.Time // arrivals of a stream's chunks with text
	firstToken time.Duration
	latency    time.Duration
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// callError is why a request has no answer.
type callError struct {
	typed      bool // the system said so; otherwise no complete answer came
	code       string
	verdict    string
	message    string
	retryAfter time.Duration
}

// Error implements error.
func (err *callError) Error() string {
	return fmt.Sprintf("%s (%s): %s", err.code, err.verdict, err.message)
}

func (err *callError) notRun() bool {
	return err.typed && err.verdict == bvverdict.NotRun.String()
}

// final reports whether coming back can't help.
func (err *callError) final() bool {
	return err.typed && finalCodes[err.code] && err.retryAfter == 0
}

// finalCodes are the errors after which coming back doesn't help, unless the
// system says when to come back.
var finalCodes = map[string]bool{
	bvverdict.BadRequest.String():     true,
	bvverdict.Unauthorized.String():   true,
	bvverdict.Forbidden.String():      true,
	bvverdict.UnknownModel.String():   true,
	bvverdict.UnknownService.String(): true,
	bvverdict.UnknownProgram.String(): true,
	bvverdict.UnknownRequest.String(): true,
	bvverdict.TurnOutOfOrder.String(): true,
	bvverdict.ProgramEnded.String():   true,
	bvverdict.BudgetExceeded.String(): true,
	bvverdict.Poisonous.String():      true,
	bvverdict.AlreadySent.String():    true,
	bvverdict.Conflict.String():       true,
	bvverdict.Invalid.String():        true,
	bvverdict.TooLarge.String():       true,
}

// call sends a request until it has an answer or coming back can't help. It
// repeats it under the same id, also when it is unrepeatable: that the request
// runs once all the same is the system's promise.
func (load *load) call(ctx context.Context, request outgoing) (incoming, *callError) {
	ctx, cancel := context.WithTimeout(ctx, load.config.Deadline.Std())
	defer cancel()
	load.measure.request()
	started := time.Now()
	backoff := firstBackoff
	var last *callError
	for try := range load.config.Tries {
		if try > 0 {
			load.measure.retry(last)
		}
		answer, err := load.try(ctx, request, started)
		if err == nil {
			answer.latency = time.Since(started)
			return answer, nil
		}
		last = err
		if err.final() {
			break
		}
		if !pause(ctx, max(backoff, err.retryAfter)) {
			break
		}
		backoff = min(2*backoff, maxBackoff)
	}
	load.measure.failed(request, last)
	return incoming{}, last
}

// try sends a request once, to any daemon: the balancer has no affinity.
func (load *load) try(ctx context.Context, request outgoing, started time.Time) (incoming, *callError) {
	address := load.config.Addresses[load.next.Add(1)%uint64(len(load.config.Addresses))]
	sent, err := http.NewRequestWithContext(ctx, request.method, "http://"+address+request.path, bytes.NewReader(request.body))
	if err != nil {
		return incoming{}, untyped(err)
	}
	request.addHeaders(sent.Header, ctx)
	response, err := load.client.Do(sent)
	if err != nil {
		return incoming{}, untyped(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusBadRequest {
		return incoming{}, typed(response)
	}
	if request.stream {
		return readStream(response.Body, started)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return incoming{}, untyped(err)
	}
	return incoming{body: body}, nil
}

func (request outgoing) addHeaders(header http.Header, ctx context.Context) {
	header.Set("Authorization", "Bearer "+request.key)
	header.Set("Content-Type", "application/json")
	set := func(name, value string) {
		if value != "" {
			header.Set(name, value)
		}
	}
	set("Bv-Program", request.program)
	set("Bv-Parent", request.parent)
	set("Bv-Class", request.class)
	set("Bv-Request", request.request)
	if request.turn > 0 {
		set("Bv-Turn", strconv.Itoa(request.turn))
	}
	if request.unrepeatable {
		set("Bv-Unrepeatable", "true")
	}
	if request.full {
		set("Bv-History", "full")
	}
	if deadline, found := ctx.Deadline(); found {
		set("Bv-Deadline-Ms", strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	}
}

// Codes of requests that no daemon answered.
const (
	codeUnreachable = "unreachable" // no connection
	codeTimeout     = "timeout"     // the caller's own deadline
	codeCut         = "cut"         // the connection broke before the answer was whole
)

// untyped tells a daemon that is not there from one that cut a request off:
// a planned stop must do the first only.
func untyped(err error) *callError {
	failed := &callError{code: codeCut, message: err.Error()}
	if operation := new(net.OpError); errors.As(err, &operation) && operation.Op == "dial" {
		failed.code = codeUnreachable
	}
	if errors.Is(err, context.DeadlineExceeded) {
		failed.code = codeTimeout
	}
	return failed
}

func typed(response *http.Response) *callError {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return untyped(err)
	}
	found := errorIn(body)
	if found == nil {
		return untyped(fmt.Errorf("status %d without a typed error", response.StatusCode))
	}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		found.retryAfter = (bvclock.Duration(seconds) * bvclock.Second).Std()
	}
	return found
}

// errorIn returns the typed error that a body or an event holds, if any.
func errorIn(body []byte) *callError {
	var answer struct {
		Error *struct {
			Message string `json:"message"`
			Code    string `json:"code"`
			Verdict string `json:"verdict"`
		} `json:"error"`
	}
	if err := json.Unmarshal(body, &answer); err != nil || answer.Error == nil {
		return nil
	}
	return &callError{typed: true, code: answer.Error.Code, verdict: answer.Error.Verdict, message: answer.Error.Message}
}

// readStream reads server-sent events. Only [DONE] makes the answer complete.
func readStream(body io.Reader, started time.Time) (incoming, *callError) {
	var answer incoming
	var text bytes.Buffer
	lines := bufio.NewReader(body)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return answer, untyped(errors.Join(errCutStream, err))
		}
		data, found := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: "))
		if !found {
			continue
		}
		if string(data) == "[DONE]" {
			answer.text = text.String()
			return answer, nil
		}
		if err := answer.take(data, &text, started); err != nil {
			return answer, err
		}
	}
}

var errCutStream = errors.New("stream ended before its end")

func (answer *incoming) take(data []byte, text *bytes.Buffer, started time.Time) *callError {
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
		Usage *usage          `json:"usage"`
		Error json.RawMessage `json:"error"`
	}
	if err := json.Unmarshal(data, &chunk); err != nil {
		return untyped(err)
	}
	if len(chunk.Error) > 0 {
		return errorIn(data)
	}
	if chunk.Usage != nil {
		answer.usage = *chunk.Usage
	}
	if len(chunk.Choices) == 0 || chunk.Choices[0].Delta.Content == "" {
		return nil
	}
	now := time.Now()
	if text.Len() == 0 {
		answer.firstToken = now.Sub(started)
	}
	answer.tokens = append(answer.tokens, now)
	text.WriteString(chunk.Choices[0].Delta.Content)
	return nil
}

// completionText returns the text and usage of a whole chat completion.
func completionText(body []byte) (string, usage, error) {
	var completion struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
		Usage usage `json:"usage"`
	}
	if err := json.Unmarshal(body, &completion); err != nil {
		return "", usage{}, fmt.Errorf("answer: %w", err)
	}
	if len(completion.Choices) == 0 {
		return "", usage{}, errors.New("answer has no choice")
	}
	return completion.Choices[0].Message.Content, completion.Usage, nil
}

func answerPath(program, request string) string {
	return "/v1/programs/" + url.PathEscape(program) + "/answers/" + url.PathEscape(request)
}
