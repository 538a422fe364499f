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

// program is one program under way, as its caller knows it.
type program struct {
	load    *load
	plan    plan
	id      string
	parent  string
	turn    int
	history []message
	pending []message // tool results that go with the next model call
	subs    int
	last    string // latest answer
}

// errProgramFailed is why a program ends before its last step.
var errProgramFailed = errors.New("program failed")

// runProgram runs a program whose start was planned for a moment.
func (load *load) runProgram(ctx context.Context, index int, planned time.Time) {
	program := &program{
		load: load,
		plan: load.planner.program(index),
		id:   fmt.Sprintf("%s-%d", load.config.Run, index),
	}
	load.measure.begin(program.plan.member)
	err := program.run(ctx)
	if err == nil {
		load.measure.finish(program.plan.member, time.Since(planned))
	} else {
		load.measure.giveUp(program.plan.member)
	}
	program.end(ctx)
}

func (program *program) run(ctx context.Context) error {
	for _, step := range program.plan.steps {
		duration := pauseOf(step.pauseMS, program.load.config.Pauses)
		if !pause(ctx, duration.Std()) {
			return ctx.Err()
		}
		if err := program.do(ctx, step); err != nil {
			return err
		}
	}
	return nil
}

func (program *program) do(ctx context.Context, step step) error {
	switch step.kind {
	case toolStep:
		return program.callTool(ctx, step)
	case subStep:
		return program.runSubs(ctx, step)
	}
	return program.chat(ctx, step)
}

// outgoing returns the next request of the program.
func (program *program) outgoing(method, path string, body []byte) outgoing {
	program.turn++
	return outgoing{
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
	fresh := append(program.pending, message{"user", step.text})
	program.pending = nil
	sent := fresh
	if program.plan.full {
		sent = append(append([]message{}, program.history...), fresh...)
	}
	body, err := chatBody(program.plan.class.Model, sent, step)
	if err != nil {
		return err
	}
	request := program.outgoing(http.MethodPost, "/v1/chat/completions", body)
	request.full = program.plan.full
	request.stream = step.stream
	answer, failed := program.load.call(ctx, request)
	if failed != nil {
		return errors.Join(errProgramFailed, failed)
	}
	text, used, err := chatAnswer(answer, step.stream)
	if err != nil {
		return err
	}
	program.load.measure.chat(program.plan.member, answer, used)
	program.load.measure.judged(checkAnswer(program.history, fresh, text, step.tokens), request.request, program.describe(text, step))
	program.history = append(program.history, fresh...)
	program.history = append(program.history, message{"assistant", text})
	program.last = text
	return program.fetchAgain(ctx, step, request, text)
}

func (program *program) describe(text string, step step) string {
	return fmt.Sprintf("class %s, turn %d, %d messages of history, full %t, stream %t, %d tokens: %.60q",
		program.plan.class.Name, program.turn, len(program.history), program.plan.full, step.stream, step.tokens, text)
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

func chatAnswer(answer incoming, stream bool) (string, usage, error) {
	if stream {
		return answer.text, answer.usage, nil
	}
	return completionText(answer.body)
}

// fetchAgain asks for an answer that was complete: it must be the same.
func (program *program) fetchAgain(ctx context.Context, step step, request outgoing, text string) error {
	if !step.fetch {
		return nil
	}
	answer, failed := program.load.call(ctx, outgoing{
		method: http.MethodGet,
		path:   answerPath(program.id, request.request),
		key:    request.key,
	})
	if failed != nil {
		if failed.final() {
			program.load.measure.judged(answerLost, request.request, "fetched again: "+failed.Error())
		}
		return nil
	}
	kept, _, err := completionText(answer.body)
	if err != nil || kept != text {
		program.load.measure.judged(answerMixed, request.request, fmt.Sprintf("fetched again: %.60q in place of %.60q", kept, text))
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
	request := program.outgoing(http.MethodPost, path, body)
	request.unrepeatable = step.tool.Unrepeatable
	answer, failed := program.load.call(ctx, request)
	if request.unrepeatable {
		program.load.measure.unrepeatable(request.request, failed)
	}
	if failed != nil && !request.unrepeatable {
		return errors.Join(errProgramFailed, failed)
	}
	if failed != nil {
		// A program whose booking may have been made goes on and says so.
		program.pending = append(program.pending, message{"tool", "outcome unknown"})
		return nil
	}
	program.load.measure.tool(program.plan.member, answer)
	program.load.measure.judged(checkTool(answer.body, request, body), request.request, fmt.Sprintf("service answered %.200q", answer.body))
	program.pending = append(program.pending, message{"tool", string(answer.body)})
	return nil
}

// runSubs runs sub-agents side by side. Their last answers go with the next
// model call.
func (program *program) runSubs(ctx context.Context, step step) error {
	subs := make([]*subAgent, len(step.subs))
	var running sync.WaitGroup
	for i, plan := range step.subs {
		program.subs++
		subs[i] = newSubAgent(program, plan)
		running.Go(func() { subs[i].err = subs[i].run(ctx) })
	}
	running.Wait()
	for _, sub := range subs {
		sub.end(ctx)
		if sub.err != nil {
			return sub.err
		}
		program.pending = append(program.pending, message{"tool", sub.last})
	}
	return nil
}

// subAgent is a program that another one started.
type subAgent struct {
	program
	err error
}

func newSubAgent(parent *program, plan plan) *subAgent {
	return &subAgent{program: program{
		load:   parent.load,
		plan:   plan,
		id:     fmt.Sprintf("%s-s%d", parent.id, parent.subs),
		parent: parent.id,
	}}
}

// end tells the system that the program has ended.
func (program *program) end(ctx context.Context) {
	_, failed := program.load.call(context.WithoutCancel(ctx), outgoing{
		method: http.MethodDelete,
		path:   "/v1/programs/" + url.PathEscape(program.id),
		key:    program.member().Key,
	})
	if failed == nil {
		program.load.measure.ended(program.member().Name, program.id)
	}
}

// checkAnswer judges a model's answer by the history that the caller knows.
func checkAnswer(history, fresh []message, text string, tokens int) judgment {
	want, err := digestOf(history, fresh)
	if err != nil || bvstandin.IsAnswer(text, want, tokens) {
		return answerGood
	}
	got, _, _ := strings.Cut(text, " ")
	if got == bvstandin.FirstWord(want) {
		return judgeRest(text, want, tokens)
	}
	for from := range len(history) {
		shorter, err := digestOf(history[from+1:], fresh)
		if err == nil && got == bvstandin.FirstWord(shorter) {
			return answerLost // the model knew only a part of the history
		}
		shorter, err = digestOf(history[:from], fresh)
		if err == nil && got == bvstandin.FirstWord(shorter) {
			return answerLost
		}
	}
	return answerMixed
}

// judgeRest judges an answer whose first word is right.
func judgeRest(text, digest string, tokens int) judgment {
	for shorter := range tokens {
		if bvstandin.IsAnswer(text, digest, shorter) {
			return answerLost // the end is missing
		}
	}
	return answerMixed // of two runs
}

func digestOf(history, fresh []message) (string, error) {
	encoded, err := json.Marshal(append(append([]message{}, history...), fresh...))
	if err != nil {
		return "", err
	}
	return bvstandin.Digest(encoded)
}

// checkTool judges a service's answer by the request that it echoes.
func checkTool(answer []byte, request outgoing, body []byte) judgment {
	var echo bvstandin.ServiceAnswer
	if err := json.Unmarshal(answer, &echo); err != nil {
		return answerMixed
	}
	if echo.Request != request.request || echo.Digest != bvstandin.BodyDigest(body) {
		return answerMixed
	}
	return answerGood
}
