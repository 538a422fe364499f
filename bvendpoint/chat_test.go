package bvendpoint_test

import (
	"encoding/json"
	"errors"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvendpoint"
	"balsamvalve.example/bvgate"
	"balsamvalve.example/bvloopback"
	"balsamvalve.example/bvmodel"
	"balsamvalve.example/bvstandin"
	"balsamvalve.example/bvverdict"
)

const (
	testTokens   = 20
	testProgress = 200 * bvclock.Millisecond
)

var testMessages = json.RawMessage(`[{"role":"user","content":"a lesson for two"}]`)

func testCall() bvendpoint.ChatCall {
	return bvendpoint.ChatCall{Model: "m", Messages: testMessages, MaxTokens: testTokens, Stream: "s1", Salt: "piran", Prefix: "p1"}
}

func testAnswer(t *testing.T) string {
	digest, err := bvstandin.Digest(testMessages)
	require.NoError(t, err)
	return bvstandin.AnswerText(digest, testTokens)
}

func newTestEngine(t *testing.T, handler func(http.Handler) http.Handler) (*bvstandin.Engine, string) {
	engine := bvstandin.NewEngine(bvstandin.EngineConfig{Batch: bvmodel.Config{DecodeTokensPerSecond: 500}})
	server := bvloopback.NewServer(handler(engine))
	t.Cleanup(server.Close)
	return engine, server.Listener.Addr().String()
}

func direct(handler http.Handler) http.Handler { return handler }

func newTestClient(t *testing.T) *bvendpoint.Client {
	client := &bvendpoint.Client{ProgressTimeout: testProgress}
	t.Cleanup(client.Close)
	return client
}

// collector returns an onToken that checks that tokens arrive in order and exactly
// once, and appends them to text.
func collector(t *testing.T, text *string) func(int, string) error {
	next := 0
	return func(offset int, token string) error {
		require.Equal(t, next, offset)
		next++
		*text += token
		return nil
	}
}

func TestChatBringsWholeAnswerAndUsage(t *testing.T) {
	_, address := newTestEngine(t, direct)
	var text string
	result, err := newTestClient(t).Chat(t.Context(), address, testCall(), collector(t, &text))
	require.NoError(t, err)
	require.Equal(t, testAnswer(t), text)
	require.Equal(t, text, result.Text)
	require.Equal(t, "length", result.FinishReason)
	require.Equal(t, testTokens, result.OutputTokens)
	require.Positive(t, result.PromptTokens)
}

func TestChatPassesFurtherFieldsOnButNotOverItsOwn(t *testing.T) {
	call := testCall()
	call.Params = json.RawMessage(`{"temperature":0.5,"model":"other","messages":[],"stream":false,"max_completion_tokens":900}`)
	body, err := call.Body()
	require.NoError(t, err)
	require.JSONEq(t, `{"temperature":0.5,"model":"m","stream":true,"stream_options":{"include_usage":true},
		"max_tokens":20,"messages":[{"role":"user","content":"a lesson for two"}]}`, string(body))
}

// Guards against a stream that ends with its connection although the engine continues.
func TestSilentStreamIsResumedOverNewConnection(t *testing.T) {
	engine, address := newTestEngine(t, direct)
	engine.SetFaults(bvstandin.EngineFaults{SilentAfter: 5})
	var text string
	result, err := newTestClient(t).Chat(t.Context(), address, testCall(), collector(t, &text))
	require.NoError(t, err)
	require.Equal(t, testAnswer(t), text)
	require.Positive(t, result.Resumes)
	require.Equal(t, 1, engine.Stats().Calls)
}

// Guards against a broken connection that makes a harmless request count as one that
// crashes engines.
func TestBrokenConnectionToLivingEngineIsNotACrash(t *testing.T) {
	var broken atomic.Bool
	engine, address := newTestEngine(t, func(engine http.Handler) http.Handler {
		return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			if !broken.Swap(true) {
				writer = &breakingWriter{ResponseWriter: writer, writesLeft: 3}
			}
			engine.ServeHTTP(writer, request)
		})
	})
	var text string
	result, err := newTestClient(t).Chat(t.Context(), address, testCall(), collector(t, &text))
	require.NoError(t, err)
	require.Equal(t, testAnswer(t), text)
	require.Equal(t, 1, result.Resumes)
	require.Equal(t, 1, engine.Stats().Calls)
}

// breakingWriter breaks its connection after some writes.
type breakingWriter struct {
	http.ResponseWriter
	writesLeft int
}

func (writer *breakingWriter) Write(content []byte) (int, error) {
	if writer.writesLeft == 0 {
		panic(http.ErrAbortHandler)
	}
	writer.writesLeft--
	return writer.ResponseWriter.Write(content)
}

func (writer *breakingWriter) Unwrap() http.ResponseWriter { return writer.ResponseWriter }

// Guards against a crash in mid-stream that is not reported as a crash.
func TestCrashInMidStreamIsReportedAsCrash(t *testing.T) {
	engine, address := newTestEngine(t, direct)
	result, err := newTestClient(t).Chat(t.Context(), address, testCall(), func(offset int, _ string) error {
		if offset == 3 {
			engine.SetFaults(bvstandin.EngineFaults{Crash: true})
		}
		return nil
	})
	require.Equal(t, bvgate.Crashed, bvendpoint.OutcomeOf(err))
	require.Equal(t, bvverdict.MayHaveRun, bvverdict.Of(err))
	require.Equal(t, bvverdict.EndpointFailed, bvverdict.From(err).Code())
	require.GreaterOrEqual(t, result.OutputTokens, 4)
	require.NotEmpty(t, result.Incarnation)
}

func TestPoisonedRequestIsReportedAsCrash(t *testing.T) {
	engine, address := newTestEngine(t, direct)
	call := testCall()
	call.Messages = json.RawMessage(`[{"role":"user","content":"` + bvstandin.PoisonMarker + `"}]`)
	_, err := newTestClient(t).Chat(t.Context(), address, call, nil)
	require.Equal(t, bvgate.Crashed, bvendpoint.OutcomeOf(err))
	require.Equal(t, 1, engine.Stats().Crashes)
}

func TestRefusalOfEngineIsNotRun(t *testing.T) {
	engine, address := newTestEngine(t, direct)
	engine.SetFaults(bvstandin.EngineFaults{Refuse: true})
	_, err := newTestClient(t).Chat(t.Context(), address, testCall(), nil)
	require.Equal(t, bvgate.Refused, bvendpoint.OutcomeOf(err))
	require.Equal(t, bvverdict.NotRun, bvverdict.Of(err))
	require.Equal(t, bvverdict.Overloaded, bvverdict.From(err).Code())
	require.Equal(t, bvclock.Second, bvverdict.From(err).RetryAfter())
	require.Zero(t, engine.Stats().Calls)
}

func TestUnreachableEngineIsNotRun(t *testing.T) {
	server := bvloopback.NewServer(http.NotFoundHandler())
	server.Close()
	_, err := newTestClient(t).Chat(t.Context(), server.Listener.Addr().String(), testCall(), nil)
	require.Equal(t, bvgate.Refused, bvendpoint.OutcomeOf(err))
	require.Equal(t, bvverdict.NotRun, bvverdict.Of(err))
}

// Guards against a caller that waits indefinitely for a silent engine.
func TestEngineThatStaysSilentTimesOut(t *testing.T) {
	hold := make(chan struct{})
	server := bvloopback.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-hold }))
	t.Cleanup(func() {
		close(hold)
		server.Close()
	})
	client := &bvendpoint.Client{ProgressTimeout: 30 * bvclock.Millisecond, MaxResumes: 2}
	t.Cleanup(client.Close)
	result, err := client.Chat(t.Context(), server.Listener.Addr().String(), testCall(), nil)
	require.Equal(t, bvgate.Silent, bvendpoint.OutcomeOf(err))
	require.Equal(t, bvverdict.MayHaveRun, bvverdict.Of(err))
	require.Equal(t, bvverdict.EndpointTimeout, bvverdict.From(err).Code())
	require.Equal(t, 2, result.Resumes)
}

// Guards against an engine that continues a call that was canceled.
func TestCanceledCallFreesTheEngine(t *testing.T) {
	engine, address := newTestEngine(t, direct)
	tokenErr := errors.New("caller disconnected")
	_, err := newTestClient(t).Chat(t.Context(), address, testCall(), func(int, string) error { return tokenErr })
	require.ErrorIs(t, err, tokenErr)
	require.Equal(t, bvgate.Canceled, bvendpoint.OutcomeOf(err))
	require.Equal(t, 1, engine.Stats().Canceled)
}

// Guards against resumes that overload the remaining engines after a zone has failed.
func TestResumesAreBoundedByTheBudget(t *testing.T) {
	engine, address := newTestEngine(t, direct)
	client := newTestClient(t)
	client.SpendBudget()
	engine.SetFaults(bvstandin.EngineFaults{SilentAfter: 5})
	result, err := client.Chat(t.Context(), address, testCall(), nil)
	require.Equal(t, bvgate.Silent, bvendpoint.OutcomeOf(err))
	require.Zero(t, result.Resumes)
}

func TestReleaseDropsOnlyTheProgramsPrefix(t *testing.T) {
	engine, address := newTestEngine(t, direct)
	client := newTestClient(t)
	other := testCall()
	other.Stream, other.Salt = "s2", "brindley"
	_, err := client.Chat(t.Context(), address, testCall(), nil)
	require.NoError(t, err)
	_, err = client.Chat(t.Context(), address, other, nil)
	require.NoError(t, err)
	require.NoError(t, client.Release(t.Context(), address, "piran", "p1"))
	cached := engine.Cache()
	require.Len(t, cached, 1)
	require.Equal(t, "brindley", cached[0].Salt)
}
