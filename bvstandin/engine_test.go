package bvstandin

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvendpoint"
	"balsamvalve.example/bvmodel"
	"balsamvalve.example/bvplatform"
)

const helloMessages = `[{"role":"user","content":"hello"}]`

type testEngine struct {
	*Engine
	t   *testing.T
	url string
}

func newEngineServer(t *testing.T, config EngineConfig) testEngine {
	if config.Batch.DecodeTokensPerSecond == 0 {
		config.Batch.DecodeTokensPerSecond = 1000
	}
	engine := NewEngine(config)
	server := httptest.NewServer(engine)
	t.Cleanup(server.Close)
	return testEngine{engine, t, server.URL}
}

func (engine testEngine) send(method, path, body string, header http.Header) *http.Response {
	request, err := http.NewRequestWithContext(engine.t.Context(), method, engine.url+path, strings.NewReader(body))
	require.NoError(engine.t, err)
	request.Header = header.Clone()
	response, err := http.DefaultClient.Do(request)
	require.NoError(engine.t, err)
	engine.t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

func (engine testEngine) chat(messages string, tokens int, header http.Header) wholeAnswer {
	body := fmt.Sprintf(`{"model":"m","messages":%s,"max_tokens":%d}`, messages, tokens)
	response := engine.send(http.MethodPost, "/v1/chat/completions", body, header)
	require.Equal(engine.t, http.StatusOK, response.StatusCode)
	var answer wholeAnswer
	require.NoError(engine.t, json.NewDecoder(response.Body).Decode(&answer))
	return answer
}

type wholeAnswer struct {
	Choices []struct {
		Message struct{ Content string }
	}
	Usage chatUsage
}

func programHeader(salt, prefix string) http.Header {
	return http.Header{bvendpoint.HeaderSalt: {salt}, bvendpoint.HeaderPrefix: {prefix}}
}

func (engine testEngine) state(path string, value any) {
	response := engine.send(http.MethodGet, path, "", nil)
	require.NoError(engine.t, json.NewDecoder(response.Body).Decode(value))
}

func TestDigestIgnoresSpacingAndOrderOfFields(t *testing.T) {
	a, err := Digest(json.RawMessage(`[{"role":"user","content":"x"}]`))
	require.NoError(t, err)
	b, err := Digest(json.RawMessage(`[ { "content" : "x", "role" : "user" } ]`))
	require.NoError(t, err)
	other, err := Digest(json.RawMessage(`[{"role":"user","content":"y"}]`))
	require.NoError(t, err)
	require.Equal(t, a, b)
	require.NotEqual(t, a, other)
}

func TestAnswerBeginsWithTheDigestAndHasTheWantedLength(t *testing.T) {
	engine := newEngineServer(t, EngineConfig{})
	digest, err := Digest(json.RawMessage(helloMessages))
	require.NoError(t, err)
	answer := engine.chat(helloMessages, 7, nil)
	require.Equal(t, AnswerText(digest, 7), answer.Choices[0].Message.Content)
	require.Equal(t, 7, answer.Usage.CompletionTokens)
}

func TestInstantEngineGivesTheSameAnswer(t *testing.T) {
	paced, instant := newEngineServer(t, EngineConfig{}), newEngineServer(t, EngineConfig{Instant: true})
	require.Equal(t, paced.chat(helloMessages, 5, nil), instant.chat(helloMessages, 5, nil))
}

// Guards against accepting an answer that is composed of two runs.
func TestAnswerOfTwoRunsIsNoAnswer(t *testing.T) {
	one, two := answerText("0123456789abcdef", "AAAA", 4), answerText("0123456789abcdef", "BBBB", 4)
	mixture := one[:len(one)-len(" AAAA.3")] + " BBBB.3"
	require.True(t, IsAnswer(one, "0123456789abcdef", 4))
	require.True(t, IsAnswer(two, "0123456789abcdef", 4))
	require.False(t, IsAnswer(mixture, "0123456789abcdef", 4))
	require.False(t, IsAnswer(one, "0123456789abcdef", 5))
}

// nextTurn returns the messages of a program's second call.
func nextTurn(answer wholeAnswer) string {
	return fmt.Sprintf(`[{"role":"user","content":"hello"},{"role":"assistant","content":%q},{"role":"user","content":"go on"}]`,
		answer.Choices[0].Message.Content)
}

func TestNextTurnFindsItsHistoryCached(t *testing.T) {
	engine := newEngineServer(t, EngineConfig{})
	first := engine.chat(helloMessages, 5, programHeader("piran", "p1"))
	require.Zero(t, first.Usage.PromptTokensDetails.CachedTokens)
	second := engine.chat(nextTurn(first), 5, programHeader("piran", "p1"))
	require.Positive(t, second.Usage.PromptTokensDetails.CachedTokens)
}

// Guards against cache hits under another member's salt.
func TestOtherSaltFindsNothingCached(t *testing.T) {
	engine := newEngineServer(t, EngineConfig{})
	first := engine.chat(helloMessages, 5, programHeader("piran", "p1"))
	second := engine.chat(nextTurn(first), 5, programHeader("brindley", "p1"))
	require.Zero(t, second.Usage.PromptTokensDetails.CachedTokens)
}

func TestReleasedPrefixIsNotHeldAndIsPublished(t *testing.T) {
	engine := newEngineServer(t, EngineConfig{})
	engine.chat(helloMessages, 5, programHeader("piran", "p1"))
	require.Len(t, engine.Cache(), 1)
	engine.send(http.MethodPost, "/cache/release", `{"salt":"piran","prefix":"p1"}`, nil)
	require.Empty(t, engine.Cache())
	var published struct{ Events []cacheEvent }
	engine.state("/events?after=0", &published)
	require.Len(t, published.Events, 2)
	require.Equal(t, "released", published.Events[1].Kind)
}

func TestEventsHaveGaps(t *testing.T) {
	engine := newEngineServer(t, EngineConfig{EventGap: 2})
	engine.chat(helloMessages, 5, programHeader("piran", "p1"))
	engine.chat(helloMessages, 5, programHeader("piran", "p2"))
	engine.chat(helloMessages, 5, programHeader("piran", "p3"))
	var published struct{ Events []cacheEvent }
	engine.state("/events", &published)
	require.Len(t, published.Events, 2)
	require.Equal(t, int64(3), published.Events[1].Sequence)
}

func TestLoadLags(t *testing.T) {
	engine := newEngineServer(t, EngineConfig{LoadLag: bvclock.Hour})
	engine.chat(helloMessages, 5, programHeader("piran", "p1"))
	var load loadReport
	engine.state("/load", &load)
	require.Zero(t, load.CachedTokens)
}

func TestEngineWithFencingRefusesOldOrder(t *testing.T) {
	engine := newEngineServer(t, EngineConfig{Fencing: true})
	engine.send(http.MethodPost, "/orders", `{"fence":5,"role":"prefill"}`, nil)
	response := engine.send(http.MethodPost, "/orders", `{"fence":4,"role":"decode"}`, nil)
	require.Equal(t, http.StatusConflict, response.StatusCode)
	require.Equal(t, order{Fence: 5, Role: "prefill"}, engine.order)
}

func TestEngineWithoutFencingObeysOldOrder(t *testing.T) {
	engine := newEngineServer(t, EngineConfig{})
	engine.send(http.MethodPost, "/orders", `{"fence":5,"role":"prefill"}`, nil)
	engine.send(http.MethodPost, "/orders", `{"fence":4,"role":"decode"}`, nil)
	require.Equal(t, order{Fence: 4, Role: "decode"}, engine.order)
}

func TestUnknownModelIsNotRun(t *testing.T) {
	engine := newEngineServer(t, EngineConfig{Model: "booking"})
	response := engine.send(http.MethodPost, "/v1/chat/completions", `{"model":"m","messages":[]}`, nil)
	content, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusNotFound, response.StatusCode)
	require.Contains(t, string(content), `"verdict":"not run"`)
}

// Guards against a stand-in whose crash affects only the poison request.
func TestPoisonRequestCrashesTheWholeEngine(t *testing.T) {
	engine := newEngineServer(t, EngineConfig{Batch: bvmodel.Config{DecodeTokensPerSecond: 20}})
	before := engine.Endpoint("").Incarnation
	innocent := engine.send(http.MethodPost, "/v1/chat/completions",
		`{"model":"m","messages":[],"max_tokens":10000,"stream":true}`, http.Header{bvendpoint.HeaderStream: {"s1"}})
	_, err := bufio.NewReader(innocent.Body).ReadString('\n')
	require.NoError(t, err)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, engine.url+"/v1/chat/completions",
		strings.NewReader(`{"model":"m","messages":["`+PoisonMarker+`"]}`))
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		_ = response.Body.Close()
	}
	require.Error(t, err)
	_, err = io.Copy(io.Discard, innocent.Body)
	require.Error(t, err)
	require.NotEqual(t, before, engine.Endpoint("").Incarnation)
	require.Equal(t, http.StatusNotFound, engine.send(http.MethodGet, "/v1/streams/s1?offset=0", "", nil).StatusCode)
}

// Guards against a request that starts after its cancellation.
func TestRequestAfterItsCancellationIsNotRun(t *testing.T) {
	engine := newEngineServer(t, EngineConfig{})
	engine.send(http.MethodDelete, "/v1/streams/s1", "", nil)
	response := engine.send(http.MethodPost, "/v1/chat/completions", `{"model":"m","messages":[]}`, http.Header{bvendpoint.HeaderStream: {"s1"}})
	require.Equal(t, http.StatusConflict, response.StatusCode)
	require.Zero(t, engine.Stats().Calls)
}

// Guards against an engine that generates indefinitely for a stream without a reader.
func TestStreamWithoutReaderIsCanceledAfterAWhile(t *testing.T) {
	engine := newEngineServer(t, EngineConfig{Batch: bvmodel.Config{DecodeTokensPerSecond: 20}, Grace: 20 * bvclock.Millisecond})
	response := engine.send(http.MethodPost, "/v1/chat/completions",
		`{"model":"m","messages":[],"max_tokens":100000,"stream":true}`, http.Header{bvendpoint.HeaderStream: {"s1"}})
	require.NoError(t, response.Body.Close())
	require.Eventually(t, func() bool { return engine.IsIdle() && engine.Stats().Canceled == 1 }, 10*time.Second, 5*time.Millisecond)
}

func TestSlowEngineIsSlowerInItsOwnTime(t *testing.T) {
	clock := modelTime{slowdown: 4}
	require.Equal(t, bvclock.Time(25), clock.now(100))
	clock.slowdown = 0
	require.Equal(t, bvclock.Time(125), clock.now(200))
}

func TestLeavingEngineIsListedAsLeavingAndGoesOnServing(t *testing.T) {
	engine := newEngineServer(t, EngineConfig{Name: "e1"})
	engine.Leave()
	require.Equal(t, bvplatform.HostLeaving, engine.Endpoint("").State)
	engine.chat(helloMessages, 2, nil)
	require.Equal(t, 1, engine.Stats().Calls)
}

func TestFaultsAreSetOverHTTP(t *testing.T) {
	engine := newEngineServer(t, EngineConfig{})
	engine.send(http.MethodPost, "/faults", `{"refuse":true}`, nil)
	response := engine.send(http.MethodPost, "/v1/chat/completions", `{"model":"m","messages":[]}`, nil)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
}

func TestServiceCountsRunsOfEachRequest(t *testing.T) {
	server := httptest.NewServer(&Service{Serves: "book"})
	t.Cleanup(server.Close)
	for range 2 {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/lessons", bytes.NewReader([]byte("x")))
		require.NoError(t, err)
		request.Header.Set(bvendpoint.HeaderRequest, "r1")
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
	}
	response, err := http.Get(server.URL + "/runs?request=r1")
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	var runs struct{ Runs, Total int }
	require.NoError(t, json.NewDecoder(response.Body).Decode(&runs))
	require.Equal(t, 2, runs.Runs)
	require.Equal(t, 2, runs.Total)
}
