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
	maxAnswerBytes = 64 << 20
	minBackoff     = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// apiRequest is a request to the caller API.
type apiRequest struct {
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
	fullHistory  bool
	stream       bool
}

// apiAnswer is the complete answer to a request.
type apiAnswer struct {
	body       []byte // complete body; nil for a stream
	text       string // text of a stream
	usage      usage
	tokenTimes []time.Time // arrival times of a stream's chunks with text
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

// callError is the reason why a request has no answer.
type callError struct {
	typed      bool // sent by the system; otherwise no complete answer arrived
	code       string
	verdict    string
	message    string
	retryAfter time.Duration
}

// Error implements error.
func (err *callError) Error() string {
	return fmt.Sprintf("%s (%s): %s", err.code, err.verdict, err.message)
}

func (err *callError) isNotRun() bool {
	return err.typed && err.verdict == bvverdict.NotRun.String()
}

// isFinal reports whether a retry is useless.
func (err *callError) isFinal() bool {
	return err.typed && finalCodes[err.code] && err.retryAfter == 0
}

// finalCodes are the error codes after which a retry is useless, unless the answer has
// a Retry-After header.
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

// call sends a request until it has an answer or a retry is useless, within the deadline
// and MaxAttempts. It retries under the same id even if the request is unrepeatable: the
// system promises that the request still runs only once.
func (load *load) call(ctx context.Context, request apiRequest) (apiAnswer, *callError) {
	ctx, cancel := context.WithTimeout(ctx, load.config.Deadline.Std())
	defer cancel()
	load.measure.countRequest()
	started := time.Now()
	backoff := minBackoff
	var last *callError
	for attempt := range load.config.MaxAttempts {
		if attempt > 0 {
			load.measure.countRetry(last)
		}
		answer, err := load.attempt(ctx, request, started)
		if err == nil {
			answer.latency = time.Since(started)
			return answer, nil
		}
		last = err
		if err.isFinal() {
			break
		}
		if !pause(ctx, max(backoff, err.retryAfter)) {
			break
		}
		backoff = min(2*backoff, maxBackoff)
	}
	load.measure.recordFailure(request, last)
	return apiAnswer{}, last
}

// attempt sends a request once, to the next daemon in turn, like a load balancer without
// affinity.
func (load *load) attempt(ctx context.Context, request apiRequest, started time.Time) (apiAnswer, *callError) {
	address := load.config.Addresses[load.nextDaemon.Add(1)%uint64(len(load.config.Addresses))]
	sent, err := http.NewRequestWithContext(ctx, request.method, "http://"+address+request.path, bytes.NewReader(request.body))
	if err != nil {
		return apiAnswer{}, transportError(err)
	}
	request.addHeaders(sent.Header, ctx)
	response, err := load.client.Do(sent)
	if err != nil {
		return apiAnswer{}, transportError(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode < http.StatusOK || response.StatusCode >= http.StatusMultipleChoices {
		return apiAnswer{}, responseError(response)
	}
	if request.stream {
		return readStream(response.Body, started)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return apiAnswer{}, transportError(err)
	}
	return apiAnswer{body: body}, nil
}

func (request apiRequest) addHeaders(header http.Header, ctx context.Context) {
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
	if request.fullHistory {
		set("Bv-History", "full")
	}
	if deadline, found := ctx.Deadline(); found {
		set("Bv-Deadline-Ms", strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	}
}

// Codes of requests without an answer from a daemon.
const (
	codeUnreachable = "unreachable" // no connection
	codeTimeout     = "timeout"     // the caller's own deadline
	codeCut         = "cut"         // the connection broke before the answer was complete
)

// transportError distinguishes an unreachable daemon from one that cut a request off: a
// planned stop may only cause the former.
func transportError(err error) *callError {
	failed := &callError{code: codeCut, message: err.Error()}
	if operation := new(net.OpError); errors.As(err, &operation) && operation.Op == "dial" {
		failed.code = codeUnreachable
	}
	if errors.Is(err, context.DeadlineExceeded) {
		failed.code = codeTimeout
	}
	return failed
}

func responseError(response *http.Response) *callError {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return transportError(err)
	}
	found := parseError(body)
	if found == nil {
		return transportError(fmt.Errorf("status %d without a typed error", response.StatusCode))
	}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		found.retryAfter = (bvclock.Duration(seconds) * bvclock.Second).Std()
	}
	return found
}

// parseError returns the typed error in a body or an event, or nil.
func parseError(body []byte) *callError {
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

// readStream reads server-sent events. The answer is complete only after [DONE].
func readStream(body io.Reader, started time.Time) (apiAnswer, *callError) {
	var answer apiAnswer
	var text bytes.Buffer
	lines := bufio.NewReader(body)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return answer, transportError(errors.Join(errCutStream, err))
		}
		data, found := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: "))
		if !found {
			continue
		}
		if string(data) == "[DONE]" {
			answer.text = text.String()
			return answer, nil
		}
		if err := answer.addChunk(data, &text, started); err != nil {
			return answer, err
		}
	}
}

var errCutStream = errors.New("stream ended without [DONE]")

func (answer *apiAnswer) addChunk(data []byte, text *bytes.Buffer, started time.Time) *callError {
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
		return transportError(err)
	}
	if len(chunk.Error) > 0 {
		return parseError(data)
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
	answer.tokenTimes = append(answer.tokenTimes, now)
	text.WriteString(chunk.Choices[0].Delta.Content)
	return nil
}

// completionText returns the text and usage of a chat completion that was not streamed.
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
