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
	"balsamvalve.example/bvloopback"
	"balsamvalve.example/bvstandin"
	"balsamvalve.example/bvverdict"
)

// connectionFault describes how one connection fails.
type connectionFault struct {
	bytesToEngine int64 // forwarded before the fault; negative: no fault
	bytesToClient int64
	silent        bool // the connection stalls; otherwise it is closed
}

// faultyProxy forwards each connection until its fault.
type faultyProxy struct {
	listener net.Listener
	target   string
	mutex    sync.Mutex
	faults   []connectionFault
	open     []net.Conn
}

func newFaultyProxy(target string, faults []connectionFault) (*faultyProxy, error) {
	listener, err := net.Listen("tcp", bvloopback.Address())
	if err != nil {
		return nil, err
	}
	proxy := &faultyProxy{listener: listener, target: target, faults: faults}
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
		fault := proxy.nextFault(client, engine)
		go forward(engine, client, fault.bytesToEngine, fault.silent)
		go forward(client, engine, fault.bytesToClient, fault.silent)
	}
}

func (proxy *faultyProxy) nextFault(connections ...net.Conn) connectionFault {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.open = append(proxy.open, connections...)
	if len(proxy.faults) == 0 {
		return connectionFault{bytesToEngine: -1, bytesToClient: -1}
	}
	fault := proxy.faults[0]
	proxy.faults = proxy.faults[1:]
	return fault
}

func forward(to, from net.Conn, limit int64, silent bool) {
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

func drawFaults(t *rapid.T) []connectionFault {
	bytes := rapid.Custom(func(t *rapid.T) int64 {
		if rapid.Bool().Draw(t, "all") {
			return -1
		}
		return rapid.Int64Range(0, 3000).Draw(t, "bytes")
	})
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) connectionFault {
		return connectionFault{
			bytesToEngine: bytes.Draw(t, "toEngine"),
			bytesToClient: bytes.Draw(t, "toClient"),
			silent:        rapid.Bool().Draw(t, "silent"),
		}
	}), 0, 4).Draw(t, "faults")
}

// chatUnderFaults makes one call over faulty connections and returns the violation
// that the oracle finds.
func chatUnderFaults(faults []connectionFault, chat func(address string, onToken func(int, string) error) error) error {
	engine := bvstandin.NewEngine(bvstandin.EngineConfig{Instant: true})
	server := bvloopback.NewServer(engine)
	defer server.Close()
	proxy, err := newFaultyProxy(server.Listener.Addr().String(), faults)
	if err != nil {
		return err
	}
	defer proxy.close()
	var received strings.Builder
	err = chat(proxy.listener.Addr().String(), func(_ int, text string) error {
		received.WriteString(text)
		return nil
	})
	return checkOutcome(engine.Stats().Calls, received.String(), err)
}

// checkOutcome is the oracle: the engine ran the call at most once, the received text
// is a prefix of the answer, success means the complete answer, and "not run" means
// that the engine ran nothing.
func checkOutcome(runs int, received string, err error) error {
	digest, _ := bvstandin.Digest(testMessages)
	answer := bvstandin.AnswerText(digest, testTokens)
	switch {
	case runs > 1:
		return fmt.Errorf("the engine ran the call %d times", runs)
	case !strings.HasPrefix(answer, received):
		return fmt.Errorf("received %q, expected %q", received, answer)
	case err == nil && received != answer:
		return fmt.Errorf("success with %q", received)
	case err != nil && bvverdict.Of(err) == bvverdict.NotRun && runs > 0:
		return fmt.Errorf("not run, but it ran: %w", err)
	}
	return nil
}

// clientUnderFaults returns a chat function that uses the product's client.
func clientUnderFaults(t *testing.T) func(string, func(int, string) error) error {
	return func(address string, onToken func(int, string) error) error {
		client := &bvendpoint.Client{ProgressTimeout: 40 * bvclock.Millisecond}
		defer client.Close()
		_, err := client.Chat(t.Context(), address, testCall(), onToken)
		return err
	}
}

// Guards against tokens that are lost, duplicated or from another call, under any
// connection faults.
func TestChatUnderFaultyConnections(t *testing.T) {
	fixSeed(t, 60)
	rapid.Check(t, func(r *rapid.T) {
		if err := chatUnderFaults(drawFaults(r), clientUnderFaults(t)); err != nil {
			r.Fatal(err)
		}
	})
}

// Shows that the oracle detects a client that sends a call again.
func TestOracleCatchesClientThatSendsAgain(t *testing.T) {
	faults := []connectionFault{{bytesToEngine: -1, bytesToClient: 600}}
	err := chatUnderFaults(faults, func(address string, onToken func(int, string) error) error {
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
	server := bvloopback.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
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

// recordStream returns the response of an engine, so that the benchmark measures
// only the client.
func recordStream(b *testing.B, tokens int) []byte {
	engine := bvstandin.NewEngine(bvstandin.EngineConfig{Instant: true})
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(fmt.Sprintf(
		`{"model":"m","messages":%s,"max_tokens":%d,"stream":true,"stream_options":{"include_usage":true}}`, testMessages, tokens)))
	engine.ServeHTTP(recorder, request)
	if !strings.HasSuffix(recorder.Body.String(), "[DONE]\n\n") {
		b.Fatal("stream is incomplete")
	}
	return recorder.Body.Bytes()
}
