package bvendpoint_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvendpoint"
	"balsamvalve.example/bvstandin"
	"balsamvalve.example/bvverdict"
)

// connectionFate is what becomes of one connection.
type connectionFate struct {
	toEngine int64 // bytes that it carries; negative: all
	toClient int64
	silent   bool // goes silent at its end; otherwise it is reset
}

// faultyProxy carries each connection as far as its fate says.
type faultyProxy struct {
	listener net.Listener
	target   string
	mutex    sync.Mutex
	fates    []connectionFate
	open     []net.Conn
}

func newFaultyProxy(target string, fates []connectionFate) (*faultyProxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	proxy := &faultyProxy{listener: listener, target: target, fates: fates}
	go proxy.accept()
	return proxy, nil
}

func (proxy *faultyProxy) accept() {
	for {
		client, err := proxy.listener.Accept()
		if err != nil {
			return
		}
		engine, err := net.Dial("tcp", proxy.target)
		if err != nil {
			return
		}
		fate := proxy.next(client, engine)
		go carry(engine, client, fate.toEngine, fate.silent)
		go carry(client, engine, fate.toClient, fate.silent)
	}
}

func (proxy *faultyProxy) next(connections ...net.Conn) connectionFate {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.open = append(proxy.open, connections...)
	if len(proxy.fates) == 0 {
		return connectionFate{toEngine: -1, toClient: -1}
	}
	fate := proxy.fates[0]
	proxy.fates = proxy.fates[1:]
	return fate
}

func carry(to, from net.Conn, limit int64, silent bool) {
	if limit < 0 {
		_, _ = io.Copy(to, from)
		_ = to.Close()
		return
	}
	_, err := io.CopyN(to, from, limit)
	if err == nil && silent {
		return
	}
	_ = to.Close()
	_ = from.Close()
}

func (proxy *faultyProxy) close() {
	_ = proxy.listener.Close()
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	for _, connection := range proxy.open {
		_ = connection.Close()
	}
}

func drawFates(t *rapid.T) []connectionFate {
	bytes := rapid.Custom(func(t *rapid.T) int64 {
		if rapid.Bool().Draw(t, "all") {
			return -1
		}
		return rapid.Int64Range(0, 3000).Draw(t, "bytes")
	})
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) connectionFate {
		return connectionFate{
			toEngine: bytes.Draw(t, "toEngine"),
			toClient: bytes.Draw(t, "toClient"),
			silent:   rapid.Bool().Draw(t, "silent"),
		}
	}), 0, 4).Draw(t, "fates")
}

// chatUnderFaults makes one call over faulty connections and returns what the
// oracle finds wrong with it.
func chatUnderFaults(fates []connectionFate, chat func(address string, onToken func(int, string) error) error) error {
	engine := bvstandin.NewEngine(bvstandin.EngineConfig{Instant: true})
	server := httptest.NewServer(engine)
	defer server.Close()
	proxy, err := newFaultyProxy(server.Listener.Addr().String(), fates)
	if err != nil {
		return err
	}
	defer proxy.close()
	var heard strings.Builder
	err = chat(proxy.listener.Addr().String(), func(_ int, text string) error {
		heard.WriteString(text)
		return nil
	})
	return judge(engine.Stats().Calls, heard.String(), err)
}

// judge is the oracle: the engine ran the call at most once, what was heard is
// the beginning of the answer, success means the whole and "not run" is true.
func judge(runs int, heard string, err error) error {
	digest, _ := bvstandin.Digest(testMessages)
	answer := bvstandin.AnswerText(digest, testTokens)
	switch {
	case runs > 1:
		return fmt.Errorf("the engine ran the call %d times", runs)
	case !strings.HasPrefix(answer, heard):
		return fmt.Errorf("heard %q in place of %q", heard, answer)
	case err == nil && heard != answer:
		return fmt.Errorf("success with %q", heard)
	case err != nil && bvverdict.Of(err) == bvverdict.NotRun && runs > 0:
		return fmt.Errorf("not run, but it ran: %w", err)
	}
	return nil
}

// clientUnderFaults is the product's client.
func clientUnderFaults(t *testing.T) func(string, func(int, string) error) error {
	return func(address string, onToken func(int, string) error) error {
		client := &bvendpoint.Client{ProgressTimeout: 40 * bvclock.Millisecond}
		defer client.Close()
		_, err := client.Chat(t.Context(), address, testCall(), onToken)
		return err
	}
}

// Guards against tokens that are lost, doubled or another call's, whatever breaks.
func TestChatUnderFaultyConnections(t *testing.T) {
	fixSeed(t, 60)
	rapid.Check(t, func(r *rapid.T) {
		if err := chatUnderFaults(drawFates(r), clientUnderFaults(t)); err != nil {
			r.Fatal(err)
		}
	})
}

// Shows that the oracle notices a client that sends a call again.
func TestOracleCatchesClientThatSendsAgain(t *testing.T) {
	fates := []connectionFate{{toEngine: -1, toClient: 600}}
	err := chatUnderFaults(fates, func(address string, onToken func(int, string) error) error {
		client := &bvendpoint.Client{MaxResumes: -1}
		defer client.Close()
		_, err := client.Chat(t.Context(), address, testCall(), onToken)
		if err == nil {
			return nil
		}
		again := testCall()
		again.Stream = "s2"
		_, err = client.Chat(t.Context(), address, again, onToken)
		return err
	})
	require.ErrorContains(t, err, "ran the call 2 times")
}

func BenchmarkChatToken(b *testing.B) {
	const tokens = 1000
	body := recordStream(b, tokens)
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = writer.Write(body)
	}))
	defer server.Close()
	client := &bvendpoint.Client{}
	defer client.Close()
	call := testCall()
	call.MaxTokens = tokens
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if _, err := client.Chat(b.Context(), server.Listener.Addr().String(), call, nil); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tokens), "ns/token")
}

// recordStream returns what an engine sends, so that the benchmark pays for
// the client alone.
func recordStream(b *testing.B, tokens int) []byte {
	engine := bvstandin.NewEngine(bvstandin.EngineConfig{Instant: true})
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(fmt.Sprintf(
		`{"model":"m","messages":%s,"max_tokens":%d,"stream":true,"stream_options":{"include_usage":true}}`, testMessages, tokens)))
	engine.ServeHTTP(recorder, request)
	if !strings.HasSuffix(recorder.Body.String(), "[DONE]\n\n") {
		b.Fatal("no whole stream")
	}
	return recorder.Body.Bytes()
}
