package bvendpoint

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"
)

// maxLearned bounds how often a stream's template is looked for.
const maxLearned = 3

var (
	contentField = []byte(`"content":"`)
	probeText    = "probe"
)

// template is what all chunks of a stream have in common that carry nothing
// but text: the bytes before the text and those after it.
//
// A daemon passes on thousands of tokens a second, and nearly all of the cost
// of one is to parse its chunk. A chunk that fits the template is not parsed.
type template struct {
	before  []byte
	after   []byte
	learned int
}

// text returns the text of a chunk that fits the template.
//
// The text between must need no decoding: then it ends where the template
// says, and the chunk means the same as the chunk that was learned from but
// for its text.
func (template *template) text(data []byte) (string, bool) {
	if len(template.before) == 0 || len(data) < len(template.before)+len(template.after) {
		return "", false
	}
	if !bytes.HasPrefix(data, template.before) || !bytes.HasSuffix(data, template.after) {
		return "", false
	}
	text := data[len(template.before) : len(data)-len(template.after)]
	if !isPlain(text) {
		return "", false
	}
	return string(text), true
}

// isPlain reports whether a JSON string stands for itself.
func isPlain(text []byte) bool {
	for _, char := range text {
		if char < ' ' || char == '"' || char == '\\' {
			return false
		}
	}
	return utf8.Valid(text)
}

// learn takes a parsed chunk for a template, if it is fit for one.
func (template *template) learn(data []byte, parsed chunk) {
	if template.learned == maxLearned || !parsed.onlyText() || bytes.Count(data, contentField) != 1 {
		return
	}
	template.learned++
	before, rest, _ := bytes.Cut(data, contentField)
	text := []byte(parsed.Choices[0].Delta.Content)
	if !isPlain(text) || !bytes.HasPrefix(rest, append(bytes.Clone(text), '"')) {
		return
	}
	before = append(bytes.Clone(before), contentField...)
	after := bytes.Clone(rest[len(text):])
	if proves(before, after) {
		template.before, template.after = before, after
	}
}

// proves parses the template with another text. The field that was found may
// be another one of the same name; then the text doesn't come out.
func proves(before, after []byte) bool {
	var probe chunk
	data := append(append(bytes.Clone(before), probeText...), after...)
	if err := json.Unmarshal(data, &probe); err != nil {
		return false
	}
	return probe.onlyText() && probe.Choices[0].Delta.Content == probeText
}
