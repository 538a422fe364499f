package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The deployment of the case: four hosts before a plain service. The hosts are stopped and started in turn,
// and the settings files of two of them change while they stop.
const (
	lostHosts    = 4
	lostEngines  = 3
	lostClients  = 18
	lostDeadline = 3000 // ms
	lostHupAfter = time.Second
	lostGrace    = 8 * time.Second
	lostDowntime = time.Second
	lostSettle   = 4 * time.Second
	lostFiles    = 2 // hosts whose settings files change, one at a time: a share of 0.25
)

// lostRequest is a request as its client saw it.
type lostRequest struct {
	id     string
	host   *host
	sentAt time.Time
	endAt  time.Time
	status int // 0: no head of an answer
	whole  bool
}

// playLost restarts the hosts one after the other while clients send calls.
func playLost(play play) (bool, error) {
	store, err := startStore("127.0.0.2")
	if err != nil {
		return false, err
	}
	var mutex sync.Mutex
	runs := make(map[string]run)
	for number := range lostEngines {
		config := engineConfig{
			name: fmt.Sprintf("i-%d", number+1), service: "desk", slots: 16,
			work: func() time.Duration { return time.Duration(50+rand.IntN(400)) * time.Millisecond },
		}
		_, err := startEngine(fmt.Sprintf("127.0.0.%d", 31+number), store, config, func(run run) {
			mutex.Lock()
			defer mutex.Unlock()
			runs[run.attempt] = run
			play.record.add("run %s at %s", run.attempt, run.engine)
		})
		if err != nil {
			return false, err
		}
	}
	state := twiceState()
	state["routes"].([]map[string]any)[0]["timeoutMs"] = lostDeadline
	store.put("op", "config", state)
	fleet, err := newFleet(play.root, play.scratch, store.address, lostHosts, settings{ramMb: 144})
	if err != nil {
		return false, err
	}
	defer fleet.stopAll()
	if err := fleet.startAll(); err != nil {
		return false, err
	}
	time.Sleep(lostSettle)
	rotation, done := newRotation(fleet), make(chan struct{})
	var clients sync.WaitGroup
	var requests []lostRequest
	for number := range lostClients {
		clients.Go(func() {
			sent := sendRequests(play, rotation, number, done)
			mutex.Lock()
			defer mutex.Unlock()
			requests = append(requests, sent...)
		})
	}
	stops, err := restartInTurn(play, fleet)
	close(done)
	clients.Wait()
	close(rotation.stop)
	if err != nil {
		return false, err
	}
	mutex.Lock()
	defer mutex.Unlock()
	return judgeLost(play, requests, runs, stops), nil
}

// restartInTurn stops and starts the hosts, and returns the time of each SIGTERM.
func restartInTurn(play play, fleet *fleet) (map[*host]time.Time, error) {
	stops := make(map[*host]time.Time)
	time.Sleep(2 * time.Second)
	for number, host := range fleet.hosts {
		play.record.print("SIGTERM to %s", host.name)
		stops[host] = time.Now()
		host.signal(syscall.SIGTERM)
		if play.trouble && number < lostFiles {
			time.Sleep(lostHupAfter)
			play.record.print("the settings file of %s is written again; SIGHUP to it", host.name)
			if err := host.writeSettings(false); err != nil {
				return nil, err
			}
			host.signal(syscall.SIGHUP)
		}
		if !host.awaitExit(time.Until(stops[host].Add(lostGrace))) {
			host.signal(syscall.SIGKILL)
			host.awaitExit(time.Second)
		}
		play.record.print("%s ended %.1f s after the SIGTERM: %s", host.name, time.Since(stops[host]).Seconds(), host.process.ProcessState)
		time.Sleep(lostDowntime)
		if err := host.start(false); err != nil {
			return nil, err
		}
		if !host.awaitReady(10 * time.Second) {
			return nil, fmt.Errorf("%s is not ready again", host.name)
		}
		time.Sleep(lostSettle)
	}
	return stops, nil
}

// sendRequests sends calls one after the other over a kept connection, until done is closed.
func sendRequests(play play, rotation *rotation, own int, done chan struct{}) (sent []lostRequest) {
	var host *host
	var conn net.Conn
	var reader *bufio.Reader
	for {
		select {
		case <-done:
			return sent
		default:
		}
		if conn == nil {
			host = rotation.choose(own)
			opened, err := net.DialTimeout("tcp", host.front(), time.Second)
			if err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
			conn, reader = opened, bufio.NewReader(opened)
		}
		request := lostRequest{id: newID(), host: host, sentAt: time.Now()}
		play.record.add("sent %s to %s", request.id, host.name)
		keep := request.exchange(conn, reader)
		request.endAt = time.Now()
		play.record.add("answered %s %d, whole: %t", request.id, request.status, request.whole)
		sent = append(sent, request)
		if !keep {
			_ = conn.Close()
			conn = nil
		}
		time.Sleep(time.Duration(5+rand.IntN(20)) * time.Millisecond)
	}
}

// exchange sends the request and reads its answer. It reports whether the connection may be used again.
func (request *lostRequest) exchange(conn net.Conn, reader *bufio.Reader) (keep bool) {
	_ = conn.SetDeadline(time.Now().Add((lostDeadline + 500) * time.Millisecond)) // fails only on a closed connection
	body := "post " + request.id
	text := "POST /post/one HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + request.id + "\r\nDeadline-Ms: " +
		strconv.Itoa(lostDeadline) + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	if _, err := io.WriteString(conn, text); err != nil {
		return false
	}
	response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return false
	}
	request.status = response.StatusCode
	content, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	request.whole = err == nil
	if request.status == http.StatusOK && !strings.HasPrefix(string(content), "done "+request.id) {
		request.whole = false
	}
	return err == nil && !response.Close
}

// judgeLost reports whether a request that was passed on to an engine ended without a complete answer: sent to
// a host around its SIGTERM, and ended before the client's time limit and the last sixth of the grace time.
func judgeLost(play play, requests []lostRequest, runs map[string]run, stops map[*host]time.Time) bool {
	lost := 0
	for _, request := range requests {
		_, ran := runs[request.id]
		stoppedAt := stops[request.host]
		isPlanned := !stoppedAt.IsZero() && request.endAt.After(stoppedAt) && request.endAt.Before(stoppedAt.Add(lostGrace*5/6))
		isInTime := request.endAt.Sub(request.sentAt) < lostDeadline*time.Millisecond*7/10
		if request.whole || !ran || !isPlanned || !isInTime {
			continue
		}
		lost++
		play.record.print("LOST: %s ran, and its connection to %s ended without a complete answer %.3f s after the SIGTERM, %d ms after it was sent",
			request.id, request.host.name, request.endAt.Sub(stoppedAt).Seconds(), request.endAt.Sub(request.sentAt).Milliseconds())
	}
	play.record.print("%d requests; %d lost around planned work", len(requests), lost)
	return lost > 0
}
