package bvstandin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// bytesPerToken stands in for a tokenizer: each token is this many bytes.
const bytesPerToken = 4

// Tokens returns the number of tokens that the stand-in counts for the given number of
// bytes of canonical JSON.
func Tokens(bytes int) int {
	return (bytes + bytesPerToken - 1) / bytesPerToken
}

// Digest returns the digest of a JSON array of messages. It doesn't depend on the
// whitespace or the order of the fields.
func Digest(messages json.RawMessage) (string, error) {
	prompt, err := parsePrompt(messages)
	return prompt.digest, err
}

// FirstWord returns the first word of an engine's answer to messages with the
// given digest.
func FirstWord(digest string) string {
	return "digest:" + digest
}

// AnswerText returns the text of an engine's complete answer with the given number of
// tokens.
func AnswerText(digest string, tokens int) string {
	return answerText(digest, tagOf(digest), tokens)
}

// IsAnswer reports whether text is the complete answer of a single run of an engine,
// whether or not the engine varies its answers.
func IsAnswer(text, digest string, tokens int) bool {
	tag := tagOf(digest)
	if _, rest, found := strings.Cut(text, " "); found {
		tag, _, _ = strings.Cut(rest, ".")
	}
	return text == answerText(digest, tag, tokens)
}

// tagOf returns the tag in every token but the first of an engine that doesn't vary its
// answers.
func tagOf(digest string) string {
	return digest[:4]
}

func answerText(digest, tag string, tokens int) string {
	var text bytes.Buffer
	for offset := range tokens {
		text.WriteString(tokenText(digest, tag, offset))
	}
	return text.String()
}

func tokenText(digest, tag string, offset int) string {
	if offset == 0 {
		return FirstWord(digest)
	}
	return fmt.Sprintf(" %s.%d", tag, offset)
}

// promptMessage identifies one message for the comparison with cached prefixes.
type promptMessage struct {
	hash   uint64
	tokens int
}

// prompt is the parsed list of messages of a request.
type prompt struct {
	digest   string
	tokens   int
	messages []promptMessage
}

func parsePrompt(messages json.RawMessage) (prompt, error) {
	var parsed []any
	decoder := json.NewDecoder(bytes.NewReader(messages))
	decoder.UseNumber()
	if err := decoder.Decode(&parsed); err != nil {
		return prompt{}, fmt.Errorf("messages: %w", err)
	}
	var prompt prompt
	hash := xxhash.New()
	for _, message := range parsed {
		canonical, err := json.Marshal(message)
		if err != nil {
			return prompt, fmt.Errorf("messages: %w", err)
		}
		_, _ = hash.Write(canonical)
		_, _ = hash.WriteString("\n")
		prompt.add(canonical)
	}
	prompt.digest = fmt.Sprintf("%016x", hash.Sum64())
	return prompt, nil
}

func (prompt *prompt) add(canonical []byte) {
	message := promptMessage{hash: xxhash.Sum64(canonical), tokens: Tokens(len(canonical))}
	prompt.messages = append(prompt.messages, message)
	prompt.tokens += message.tokens
}

// commonPrefixTokens returns the number of tokens in the common prefix of two lists of
// messages.
func commonPrefixTokens(a, b []promptMessage) int {
	tokens := 0
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			break
		}
		tokens += a[i].tokens
	}
	return tokens
}

// answerMessage returns the message that an answer adds to the history of its program.
func answerMessage(text string) promptMessage {
	canonical, err := json.Marshal(struct {
		Content string `json:"content"`
		Role    string `json:"role"`
	}{text, "assistant"})
	if err != nil {
		return promptMessage{}
	}
	return promptMessage{hash: xxhash.Sum64(canonical), tokens: Tokens(len(canonical))}
}
