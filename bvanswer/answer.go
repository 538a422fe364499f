// Package bvanswer is the form in which answers travel between hosts and are
// kept in the platform's table.
//
// # Usage
//
//	kept, err := bvanswer.Encode(bvanswer.Model{Text: "hello"})
//	model, err := bvanswer.DecodeModel(kept)
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

// Encode returns the form that is kept.
func Encode[A Model | Service](answer A) ([]byte, error) {
	kept, err := json.Marshal(answer)
	if err != nil {
		return nil, fmt.Errorf("answer: encode: %w", err)
	}
	return kept, nil
}

// DecodeModel reads a kept answer of a model call.
func DecodeModel(kept []byte) (Model, error) {
	return decode[Model](kept)
}

// DecodeService reads a kept answer of a service call.
func DecodeService(kept []byte) (Service, error) {
	return decode[Service](kept)
}

func decode[A any](kept []byte) (A, error) {
	var answer A
	if err := json.Unmarshal(kept, &answer); err != nil {
		return answer, fmt.Errorf("answer: decode: %w", err)
	}
	return answer, nil
}
