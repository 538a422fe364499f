package bvload

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"balsamvalve.example/bvloopback"
	"balsamvalve.example/bvmodel"
	"balsamvalve.example/bvstandin"
)

// fakeSystem is the caller API in front of one engine and one service. It keeps every
// promise except those that a test disables.
type fakeSystem struct {
	engine  *bvstandin.Engine
	service *bvstandin.Service

	mutex     sync.Mutex
	histories map[string][]json.RawMessage // by program
	answers   map[string][]byte            // by request

	dropOldestMessage bool // drops the oldest message of each history
	mixHistories      bool // adds another program's message to each history
	runTwice          bool // runs service calls twice
	denyRuns          bool // reports "not run" for service calls that ran
	cutStreams        bool // ends the first stream of each request without [DONE]
	neverRelease      bool // never releases caches
	seenRequests      map[string]bool
}

func newFakeSystem(t *testing.T) (*fakeSystem, Config) {
	system := &fakeSystem{
		engine:       bvstandin.NewEngine(bvstandin.EngineConfig{Batch: bvmodel.Config{DecodeTokensPerSecond: 20_000, PrefillTokensPerSecond: 1e6}}),
		service:      &bvstandin.Service{Serves: "any"},
		histories:    make(map[string][]json.RawMessage),
		answers:      make(map[string][]byte),
		seenRequests: make(map[string]bool),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", system.chat)
	mux.HandleFunc("POST /v1/services/{service}/{path...}", system.tool)
	mux.HandleFunc("DELETE /v1/programs/{program}", system.end)
	mux.HandleFunc("GET /v1/programs/{program}/answers/{request}", system.fetch)
	address := func(handler http.Handler) string {
		server := bvloopback.NewServer(handler)
		t.Cleanup(server.Close)
		return server.Listener.Addr().String()
	}
	return system, Config{
		Addresses:        []string{address(mux)},
		Members:          Members(map[string]string{Piran: "key-1", Brindley: "key-2"}),
		Programs:         8,
		Concurrency:      4,
		Seed:             3,
		PauseFactor:      -1,
		MaxAttempts:      3,
		ServiceAddresses: []string{address(system.service)},
		EngineAddresses:  []string{address(system.engine)},
	}
}

func (system *fakeSystem) chat(writer http.ResponseWriter, request *http.Request) {
	var body struct {
		Messages  []json.RawMessage `json:"messages"`
		MaxTokens int               `json:"max_tokens"`
		Stream    bool              `json:"stream"`
	}
	if json.NewDecoder(request.Body).Decode(&body) != nil {
		http.Error(writer, "bad", http.StatusBadRequest)
		return
	}
	program, id := request.Header.Get("Bv-Program"), request.Header.Get("Bv-Request")
	answer := system.storedAnswer(id)
	if answer == nil {
		prompt := body.Messages
		if request.Header.Get("Bv-History") != "full" {
			prompt = append(system.history(program), body.Messages...)
		}
		answer = system.runEngine(request.Header.Get("Authorization"), program, prompt, body.MaxTokens)
		system.storeAnswer(program, id, prompt, answer)
	}
	if !body.Stream {
		_, _ = writer.Write(answer)
		return
	}
	text, _, _ := completionText(answer)
	encoded, _ := json.Marshal(text)
	_, _ = writer.Write([]byte(`data: {"choices":[{"delta":{"content":` + string(encoded) + `}}]}` + "\n\n"))
	if system.cutStreams && system.isFirst(id) {
		return
	}
	_, _ = writer.Write([]byte("data: [DONE]\n\n"))
}

func (system *fakeSystem) runEngine(salt, program string, prompt []json.RawMessage, tokens int) []byte {
	encoded, _ := json.Marshal(map[string]any{"model": "m", "messages": prompt, "max_tokens": tokens})
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", bytes.NewReader(encoded))
	request.Header.Set("Bv-Salt", memberOf(salt))
	request.Header.Set("Bv-Prefix", program)
	system.engine.ServeHTTP(recorder, request)
	return recorder.Body.Bytes()
}

func memberOf(authorization string) string {
	if strings.HasSuffix(authorization, "key-1") {
		return Piran
	}
	return Brindley
}

func (system *fakeSystem) history(program string) []json.RawMessage {
	system.mutex.Lock()
	defer system.mutex.Unlock()
	history := system.histories[program]
	if system.dropOldestMessage && len(history) > 0 {
		history = history[1:]
	}
	if system.mixHistories {
		history = append(history[:len(history):len(history)], json.RawMessage(`{"role":"user","content":"a rival's"}`))
	}
	return append([]json.RawMessage{}, history...)
}

func (system *fakeSystem) storedAnswer(id string) []byte {
	system.mutex.Lock()
	defer system.mutex.Unlock()
	return system.answers[id]
}

func (system *fakeSystem) storeAnswer(program, id string, prompt []json.RawMessage, answer []byte) {
	text, _, _ := completionText(answer)
	reply, _ := json.Marshal(message{"assistant", text})
	system.mutex.Lock()
	defer system.mutex.Unlock()
	system.histories[program] = append(prompt, reply)
	system.answers[id] = answer
}

func (system *fakeSystem) isFirst(id string) bool {
	system.mutex.Lock()
	defer system.mutex.Unlock()
	seen := system.seenRequests[id]
	system.seenRequests[id] = true
	return !seen
}

func (system *fakeSystem) tool(writer http.ResponseWriter, request *http.Request) {
	var body bytes.Buffer
	_, _ = body.ReadFrom(request.Body)
	invoke := func(to http.ResponseWriter) {
		forwarded := httptest.NewRequest(http.MethodPost, "/"+request.PathValue("path"), bytes.NewReader(body.Bytes()))
		forwarded.Header = request.Header
		system.service.ServeHTTP(to, forwarded)
	}
	if system.runTwice {
		invoke(httptest.NewRecorder())
	}
	if system.denyRuns {
		if system.isFirst(request.Header.Get("Bv-Request")) {
			invoke(httptest.NewRecorder())
		}
		writer.WriteHeader(http.StatusServiceUnavailable)
		_, _ = writer.Write([]byte(`{"error":{"message":"full","code":"overloaded","verdict":"not run"}}`))
		return
	}
	invoke(writer)
}

func (system *fakeSystem) end(writer http.ResponseWriter, request *http.Request) {
	if !system.neverRelease {
		body, _ := json.Marshal(map[string]string{"salt": memberOf(request.Header.Get("Authorization")), "prefix": request.PathValue("program")})
		system.engine.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/cache/release", bytes.NewReader(body)))
	}
	writer.WriteHeader(http.StatusNoContent)
}

func (system *fakeSystem) fetch(writer http.ResponseWriter, request *http.Request) {
	answer := system.storedAnswer(request.PathValue("request"))
	if answer == nil {
		writer.WriteHeader(http.StatusNotFound)
		_, _ = writer.Write([]byte(`{"error":{"code":"unknown_request","verdict":"not run"}}`))
		return
	}
	_, _ = writer.Write(answer)
}
