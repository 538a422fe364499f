package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	engineIdleTimeout = 15 * time.Second
	// extraLifetime is how long a second answer is held back until the next request arrives on its connection.
	extraLifetime = 2 * time.Second
)

// run is a request that an engine began to work on.
type run struct {
	attempt string
	engine  string
	at      time.Time
}

// engineConfig describes an engine.
type engineConfig struct {
	name    string
	service string
	slots   int
	// work returns how long a request takes. Engines of streams ignore it.
	work func() time.Duration
	// eventTokens and eventPause are set for engines of streams: the tokens of an event, and the time
	// that it takes.
	eventTokens int
	eventPause  time.Duration
	// extraShare is the share of the answers that are sent a second time.
	extraShare float64
}

// engine is a stand-in of one engine of a service. It is sound but for the extra answers.
type engine struct {
	config  engineConfig
	address string
	onRun   func(run)

	active   atomic.Int64
	answers  atomic.Int64
	refusals atomic.Int64
	extras   atomic.Int64
	faulty   atomic.Bool // extra answers are sent

	mutex sync.Mutex
	seq   int
}

// startEngine serves an engine on a free port and registers it in the store.
func startEngine(ip string, store *store, config engineConfig, onRun func(run)) (*engine, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	engine := &engine{config: config, address: listener.Addr().String(), onRun: onRun}
	entry := map[string]any{
		"service": config.service, "addr": engine.address, "zone": "hall-1", "version": "v1", "slots": config.slots,
		"state": "ready", "coldLeftMs": 0, "seq": 1,
	}
	if config.eventTokens > 0 {
		entry["phase"] = "both"
		entry["models"] = []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	store.put("servers", config.name, entry)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go engine.serve(conn)
		}
	}()
	return engine, nil
}

// serve answers the requests of a connection, one after the other.
func (engine *engine) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var extra []byte // second answer to the request before
	var extraUntil time.Time
	for {
		_ = conn.SetReadDeadline(time.Now().Add(engineIdleTimeout)) // fails only on a closed connection
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if extra != nil && time.Now().Before(extraUntil) {
			engine.extras.Add(1)
			_, _ = conn.Write(extra)
		}
		extra = nil
		answer := engine.answer(conn, request)
		if answer == nil {
			return
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
		engine.answers.Add(1)
		if engine.faulty.Load() && rand.Float64() < engine.config.extraShare {
			extra, extraUntil = answer, time.Now().Add(extraLifetime)
		}
	}
}

// answer handles a request and returns the bytes of the answer, or nil if the connection ends. A stream
// is written while it is made; only its end is returned.
func (engine *engine) answer(conn net.Conn, request *http.Request) []byte {
	attempt := request.Header.Get("Attempt-Id")
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != engine.config.name {
		return engine.format(http.StatusMisdirectedRequest, attempt, "Instance-Id: "+engine.config.name+"\r\n", nil)
	}
	if request.URL.Path == "/healthz" {
		return engine.format(http.StatusOK, attempt, "Instance-Id: "+engine.config.name+"\r\n", nil)
	}
	if attempt == "" {
		return engine.format(http.StatusBadRequest, attempt, "Not-Executed: 1\r\n", nil)
	}
	if engine.active.Add(1) > int64(engine.config.slots) {
		engine.active.Add(-1)
		engine.refusals.Add(1)
		return engine.format(http.StatusServiceUnavailable, attempt, "Not-Executed: 1\r\n", nil)
	}
	defer engine.active.Add(-1)
	engine.onRun(run{attempt, engine.config.name, time.Now()})
	limit := deadlineOf(request)
	if engine.config.eventTokens > 0 {
		return engine.stream(conn, request, limit)
	}
	work := engine.config.work()
	if work > limit {
		time.Sleep(limit)
		return engine.format(http.StatusGatewayTimeout, attempt, engine.seal(attempt), nil)
	}
	time.Sleep(work)
	return engine.format(http.StatusOK, attempt, engine.seal(attempt), []byte("done "+attempt+" at "+engine.config.name+"\n"))
}

// deadlineOf returns how long the engine may work on a request.
func deadlineOf(request *http.Request) time.Duration {
	ms, err := strconv.Atoi(request.Header.Get("Deadline-Ms"))
	if err != nil {
		return time.Minute
	}
	return time.Duration(ms) * time.Millisecond
}

func (engine *engine) seal(attempt string) string {
	return "Server-Seal: " + engine.config.name + "." + attempt + "\r\n"
}

// format returns an answer with a length. The last figure of the load states that work takes as long as usual.
func (engine *engine) format(status int, attempt, headers string, body []byte) []byte {
	var answer bytes.Buffer
	fmt.Fprintf(&answer, "HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\nInstance-Load: %d,0,%d,100\r\nKeep-Alive: timeout=%d\r\n%sContent-Length: %d\r\n\r\n",
		status, http.StatusText(status), attempt, min(engine.active.Load(), int64(engine.config.slots)), engine.config.slots,
		int(engineIdleTimeout.Seconds()), headers, len(body))
	answer.Write(body)
	return answer.Bytes()
}

// stream writes a stream that generates as many tokens as the client allows.
func (engine *engine) stream(conn net.Conn, request *http.Request, limit time.Duration) []byte {
	attempt := request.Header.Get("Attempt-Id")
	_, most, _ := strings.Cut(request.Header.Get("Token-Count"), ",")
	tokens, err := strconv.Atoi(most)
	if err != nil {
		return engine.format(http.StatusBadRequest, attempt, engine.seal(attempt), nil)
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n%sContent-Type: text/event-stream\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		attempt, engine.seal(attempt))
	end := time.Now().Add(limit)
	for number := 1; number*engine.config.eventTokens <= tokens; number++ {
		time.Sleep(engine.config.eventPause)
		if time.Now().After(end) {
			return nil
		}
		event := fmt.Sprintf("id: %d\ndata: %s-%d\n\n", number, attempt, number)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return nil
		}
	}
	return []byte("0\r\n\r\n")
}
