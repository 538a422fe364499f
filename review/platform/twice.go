package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The deployment of the case: eight hosts before a plain service whose calls may not be repeated. In each
// round, twice as many clients as usual send calls for 4 s, and a share of 0.5 of the engines sends a share of
// 0.03 of its answers a second time for 5 s.
const (
	twiceHosts     = 8
	twiceEngines   = 2
	twiceSlots     = 6
	twiceFaulty    = 1
	twiceExtras    = 0.03
	twiceClients   = 32 // each keeps a connection open and has one call in flight
	twiceUsual     = 16 // clients outside the bursts
	twiceRounds    = 11
	twiceRoundTime = 8 * time.Second
	twiceBurstTime = 4 * time.Second
	twiceFaultTime = 5 * time.Second
	twiceDeadline  = 1200 // ms
)

// attempt is a call of a client as it saw it.
type attempt struct {
	id     string
	status int // 0: no answer
}

// playTwice sends calls that may run once, some more than the engines have slots for at times. Some engines
// send a few of their answers twice.
func playTwice(play play) (bool, error) {
	store, err := startStore("127.0.0.2")
	if err != nil {
		return false, err
	}
	var mutex sync.Mutex
	runs := make(map[string][]run)
	onRun := func(run run) {
		mutex.Lock()
		defer mutex.Unlock()
		runs[run.attempt] = append(runs[run.attempt], run)
		play.record.add("run %s at %s", run.attempt, run.engine)
	}
	var engines []*engine
	for number := range twiceEngines {
		config := engineConfig{
			name: fmt.Sprintf("i-%d", number+1), service: "desk", slots: twiceSlots, extraShare: twiceExtras,
			work: func() time.Duration { return time.Duration(20+rand.IntN(40)) * time.Millisecond },
		}
		engine, err := startEngine(fmt.Sprintf("127.0.0.%d", 31+number), store, config, onRun)
		if err != nil {
			return false, err
		}
		engines = append(engines, engine)
	}
	store.put("op", "config", twiceState())
	fleet, err := newFleet(play.root, play.scratch, store.address, twiceHosts, settings{ramMb: 256})
	if err != nil {
		return false, err
	}
	defer fleet.stopAll()
	if err := fleet.startAll(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	attempts := playBursts(play, fleet, engines)
	time.Sleep(2 * time.Second) // requests that run later
	return judgeTwice(play, engines, attempts, runs, &mutex), nil
}

// twiceState is the desired state: one route to the service.
func twiceState() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-post", "host": "desk.example", "prefix": "/post/", "type": "non_idempotent", "timeoutMs": twiceDeadline,
			"goalMs": 200, "priority": 2, "service": "desk", "attempts": 1, "sticky": false, "resumable": false, "retained": false,
		}},
		"services": []map[string]any{{"name": "desk", "healthPath": "/healthz", "maxConns": 530}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// playBursts sends the calls of some clients; for a part of each round, of more than usual.
func playBursts(play play, fleet *fleet, engines []*engine) []attempt {
	var mutex sync.Mutex
	var attempts []attempt
	var clients sync.WaitGroup
	start := time.Now()
	for number := range twiceClients {
		clients.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 3 * time.Second}
			address := fleet.hosts[number%len(fleet.hosts)].front()
			for {
				elapsed := time.Since(start)
				if elapsed > twiceRounds*twiceRoundTime {
					return
				}
				if number >= twiceUsual && elapsed%twiceRoundTime > twiceBurstTime {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				made := sendCall(play, client, address)
				mutex.Lock()
				attempts = append(attempts, made)
				mutex.Unlock()
				time.Sleep(time.Duration(5+rand.IntN(20)) * time.Millisecond)
			}
		})
	}
	clients.Go(func() {
		for elapsed := time.Duration(0); elapsed < twiceRounds*twiceRoundTime; elapsed = time.Since(start) {
			for _, engine := range engines[:twiceFaulty] {
				engine.faulty.Store(play.trouble && elapsed%twiceRoundTime < twiceFaultTime)
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
	clients.Wait()
	return attempts
}

// sendCall sends a call once.
func sendCall(play play, client *http.Client, address string) attempt {
	made := attempt{id: newID()}
	body := []byte("post " + made.id)
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/post/one", bytes.NewReader(body))
	if err != nil {
		return made
	}
	request.GetBody = nil // the client does not send a request again by itself
	request.Host = "desk.example"
	request.Header.Set("Attempt-Id", made.id)
	request.Header.Set("Deadline-Ms", strconv.Itoa(twiceDeadline))
	play.record.add("sent %s to %s", made.id, address)
	response, err := client.Do(request)
	if err != nil {
		play.record.add("no answer %s: %v", made.id, err)
		return made
	}
	defer func() { _ = response.Body.Close() }()
	content, _ := io.ReadAll(response.Body) // the status decides
	made.status = response.StatusCode
	play.record.add("answered %s %d %s", made.id, made.status, strings.TrimSpace(string(content)))
	return made
}

// judgeTwice reports whether a call ran more than once.
func judgeTwice(play play, engines []*engine, attempts []attempt, runs map[string][]run, mutex *sync.Mutex) bool {
	mutex.Lock()
	defer mutex.Unlock()
	statuses := make(map[int]int)
	twice, refused := 0, 0
	for _, attempt := range attempts {
		statuses[attempt.status]++
		made := runs[attempt.id]
		if len(made) > 1 {
			twice++
			play.record.print("TWICE: %s ran %d times and was answered %d: %s", attempt.id, len(made), attempt.status, describe(made))
		}
		if len(made) > 0 && isPromise(attempt.status) {
			refused++
			play.record.print("REFUSED: %s was answered %d and ran: %s", attempt.id, attempt.status, describe(made))
		}
	}
	for _, engine := range engines {
		play.record.print("engine %s: %d answers, %d refusals, %d extra answers", engine.config.name, engine.answers.Load(), engine.refusals.Load(), engine.extras.Load())
	}
	play.record.print("calls: %d, by status: %v; run twice: %d; refused although run: %d", len(attempts), statuses, twice, refused)
	return twice > 0
}

// isPromise reports whether a status promises that the request has not run and never will.
func isPromise(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}

func describe(runs []run) string {
	sort.Slice(runs, func(a, b int) bool { return runs[a].at.Before(runs[b].at) })
	var parts []string
	for _, run := range runs {
		parts = append(parts, fmt.Sprintf("%s +%dms", run.engine, run.at.Sub(runs[0].at).Milliseconds()))
	}
	return strings.Join(parts, ", ")
}
