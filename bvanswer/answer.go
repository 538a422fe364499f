// Package bvanswer encodes answers for transport between hosts and for the platform's
// table.
//
// # Usage
//
//	encoded, err := bvanswer.Encode(bvanswer.Model{Text: "hello"})
//	model, err := bvanswer.DecodeModel(encoded)
package bvanswer

import (
	"encoding/json"
	"fmt"
)

// Model is the complete answer of a model call.
type Model struct {
	Model        string `json:"model"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason"`
	PromptTokens int    `json:"prompt_tokens"`
	CachedTokens int    `json:"cached_tokens"`
	OutputTokens int    `json:"output_tokens"`
}

// Service is the complete answer of a call to a plain service.
type Service struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

// Encode returns an answer in encoded form.
func Encode[A Model | Service](answer A) ([]byte, error) {
	encoded, err := json.Marshal(answer)
	if err != nil {
		return nil, fmt.Errorf("answer: encode: %w", err)
	}
	return encoded, nil
}

// DecodeModel decodes the answer of a model call.
func DecodeModel(encoded []byte) (Model, error) {
	return decode[Model](encoded)
}

// DecodeService decodes the answer of a service call.
func DecodeService(encoded []byte) (Service, error) {
	return decode[Service](encoded)
}

func decode[A any](encoded []byte) (A, error) {
	var answer A
	if err := json.Unmarshal(encoded, &answer); err != nil {
		return answer, fmt.Errorf("answer: decode: %w", err)
	}
	return answer, nil
}
