package bvendpoint

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"
)

// maxLearnAttempts bounds the attempts to derive a stream's template.
const maxLearnAttempts = 3

var (
	contentField = []byte(`"content":"`)
	probeText    = "probe"
)

// template holds the bytes before and after the text that are common to all
// text-only chunks of a stream.
//
// A daemon forwards thousands of tokens per second, and nearly all of the cost of a
// token is parsing its chunk. A chunk that matches the template is not parsed.
type template struct {
	prefix        []byte
	suffix        []byte
	learnAttempts int
}

// text returns the text of a chunk that matches the template.
//
// The text between prefix and suffix must need no decoding: it then can't contain
// the end of the JSON string, and the chunk differs from the one that the template
// was derived from only in its text.
func (template *template) text(data []byte) (string, bool) {
	if len(template.prefix) == 0 || len(data) < len(template.prefix)+len(template.suffix) {
		return "", false
	}
	if !bytes.HasPrefix(data, template.prefix) || !bytes.HasSuffix(data, template.suffix) {
		return "", false
	}
	text := data[len(template.prefix) : len(data)-len(template.suffix)]
	if !isPlain(text) {
		return "", false
	}
	return string(text), true
}

// isPlain reports whether the content of a JSON string is valid without escapes.
func isPlain(text []byte) bool {
	for _, char := range text {
		if char < ' ' || char == '"' || char == '\\' {
			return false
		}
	}
	return utf8.Valid(text)
}

// learn derives the template from a parsed chunk, if the chunk is suitable.
func (template *template) learn(data []byte, parsed chunk) {
	if template.learnAttempts == maxLearnAttempts || !parsed.hasOnlyText() || bytes.Count(data, contentField) != 1 {
		return
	}
	template.learnAttempts++
	prefix, rest, _ := bytes.Cut(data, contentField)
	text := []byte(parsed.Choices[0].Delta.Content)
	if !isPlain(text) || !bytes.HasPrefix(rest, append(bytes.Clone(text), '"')) {
		return
	}
	prefix = append(bytes.Clone(prefix), contentField...)
	suffix := bytes.Clone(rest[len(text):])
	if isValidTemplate(prefix, suffix) {
		template.prefix, template.suffix = prefix, suffix
	}
}

// isValidTemplate parses the template with a probe text. The field that was found may
// be a different one with the same name; then parsing doesn't return the probe.
func isValidTemplate(prefix, suffix []byte) bool {
	var probe chunk
	data := append(append(bytes.Clone(prefix), probeText...), suffix...)
	if err := json.Unmarshal(data, &probe); err != nil {
		return false
	}
	return probe.hasOnlyText() && probe.Choices[0].Delta.Content == probeText
}
