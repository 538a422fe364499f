package bvendpoint

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// drawChunk draws a chunk in one of a few shapes, so that some match each other's
// template and others only appear to.
func drawChunk(t *rapid.T) []byte {
	text, err := json.Marshal(rapid.SampledFrom([]string{"a", "a word", `"`, `\`, `","content":"`, "\n", "é", ""}).Draw(t, "text"))
	if err != nil {
		t.Fatal(err)
	}
	shape := rapid.SampledFrom([]string{
		`{"choices":[{"index":0,"delta":{"content":%s},"finish_reason":null}]}`,
		`{"choices":[{"index":0,"delta":{"content":%s},"finish_reason":"stop"}]}`,
		`{"choices":[{"index":0,"delta":{"role":"assistant","content":%s}}]}`,
		`{"content":"a","choices":[{"delta":{"content" :%s}}]}`,
		`{"choices":[{"delta":{"content":%s}}],"usage":{"prompt_tokens":3}}`,
		`{"choices":[{"delta":{"content":%s}},{"delta":{"content":"other"}}]}`,
	}).Draw(t, "shape")
	return fmt.Appendf(nil, shape, text)
}

// textByParsing is the oracle: it returns the text by parsing the complete chunk.
func textByParsing(data []byte) (string, error) {
	var chunk chunk
	if err := json.Unmarshal(data, &chunk); err != nil || len(chunk.Choices) == 0 {
		return "", err
	}
	return chunk.Choices[0].Delta.Content, nil
}

// firstDifference returns the first chunk whose text differs from the oracle's.
func firstDifference(chunks [][]byte, parse func(data []byte) (string, error)) []byte {
	for _, data := range chunks {
		want, wantErr := textByParsing(data)
		got, err := parse(data)
		if got != want || (err == nil) != (wantErr == nil) {
			return data
		}
	}
	return nil
}

func TestTemplateNeverChangesTheText(t *testing.T) {
	require.NoError(t, flag.Set("rapid.seed", "7"))
	require.NoError(t, flag.Set("rapid.nofailfile", "true"))
	rapid.Check(t, func(t *rapid.T) {
		chunks := rapid.SliceOf(rapid.Custom(drawChunk)).Draw(t, "chunks")
		reader := newEventReader(nil, nil)
		if data := firstDifference(chunks, func(data []byte) (string, error) {
			var event event
			err := reader.parse(&event, data)
			return event.text, err
		}); data != nil {
			t.Fatalf("text differs from the parsed text for %s", data)
		}
	})
}

// Shows that the oracle detects a template that doesn't check the text for escapes.
func TestOracleCatchesTemplateThatTakesAnyText(t *testing.T) {
	before, after := []byte(`{"choices":[{"delta":{"content":"`), []byte(`"}}]}`)
	chunks := [][]byte{[]byte(`{"choices":[{"delta":{"content":"a\"b"}}]}`)}
	require.NotNil(t, firstDifference(chunks, func(data []byte) (string, error) {
		return string(bytes.TrimSuffix(bytes.TrimPrefix(data, before), after)), nil
	}))
}

// Guards against a second field of the same name whose value is used as the text.
func TestFieldOfTheSameNameIsNoTemplate(t *testing.T) {
	reader := newEventReader(nil, nil)
	var event event
	require.NoError(t, reader.parse(&event, []byte(`{"content":"a","choices":[{"delta":{"content" :"a"}}]}`)))
	require.NoError(t, reader.parse(&event, []byte(`{"content":"b","choices":[{"delta":{"content" :"a"}}]}`)))
	require.Equal(t, "a", event.text)
}

func TestChunksOfOneShapeAreNotParsedAgain(t *testing.T) {
	reader := newEventReader(nil, nil)
	var event event
	require.NoError(t, reader.parse(&event, []byte(`{"choices":[{"delta":{"content":"a"}}]}`)))
	_, fits := reader.template.text([]byte(`{"choices":[{"delta":{"content":" word"}}]}`))
	require.True(t, fits)
}

// Guards against the truncation of a line that is longer than the reader's buffer.
func TestLongLineIsReadWhole(t *testing.T) {
	long := strings.Repeat("word ", 10_000)
	body := fmt.Sprintf("data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\ndata: [DONE]\n\n", long)
	reader := newEventReader(strings.NewReader(body), func() {})
	event, err := reader.next()
	require.NoError(t, err)
	require.Equal(t, long, event.text)
	event, err = reader.next()
	require.NoError(t, err)
	require.True(t, event.done)
}

func TestEndlessLineIsABadStream(t *testing.T) {
	reader := newEventReader(strings.NewReader("data: "+strings.Repeat("x", 2*maxEventLine)), func() {})
	_, err := reader.next()
	require.ErrorIs(t, err, errBadStream)
}
