package bvload

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"balsamvalve.example/bvstandin"
)

// message is one message of a program's history.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// program is the state of a running program on its caller's side.
type program struct {
	load          *load
	plan          plan
	id            string
	parent        string
	turn          int
	history       []message
	pending       []message // tool results that go with the next model call
	subAgentCount int
	lastAnswer    string // latest answer
}

// errProgramFailed is the error of a program that ends before its last step.
var errProgramFailed = errors.New("program failed")

// runProgram runs the program with the given index. Its latency counts from the planned
// start.
func (load *load) runProgram(ctx context.Context, index int, planned time.Time) {
	program := &program{
		load: load,
		plan: load.planner.program(index),
		id:   fmt.Sprintf("%s-%d", load.config.RunID, index),
	}
	load.measure.beginProgram(program.plan.member)
	err := program.run(ctx)
	if err == nil {
		load.measure.finishProgram(program.plan.member, time.Since(planned))
	} else {
		load.measure.failProgram(program.plan.member)
	}
	program.end(ctx)
}

func (program *program) run(ctx context.Context) error {
	for _, step := range program.plan.steps {
		duration := pauseOf(step.pauseMS, program.load.config.PauseFactor)
		if !pause(ctx, duration.Std()) {
			return ctx.Err()
		}
		if err := program.runStep(ctx, step); err != nil {
			return err
		}
	}
	return nil
}

func (program *program) runStep(ctx context.Context, step step) error {
	switch step.kind {
	case toolStep:
		return program.callTool(ctx, step)
	case subStep:
		return program.runSubs(ctx, step)
	}
	return program.chat(ctx, step)
}

// nextRequest returns the next request of the program.
func (program *program) nextRequest(method, path string, body []byte) apiRequest {
	program.turn++
	return apiRequest{
		method:  method,
		path:    path,
		key:     program.member().Key,
		body:    body,
		program: program.id,
		parent:  program.parent,
		class:   program.plan.class.Name,
		request: fmt.Sprintf("%s-t%d", program.id, program.turn),
		turn:    program.turn,
	}
}

func (program *program) member() Member {
	return program.load.config.Members[program.plan.member]
}

func (program *program) chat(ctx context.Context, step step) error {
	newMessages := append(program.pending, message{"user", step.text})
	program.pending = nil
	sent := newMessages
	if program.plan.fullHistory {
		sent = append(append([]message{}, program.history...), newMessages...)
	}
	body, err := chatBody(program.plan.class.Model, sent, step)
	if err != nil {
		return err
	}
	request := program.nextRequest(http.MethodPost, "/v1/chat/completions", body)
	request.fullHistory = program.plan.fullHistory
	request.stream = step.stream
	answer, failed := program.load.call(ctx, request)
	if failed != nil {
		return errors.Join(errProgramFailed, failed)
	}
	text, used, err := chatAnswer(answer, step.stream)
	if err != nil {
		return err
	}
	program.load.measure.recordChat(program.plan.member, answer, used)
	program.load.measure.recordJudgment(checkAnswer(program.history, newMessages, text, step.tokens), request.request, program.describe(text, step))
	program.history = append(program.history, newMessages...)
	program.history = append(program.history, message{"assistant", text})
	program.lastAnswer = text
	return program.fetchAgain(ctx, step, request, text)
}

func (program *program) describe(text string, step step) string {
	return fmt.Sprintf("class %s, turn %d, %d messages of history, full %t, stream %t, %d tokens: %.60q",
		program.plan.class.Name, program.turn, len(program.history), program.plan.fullHistory, step.stream, step.tokens, text)
}

func chatBody(model string, messages []message, step step) ([]byte, error) {
	type options struct {
		IncludeUsage bool `json:"include_usage"`
	}
	body := struct {
		Model         string    `json:"model"`
		Messages      []message `json:"messages"`
		MaxTokens     int       `json:"max_tokens"`
		Stream        bool      `json:"stream,omitempty"`
		StreamOptions *options  `json:"stream_options,omitempty"`
	}{Model: model, Messages: messages, MaxTokens: step.tokens, Stream: step.stream}
	if step.stream {
		body.StreamOptions = &options{IncludeUsage: true}
	}
	return json.Marshal(body)
}

func chatAnswer(answer apiAnswer, stream bool) (string, usage, error) {
	if stream {
		return answer.text, answer.usage, nil
	}
	return completionText(answer.body)
}

// fetchAgain fetches an answer that has already arrived completely, and checks that it is
// the same.
func (program *program) fetchAgain(ctx context.Context, step step, request apiRequest, text string) error {
	if !step.fetch {
		return nil
	}
	answer, failed := program.load.call(ctx, apiRequest{
		method: http.MethodGet,
		path:   answerPath(program.id, request.request),
		key:    request.key,
	})
	if failed != nil {
		if failed.isFinal() {
			program.load.measure.recordJudgment(answerLost, request.request, "fetched again: "+failed.Error())
		}
		return nil
	}
	fetched, _, err := completionText(answer.body)
	if err != nil || fetched != text {
		program.load.measure.recordJudgment(answerMixed, request.request, fmt.Sprintf("fetched again: %.60q in place of %.60q", fetched, text))
	}
	return nil
}

// callTool calls a plain service. Its result goes with the next model call.
func (program *program) callTool(ctx context.Context, step step) error {
	path := "/v1/services/" + url.PathEscape(step.tool.Service) + "/" + step.tool.Path
	body, err := json.Marshal(struct {
		About string `json:"about"`
	}{step.text})
	if err != nil {
		return err
	}
	request := program.nextRequest(http.MethodPost, path, body)
	request.unrepeatable = step.tool.Unrepeatable
	answer, failed := program.load.call(ctx, request)
	if request.unrepeatable {
		program.load.measure.recordUnrepeatable(request.request, failed)
	}
	if failed != nil && !request.unrepeatable {
		return errors.Join(errProgramFailed, failed)
	}
	if failed != nil {
		// The request may have run: the program continues and passes that on to the model.
		program.pending = append(program.pending, message{"tool", "outcome unknown"})
		return nil
	}
	program.load.measure.recordTool(program.plan.member, answer)
	program.load.measure.recordJudgment(checkTool(answer.body, request, body), request.request, fmt.Sprintf("service answered %.200q", answer.body))
	program.pending = append(program.pending, message{"tool", string(answer.body)})
	return nil
}

// runSubs runs sub-agents concurrently. Their last answers go with the next
// model call.
func (program *program) runSubs(ctx context.Context, step step) error {
	subs := make([]*subAgent, len(step.subAgents))
	var running sync.WaitGroup
	for i, plan := range step.subAgents {
		program.subAgentCount++
		subs[i] = newSubAgent(program, plan)
		running.Go(func() { subs[i].err = subs[i].run(ctx) })
	}
	running.Wait()
	for _, sub := range subs {
		sub.end(ctx)
		if sub.err != nil {
			return sub.err
		}
		program.pending = append(program.pending, message{"tool", sub.lastAnswer})
	}
	return nil
}

// subAgent is a program that was started by another program.
type subAgent struct {
	program
	err error
}

func newSubAgent(parent *program, plan plan) *subAgent {
	return &subAgent{program: program{
		load:   parent.load,
		plan:   plan,
		id:     fmt.Sprintf("%s-s%d", parent.id, parent.subAgentCount),
		parent: parent.id,
	}}
}

// end reports the end of the program to the system.
func (program *program) end(ctx context.Context) {
	_, failed := program.load.call(context.WithoutCancel(ctx), apiRequest{
		method: http.MethodDelete,
		path:   "/v1/programs/" + url.PathEscape(program.id),
		key:    program.member().Key,
	})
	if failed == nil {
		program.load.measure.recordEnd(program.member().Name, program.id)
	}
}

// checkAnswer checks a model's answer against the caller's history.
func checkAnswer(history, newMessages []message, text string, tokens int) judgment {
	want, err := digestOf(history, newMessages)
	if err != nil || bvstandin.IsAnswer(text, want, tokens) {
		return answerGood
	}
	got, _, _ := strings.Cut(text, " ")
	if got == bvstandin.FirstWord(want) {
		return judgeRest(text, want, tokens)
	}
	for from := range len(history) {
		shorter, err := digestOf(history[from+1:], newMessages)
		if err == nil && got == bvstandin.FirstWord(shorter) {
			return answerLost // the model received only a part of the history
		}
		shorter, err = digestOf(history[:from], newMessages)
		if err == nil && got == bvstandin.FirstWord(shorter) {
			return answerLost
		}
	}
	return answerMixed
}

// judgeRest checks an answer whose first word is correct.
func judgeRest(text, digest string, tokens int) judgment {
	for shorter := range tokens {
		if bvstandin.IsAnswer(text, digest, shorter) {
			return answerLost // the end is missing
		}
	}
	return answerMixed // composed of two runs
}

func digestOf(history, newMessages []message) (string, error) {
	encoded, err := json.Marshal(append(append([]message{}, history...), newMessages...))
	if err != nil {
		return "", err
	}
	return bvstandin.Digest(encoded)
}

// checkTool checks a service's answer against the request that it echoes.
func checkTool(answer []byte, request apiRequest, body []byte) judgment {
	var echo bvstandin.ServiceAnswer
	if err := json.Unmarshal(answer, &echo); err != nil {
		return answerMixed
	}
	if echo.Request != request.request || echo.Digest != bvstandin.BodyDigest(body) {
		return answerMixed
	}
	return answerGood
}
