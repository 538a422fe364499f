package bvendpoint

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// errBadStream marks a stream that breaks the protocol.
var errBadStream = errors.New("bad stream")

const maxEventLine = 1 << 20

// chunk holds the fields of an OpenAI chat completion chunk that the client uses.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage *usage `json:"usage"`
}

// hasOnlyText reports whether the chunk carries text and nothing else.
func (chunk chunk) hasOnlyText() bool {
	return len(chunk.Choices) == 1 && chunk.Usage == nil &&
		chunk.Choices[0].FinishReason == "" && chunk.Choices[0].Delta.Content != ""
}

type usage struct {
	PromptTokens        int `json:"prompt_tokens"`
	CompletionTokens    int `json:"completion_tokens"`
	PromptTokensDetails struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// event is one server-sent event.
type event struct {
	hasID        bool
	id           int
	text         string
	finishReason string
	usage        *usage
	done         bool // the stream is complete
}

// eventReader parses server-sent events.
type eventReader struct {
	lines    *bufio.Reader
	progress func() // called for each line, comments included
	template template
}

func newEventReader(body io.Reader, progress func()) *eventReader {
	return &eventReader{lines: bufio.NewReader(body), progress: progress}
}

// next returns the next event with data. If the body ends before the stream is
// complete, it returns io.ErrUnexpectedEOF.
func (reader *eventReader) next() (event, error) {
	var event event
	for {
		line, err := reader.readLine()
		if err != nil {
			return event, err
		}
		reader.progress()
		complete, err := reader.addLine(&event, bytes.TrimRight(line, "\r\n"))
		if err != nil || complete {
			return event, err
		}
	}
}

// readLine returns the next line. The buffer is small, because a daemon has many
// streams open at once; a longer line is assembled from several reads.
func (reader *eventReader) readLine() ([]byte, error) {
	piece, err := reader.lines.ReadSlice('\n')
	if err == nil {
		return piece, nil
	}
	line := bytes.Clone(piece)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(line) > maxEventLine {
			return nil, fmt.Errorf("%w: line too long", errBadStream)
		}
		piece, err = reader.lines.ReadSlice('\n')
		line = append(line, piece...)
	}
	if errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	}
	return line, err
}

// addLine parses one line into the event and reports whether it was the event's data.
func (reader *eventReader) addLine(event *event, line []byte) (bool, error) {
	field, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(field) {
	case "id":
		id, err := strconv.Atoi(string(value))
		event.id, event.hasID = id, err == nil
		return false, nil
	case "data":
		return true, reader.parse(event, value)
	}
	return false, nil
}

func (reader *eventReader) parse(event *event, data []byte) error {
	if string(data) == "[DONE]" {
		event.done = true
		return nil
	}
	if text, fits := reader.template.text(data); fits {
		event.text = text
		return nil
	}
	var chunk chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return fmt.Errorf("%w: %v", errBadStream, err)
	}
	reader.template.learn(data, chunk)
	event.addChunk(chunk)
	return nil
}

func (event *event) addChunk(chunk chunk) {
	event.usage = chunk.Usage
	if len(chunk.Choices) == 0 {
		return
	}
	event.text = chunk.Choices[0].Delta.Content
	event.finishReason = chunk.Choices[0].FinishReason
}
