package bvowner

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"balsamvalve.example/bvanswer"
	"balsamvalve.example/bvendpoint"
	"balsamvalve.example/bvledger"
	"balsamvalve.example/bvpeer"
	"balsamvalve.example/bvpermit"
	"balsamvalve.example/bvtrace"
	"balsamvalve.example/bvverdict"
)

// runChat runs a model call on the permitted endpoint.
func (session *session) runChat(ctx context.Context, start bvledger.Start, permit *bvpermit.Permit, attempt int) (bvledger.Result, bool) {
	model := session.call.GetModel()
	prompt, err := session.prompt(start)
	if err != nil {
		permit.Finish(unusedFinish())
		return failedResult(bvverdict.Refuse(bvverdict.BadRequest, "messages can't be appended to the history")), false
	}
	call := bvendpoint.ChatCall{
		Model:     model.GetModel(),
		Messages:  prompt,
		MaxTokens: int(model.GetMaxTokens()),
		Stream:    session.streamID(start, attempt),
		Salt:      session.call.GetMember(),
		Prefix:    session.call.GetProgram(),
		Priority:  permit.Priority(),
		Params:    model.GetParameters(),
	}
	session.emit(startedEvent(permit.Endpoint(), call.Stream))
	emitted := false
	ctx, span := bvtrace.Start(ctx, "endpoint")
	span.SetEndpoint(permit.Endpoint())
	answer, err := session.owner.parts.Endpoints.Chat(ctx, permit.Address(), call, func(offset int, text string) error {
		emitted = true
		session.emit(tokenEvent(offset, text))
		return nil
	})
	span.End(err)
	reportFinish(permit, answer, err)
	result := bvledger.Result{
		Spent:    int64(answer.PromptTokens) + int64(answer.OutputTokens),
		Endpoint: permit.Endpoint(),
	}
	if err != nil {
		result.Err = bvverdict.From(err)
		// Another run generates another text: a caller that has received part of this
		// one would get a mixture.
		exposed := emitted && session.call.GetStreaming()
		return result, !exposed && !session.call.GetUnrepeatable()
	}
	session.countCacheUse(start, answer)
	return session.buildResult(result, model.GetModel(), answer), false
}

// countCacheUse counts prompt tokens, cached tokens, and the tokens of earlier turns
// that the engine had to compute again.
func (session *session) countCacheUse(start bvledger.Start, answer bvendpoint.ChatResult) {
	metrics := session.owner.metrics
	metrics.Add("prompt_tokens", int64(answer.PromptTokens))
	metrics.Add("cached_tokens", int64(answer.CachedTokens))
	metrics.Add("recomputed_tokens", max(tokensOf(start.History)-int64(answer.CachedTokens), 0))
}

// prompt returns the messages for the engine: the persisted history and the new
// messages, or only the call's messages if the caller sent the history with them and
// the ledger found it equal to the persisted one.
func (session *session) prompt(start bvledger.Start) ([]byte, error) {
	messages := session.call.GetModel().GetMessages()
	if session.call.GetFullHistory() {
		return messages, nil
	}
	return joinArrays(start.History, messages)
}

func (session *session) buildResult(result bvledger.Result, model string, answer bvendpoint.ChatResult) bvledger.Result {
	encoded, err := bvanswer.Encode(bvanswer.Model{
		Model:        model,
		Text:         answer.Text,
		FinishReason: answer.FinishReason,
		PromptTokens: answer.PromptTokens,
		CachedTokens: answer.CachedTokens,
		OutputTokens: answer.OutputTokens,
	})
	if err != nil {
		result.Err = bvverdict.From(err)
		return result
	}
	message, err := json.Marshal([]struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}{{Role: "assistant", Content: answer.Text}})
	if err != nil {
		result.Err = bvverdict.From(err)
		return result
	}
	result.Answer = encoded
	result.Message = message
	return result
}

// streamID returns the id of the stream of one attempt, in one epoch of the program.
func (session *session) streamID(start bvledger.Start, attempt int) string {
	call := session.call
	name := fmt.Sprintf("%s/%s/%d/%d/%d", call.GetMember(), call.GetProgram(), start.Turn, start.Epoch, attempt)
	return fmt.Sprintf("%016x-%016x", xxhash.Sum64String(name), xxhash.Sum64String(call.GetRequest()+name))
}

// joinArrays joins two JSON arrays. Either may be empty.
func joinArrays(first, second []byte) ([]byte, error) {
	if len(first) == 0 || string(first) == "[]" {
		return second, nil
	}
	if len(second) == 0 || string(second) == "[]" {
		return first, nil
	}
	if first[len(first)-1] != ']' || second[0] != '[' {
		return nil, fmt.Errorf("owner: not a JSON array")
	}
	joined := make([]byte, 0, len(first)+len(second))
	joined = append(joined, first[:len(first)-1]...)
	joined = append(joined, ',')
	return append(joined, second[1:]...), nil
}

func startedEvent(endpoint, stream string) *bvpeer.CallEvent {
	return &bvpeer.CallEvent{Event: &bvpeer.CallEvent_Started{
		Started: &bvpeer.StreamPosition{Endpoint: endpoint, Stream: stream},
	}}
}

func tokenEvent(offset int, text string) *bvpeer.CallEvent {
	return &bvpeer.CallEvent{Event: &bvpeer.CallEvent_Token{
		Token: &bvpeer.Token{Offset: int64(offset), Text: text},
	}}
}

func hashParts(parts ...string) uint64 {
	digest := xxhash.New()
	for _, part := range parts {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}
