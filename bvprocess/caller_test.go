package bvprocess

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvstandin"
)

// message is one message of a conversation.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// conversation is a program from its caller's side: its messages and the answers. It checks
// that each answer belongs to exactly this history.
type conversation struct {
	t       *testing.T
	key     string
	program string
	history []message
	turn    int
	full    bool // sends the whole history with each call
}

func newConversation(t *testing.T, key, program string) *conversation {
	return &conversation{t: t, key: key, program: program}
}

// call makes the next call to a daemon and checks that the answer belongs to exactly this
// history.
func (conversation *conversation) call(daemon *process, text string) {
	conversation.t.Helper()
	conversation.turn++
	status, body := conversation.post(daemon, text, false)
	require.Equal(conversation.t, http.StatusOK, status, body)
	conversation.recordTurn(text, contentOf(conversation.t, body))
}

// callWithoutTurn makes the next call without a turn number.
func (conversation *conversation) callWithoutTurn(daemon *process, text string) {
	conversation.t.Helper()
	request := conversation.request(daemon, text, false)
	request.Header.Del("Bv-Turn")
	response, err := http.DefaultClient.Do(request)
	require.NoError(conversation.t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	require.NoError(conversation.t, err)
	require.Equal(conversation.t, http.StatusOK, response.StatusCode, string(body))
	conversation.recordTurn(text, contentOf(conversation.t, string(body)))
}

// recordTurn checks an answer and appends it to the history.
func (conversation *conversation) recordTurn(text, answer string) {
	conversation.t.Helper()
	conversation.history = append(conversation.history, message{"user", text})
	require.Equal(conversation.t, conversation.expectedFirstWord(), strings.Fields(answer)[0],
		"the answer belongs to another history")
	requireOneRun(conversation.t, answer)
	conversation.history = append(conversation.history, message{"assistant", answer})
}

// requireOneRun checks that all tokens of an answer are from one run. An engine with --vary
// marks the tokens of each run.
func requireOneRun(t *testing.T, answer string) {
	t.Helper()
	words := strings.Fields(answer)
	for i, word := range words[1:] {
		mark, _, _ := strings.Cut(words[1], ".")
		require.Equal(t, mark+"."+strconv.Itoa(i+1), word, "tokens of two runs: %s", answer)
	}
}

// expectedFirstWord returns the first word of the engine's answer to the current history.
func (conversation *conversation) expectedFirstWord() string {
	encoded, err := json.Marshal(conversation.history)
	require.NoError(conversation.t, err)
	digest, err := bvstandin.Digest(encoded)
	require.NoError(conversation.t, err)
	return bvstandin.FirstWord(digest)
}

func (conversation *conversation) request(daemon *process, text string, stream bool) *http.Request {
	messages := []message{{"user", text}}
	if conversation.full {
		messages = append(append([]message{}, conversation.history...), messages...)
	}
	body, err := json.Marshal(struct {
		Model     string    `json:"model"`
		Messages  []message `json:"messages"`
		Stream    bool      `json:"stream"`
		MaxTokens int       `json:"max_tokens"`
	}{"m", messages, stream, 40})
	require.NoError(conversation.t, err)
	request, err := http.NewRequest(http.MethodPost, "http://"+daemon.field("callers")+"/v1/chat/completions", bytes.NewReader(body))
	require.NoError(conversation.t, err)
	request.Header.Set("Authorization", "Bearer "+conversation.key)
	request.Header.Set("Bv-Program", conversation.program)
	if conversation.full {
		request.Header.Set("Bv-History", "full")
	}
	request.Header.Set("Bv-Turn", strconv.Itoa(conversation.turn))
	request.Header.Set("Bv-Request", conversation.program+"-"+strconv.Itoa(conversation.turn))
	return request
}

func (conversation *conversation) post(daemon *process, text string, stream bool) (int, string) {
	response, err := http.DefaultClient.Do(conversation.request(daemon, text, stream))
	require.NoError(conversation.t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	require.NoError(conversation.t, err)
	return response.StatusCode, string(body)
}

func contentOf(t *testing.T, body string) string {
	var answer struct {
		Choices []struct{ Message message }
	}
	require.NoError(t, json.Unmarshal([]byte(body), &answer), body)
	require.Len(t, answer.Choices, 1)
	return answer.Choices[0].Message.Content
}

// readChunks reads a stream of server-sent events. It returns the text, and whether the stream
// ended with [DONE].
func readChunks(body io.Reader, each func(text string)) (text string, done bool) {
	var whole strings.Builder
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			return whole.String(), true
		}
		var chunk struct {
			Choices []struct{ Delta message }
		}
		if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 {
			continue
		}
		whole.WriteString(chunk.Choices[0].Delta.Content)
		if each != nil {
			each(chunk.Choices[0].Delta.Content)
		}
	}
	return whole.String(), false
}

// fetchAnswer requests a stored answer.
func fetchAnswer(t *testing.T, daemon *process, key, program, id string) (status int, body string) {
	t.Helper()
	url := "http://" + daemon.field("callers") + "/v1/programs/" + program + "/answers/" + id
	request, err := http.NewRequest(http.MethodGet, url, nil)
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(content)
}
