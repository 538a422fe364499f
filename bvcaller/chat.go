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

// defaultMaxTokens bounds an answer whose caller set no bound: a budget can only
// be enforced if the cost of each call is bounded.
const defaultMaxTokens = 4096

// chatRequest holds the parsed fields of a chat completion request and, in
// parameters, all others, which are passed to the engine unchanged.
type chatRequest struct {
	model        string
	messages     json.RawMessage
	stream       bool
	includeUsage bool
	maxTokens    int32
	parameters   []byte
}

func (api *API) handleChat(writer http.ResponseWriter, request *http.Request, member string) {
	body, err := readBody(request)
	if err != nil {
		api.writeError(writer, request, err)
		return
	}
	chat, err := parseChat(body)
	if err != nil {
		api.writeError(writer, request, err)
		return
	}
	call, single, err := readCall(request, member, body)
	if err != nil {
		api.writeError(writer, request, err)
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
		api.writeError(writer, request, err)
		return
	}
	if single {
		defer api.endSingleCall(request.Context(), call)
	}
	if chat.stream {
		api.respondStream(writer, request, chat, call)
		return
	}
	api.respond(writer, request, call)
}

// endSingleCall ends the program that was created for a call without one.
func (api *API) endSingleCall(ctx context.Context, call *bvpeer.Call) {
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
	if err := takeField(fields, "model", &chat.model); err != nil {
		return nil, err
	}
	if chat.model == "" {
		return nil, badRequest("model is missing")
	}
	if err := chat.takeMessages(fields); err != nil {
		return nil, err
	}
	if err := takeField(fields, "stream", &chat.stream); err != nil {
		return nil, err
	}
	var options struct {
		IncludeUsage bool `json:"include_usage"`
	}
	if err := takeField(fields, "stream_options", &options); err != nil {
		return nil, err
	}
	chat.includeUsage = options.IncludeUsage
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		if err := takeField(fields, name, &chat.maxTokens); err != nil {
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

// takeField decodes a field and removes it from fields; an absent field leaves the
// target unchanged.
func takeField(fields map[string]json.RawMessage, name string, target any) error {
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
	if err := takeField(fields, "messages", &messages); err != nil {
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

// runCall runs a call and waits for its complete answer.
func (api *API) runCall(ctx context.Context, call *bvpeer.Call) (finished *bvpeer.Finished, err error) {
	err = api.entry.Run(ctx, call, func(event *bvpeer.CallEvent) error {
		if event.GetFinished() != nil {
			finished = event.GetFinished()
		}
		return nil
	})
	return finished, err
}

// respond runs a call and sends its answer in one body, without streaming.
func (api *API) respond(writer http.ResponseWriter, request *http.Request, call *bvpeer.Call) {
	finished, err := api.runCall(request.Context(), call)
	if err != nil {
		api.writeError(writer, request, err)
		return
	}
	api.writeModel(writer, request, call.GetRequest(), finished.GetAnswer())
}

func (api *API) writeModel(writer http.ResponseWriter, request *http.Request, id string, persisted []byte) {
	answer, err := bvanswer.DecodeModel(persisted)
	if err != nil {
		api.writeError(writer, request, err)
		return
	}
	body, err := json.Marshal(completionOf(id, answer))
	if err != nil {
		api.writeError(writer, request, err)
		return
	}
	api.measure.CountAnswer()
	writer.Header().Set("Content-Type", "application/json")
	_, _ = writer.Write(body)
}
