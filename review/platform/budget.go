package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The deployment of the case: three hosts before engines that stream. One host is restarted, as planned,
// while programs run through the second host. Then they run through the third one, are stopped, and return
// there within the retention time.
const (
	budgetEngines   = 3
	budgetPrograms  = 16
	budgetTokens    = 4576
	budgetTurn      = 572 // most tokens of a turn
	budgetEvent     = 22  // tokens of an event
	budgetSettle    = 9 * time.Second
	budgetDowntime  = time.Second
	budgetFirst     = 3 // turns through the second host
	budgetPause     = 12 * time.Second
	budgetSecond    = 3 // turns through the third host
	budgetReturn    = 91 * time.Second
	budgetLast      = 12 // most turns after the return
	budgetDeadline  = 3000
	budgetRetention = 60.0 // seconds
	budgetRefusals  = 20   // most refusals of a turn before its program ends
)

// program is a program of a client.
type program struct {
	id       string
	tokens   int
	turns    int
	spent    bool // it was answered 402
	lastTurn time.Time
}

// playBudget sends turns of programs until their budgets are spent.
func playBudget(play play) (bool, error) {
	store, err := startStore("127.0.0.2")
	if err != nil {
		return false, err
	}
	onRun := func(run run) { play.record.add("run %s at %s", run.attempt, run.engine) }
	for number := range budgetEngines {
		config := engineConfig{name: fmt.Sprintf("i-%d", number+1), service: "models", slots: 16, eventTokens: budgetEvent, eventPause: 3 * time.Millisecond}
		if _, err := startEngine(fmt.Sprintf("127.0.0.%d", 31+number), store, config, onRun); err != nil {
			return false, err
		}
	}
	store.put("op", "config", budgetState())
	fleet, err := newFleet(play.root, play.scratch, store.address, 3, settings{ramMb: 144})
	if err != nil {
		return false, err
	}
	defer fleet.stopAll()
	if err := fleet.startAll(); err != nil {
		return false, err
	}
	time.Sleep(budgetSettle)
	var programs []*program
	for range budgetPrograms {
		programs = append(programs, &program{id: newID()[:6]})
	}
	return runPrograms(play, store, fleet, programs)
}

// budgetState is the desired state: one route to the engines.
func budgetState() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-turn", "host": "models.example", "prefix": "/turn/", "type": "stream", "timeoutMs": budgetDeadline, "goalMs": 200,
			"priority": 1, "service": "models", "attempts": 1, "retained": false, "retainS": budgetRetention, "sticky": true, "resumable": true, "gapTargetMs": 250,
		}},
		"services": []map[string]any{{
			"name": "models", "healthPath": "/healthz", "maxConns": 180,
			"engine": map[string]any{"slots": 16, "kvCap": 487834, "chunkTokens": budgetEvent, "pinMs": 4000.0},
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// runPrograms sends the turns of all programs, and reports whether one got more tokens than its budget and
// the most of one turn.
func runPrograms(play play, store *store, fleet *fleet, programs []*program) (bool, error) {
	restarted, second, third := fleet.hosts[0], fleet.hosts[1], fleet.hosts[2]
	if play.trouble {
		play.record.print("SIGTERM to %s", restarted.name)
		restarted.signal(syscall.SIGTERM)
		if !restarted.awaitExit(8 * time.Second) {
			return false, fmt.Errorf("%s did not stop in time", restarted.name)
		}
		play.record.print("%s has stopped", restarted.name)
	}
	stoppedAt := time.Now()
	sendTurns(play, second.front(), programs, budgetFirst)
	start := time.Now()
	if play.trouble {
		time.Sleep(time.Until(stoppedAt.Add(budgetDowntime)))
		if err := restarted.start(false); err != nil {
			return false, err
		}
		if !restarted.awaitReady(10 * time.Second) {
			return false, fmt.Errorf("%s is not ready again", restarted.name)
		}
		play.record.print("%s is ready again", restarted.name)
	}
	recordRows(play, store, "after the turns at "+second.name)
	for number := range budgetSecond {
		time.Sleep(time.Until(start.Add(time.Duration(number+1) * budgetPause)))
		sendTurns(play, third.front(), programs, 1)
	}
	recordRows(play, store, "as the programs are stopped")
	time.Sleep(time.Until(start.Add(budgetReturn)))
	recordRows(play, store, "as the programs return")
	for _, program := range programs {
		play.record.add("program %s returns after %.1f s", program.id, time.Since(program.lastTurn).Seconds())
	}
	sendTurns(play, third.front(), programs, budgetLast)
	recordRows(play, store, "at the end")
	for _, line := range fleet.logLines("host is off the list") {
		play.record.add("%s", line)
	}
	for _, line := range fleet.logLines("host is listed") {
		play.record.add("%s", line)
	}
	return judgeBudget(play, programs), nil
}

// sendTurns sends turns of all programs at the same time, one after the other of each.
func sendTurns(play play, address string, programs []*program, count int) {
	var running sync.WaitGroup
	for _, program := range programs {
		running.Go(func() {
			for range count {
				if program.spent {
					return
				}
				sendTurn(play, address, program)
			}
		})
	}
	running.Wait()
}

// sendTurn sends a turn, again after each refusal that promises that it has not run.
func sendTurn(play play, address string, program *program) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 4 * time.Second}
	for range budgetRefusals {
		id := newID()
		request, err := http.NewRequest(http.MethodPost, "http://"+address+"/turn/one", bytes.NewReader(make([]byte, 1840)))
		if err != nil {
			return
		}
		request.GetBody = nil // the client does not send a request again by itself
		request.Host = "models.example"
		for name, value := range map[string]string{
			"Attempt-Id": id, "Deadline-Ms": strconv.Itoa(budgetDeadline), "Model": "m",
			"Token-Count": fmt.Sprintf("1840,%d", budgetTurn), "Token-Budget": strconv.Itoa(budgetTokens),
			"Prompt-Prefix": "5c1e07a2:1260," + program.id + "aa:580", "Program-Id": program.id, "Session-Id": program.id,
			"Program-Deadline-Ms": "110000",
		} {
			request.Header.Set(name, value)
		}
		play.record.add("sent %s of program %s to %s", id, program.id, address)
		response, err := client.Do(request)
		if err != nil {
			play.record.add("no answer %s: %v", id, err)
			return
		}
		events, whole := countEvents(response.Body)
		_ = response.Body.Close()
		program.tokens += events * budgetEvent
		program.lastTurn = time.Now()
		play.record.add("answered %s of program %s: %d, %d tokens, whole: %t", id, program.id, response.StatusCode, events*budgetEvent, whole)
		switch response.StatusCode {
		case http.StatusPaymentRequired:
			program.spent = true
			return
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64) // missing: at once
			time.Sleep(time.Duration(min(seconds, 1) * float64(time.Second)))
			continue
		}
		program.turns++
		return
	}
}

// countEvents counts the events of a stream, and reports whether its end was received.
func countEvents(body io.Reader) (events int, whole bool) {
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		if strings.HasPrefix(scanner.Text(), "data:") {
			events++
		}
	}
	return events, scanner.Err() == nil
}

// recordRows records the rows of the programs' budgets.
func recordRows(play play, store *store, moment string) {
	rows := store.dump("budget")
	play.record.print("%d rows of budgets %s", len(rows), moment)
	for key, value := range rows {
		play.record.add("row %s %s", key, value)
	}
}

// judgeBudget reports whether a program got more tokens than its budget and the most of one turn.
func judgeBudget(play play, programs []*program) bool {
	over := 0
	for _, program := range programs {
		verdict := "held"
		if program.tokens > budgetTokens+budgetTurn {
			verdict = "BUDGET"
			over++
		}
		play.record.print("%s: program %s got %d tokens in %d turns; budget %d and %d of one turn", verdict, program.id, program.tokens, program.turns, budgetTokens, budgetTurn)
	}
	play.record.print("%d of %d programs got more than their budgets", over, len(programs))
	return over > 0
}
