package bvcaller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"balsamvalve.example/bvanswer"
	"balsamvalve.example/bvpeer"
	"balsamvalve.example/bvverdict"
)

// defaultMaxTokens bounds an answer whose caller set no bound: a budget can
// only be kept when the cost of a call has one.
const defaultMaxTokens = 4096

// chatRequest is the part of a chat completion request that is understood
// here; the other fields go to the engine as they are.
type chatRequest struct {
	model        string
	messages     json.RawMessage
	stream       bool
	includeUsage bool
	maxTokens    int32
	parameters   []byte
}

func (api *API) chat(writer http.ResponseWriter, request *http.Request, member string) {
	body, err := readBody(request)
	if err != nil {
		api.fail(writer, request, err)
		return
	}
	chat, err := parseChat(body)
	if err != nil {
		api.fail(writer, request, err)
		return
	}
	call, single, err := callOf(request, member, body)
	if err != nil {
		api.fail(writer, request, err)
		return
	}
	call.Streaming = chat.stream
	call.Target = &bvpeer.Call_Model{Model: &bvpeer.ModelCall{
		Model:      chat.model,
		Messages:   chat.messages,
		Parameters: chat.parameters,
		MaxTokens:  chat.maxTokens,
	}}
	if err := api.policy.Admit(member, call.GetClass(), call); err != nil {
		api.fail(writer, request, err)
		return
	}
	if single {
		defer api.endSingle(request.Context(), call)
	}
	if chat.stream {
		api.stream(writer, request, chat, call)
		return
	}
	api.whole(writer, request, call)
}

// endSingle ends the program that was made for a call without one.
func (api *API) endSingle(ctx context.Context, call *bvpeer.Call) {
	_ = api.entry.EndProgram(context.WithoutCancel(ctx), call.GetMember(), call.GetProgram())
}

func readBody(request *http.Request) ([]byte, error) {
	body, err := io.ReadAll(request.Body)
	if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
		return nil, bvverdict.Refuse(bvverdict.TooLarge, "the body is larger than %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return nil, badRequest("the body could not be read")
	}
	return body, nil
}

func parseChat(body []byte) (*chatRequest, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, badRequest("the body is no JSON object: %v", err)
	}
	chat := &chatRequest{maxTokens: defaultMaxTokens}
	if err := take(fields, "model", &chat.model); err != nil {
		return nil, err
	}
	if chat.model == "" {
		return nil, badRequest("model is missing")
	}
	if err := chat.takeMessages(fields); err != nil {
		return nil, err
	}
	if err := take(fields, "stream", &chat.stream); err != nil {
		return nil, err
	}
	var options struct {
		IncludeUsage bool `json:"include_usage"`
	}
	if err := take(fields, "stream_options", &options); err != nil {
		return nil, err
	}
	chat.includeUsage = options.IncludeUsage
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		if err := take(fields, name, &chat.maxTokens); err != nil {
			return nil, err
		}
	}
	if chat.maxTokens < 1 {
		return nil, badRequest("max_tokens must be at least 1")
	}
	parameters, err := json.Marshal(fields)
	if err != nil {
		return nil, badRequest("the body could not be read")
	}
	chat.parameters = parameters
	return chat, nil
}

// take decodes a field and removes it; an absent field changes nothing.
func take(fields map[string]json.RawMessage, name string, target any) error {
	raw, found := fields[name]
	if !found {
		return nil
	}
	delete(fields, name)
	if err := json.Unmarshal(raw, target); err != nil {
		return badRequest("%s has the wrong type", name)
	}
	return nil
}

func (chat *chatRequest) takeMessages(fields map[string]json.RawMessage) error {
	var messages []json.RawMessage
	if err := take(fields, "messages", &messages); err != nil {
		return err
	}
	if len(messages) == 0 {
		return badRequest("messages is missing or empty")
	}
	var compact bytes.Buffer
	joined, err := json.Marshal(messages)
	if err != nil {
		return badRequest("messages could not be read")
	}
	if err := json.Compact(&compact, joined); err != nil {
		return badRequest("messages could not be read")
	}
	chat.messages = compact.Bytes()
	return nil
}

// run waits for the whole answer of a call.
func (api *API) run(ctx context.Context, call *bvpeer.Call) (finished *bvpeer.Finished, err error) {
	err = api.entry.Run(ctx, call, func(event *bvpeer.CallEvent) error {
		if event.GetFinished() != nil {
			finished = event.GetFinished()
		}
		return nil
	})
	return finished, err
}

// whole answers with one body.
func (api *API) whole(writer http.ResponseWriter, request *http.Request, call *bvpeer.Call) {
	finished, err := api.run(request.Context(), call)
	if err != nil {
		api.fail(writer, request, err)
		return
	}
	api.writeModel(writer, request, call.GetRequest(), finished.GetAnswer())
}

func (api *API) writeModel(writer http.ResponseWriter, request *http.Request, id string, kept []byte) {
	answer, err := bvanswer.DecodeModel(kept)
	if err != nil {
		api.fail(writer, request, err)
		return
	}
	body, err := json.Marshal(completionOf(id, answer))
	if err != nil {
		api.fail(writer, request, err)
		return
	}
	api.measure.CountAnswer()
	writer.Header().Set("Content-Type", "application/json")
	_, _ = writer.Write(body)
}
