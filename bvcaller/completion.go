package bvcaller

import (
	"time"

	"balsamvalve.example/bvanswer"
)

// The types below encode the responses of the OpenAI chat completions API.

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"` // seconds since 1970, as the API specifies
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

const (
	objectCompletion = "chat.completion"
	objectChunk      = "chat.completion.chunk"
	roleAssistant    = "assistant"
)

func completionOf(request string, answer bvanswer.Model) completion {
	reason := answer.FinishReason
	return completion{
		ID:      request,
		Object:  objectCompletion,
		Created: time.Now().Unix(),
		Model:   answer.Model,
		Choices: []choice{{
			Message:      &message{Role: roleAssistant, Content: answer.Text},
			FinishReason: &reason,
		}},
		Usage: usageOf(answer),
	}
}

func usageOf(answer bvanswer.Model) *usage {
	return &usage{
		PromptTokens:     answer.PromptTokens,
		CompletionTokens: answer.OutputTokens,
		TotalTokens:      answer.PromptTokens + answer.OutputTokens,
		Details:          promptDetails{CachedTokens: answer.CachedTokens},
	}
}

func chunkOf(request, model, text string) completion {
	return completion{
		ID:      request,
		Object:  objectChunk,
		Created: time.Now().Unix(),
		Model:   model,
		Choices: []choice{{Delta: &message{Role: roleAssistant, Content: text}}},
	}
}

func lastChunkOf(request string, answer bvanswer.Model) completion {
	reason := answer.FinishReason
	return completion{
		ID:      request,
		Object:  objectChunk,
		Created: time.Now().Unix(),
		Model:   answer.Model,
		Choices: []choice{{Delta: &message{}, FinishReason: &reason}},
	}
}
