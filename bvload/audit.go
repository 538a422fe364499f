package bvload

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"balsamvalve.example/bvstandin"
)

const (
	releaseWait = 15 * time.Second
	releasePoll = 200 * time.Millisecond
	auditWait   = 30 * time.Second
)

// audit asks services and engines whether the promises held that no answer
// alone can prove.
func (load *load) audit(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), auditWait)
	defer cancel()
	if len(load.config.Counters) > 0 {
		for _, request := range load.measure.once {
			load.auditRuns(ctx, request)
		}
	}
	if len(load.config.Engines) > 0 {
		load.auditCaches(ctx)
	}
}

// auditRuns asks how often an unrepeatable request ran: once at most, once
// when it has an answer, and never when the system said that it was not run.
func (load *load) auditRuns(ctx context.Context, sent sentOnce) {
	runs, err := load.runs(ctx, sent.request)
	load.measure.locked(func() {
		switch {
		case err != nil:
			load.measure.unasked++
		case runs > 1:
			load.measure.twice++
			load.measure.note("twice", sent.request, fmt.Sprintf("ran %d times", runs))
		case runs == 1 && sent.notRun:
			load.measure.falseRefusal++
			load.measure.note("false refusal", sent.request, "said to be not run, but ran")
		case runs == 0 && sent.known:
			load.measure.lost++
			load.measure.note("lost", sent.request, "answered, but the services know of no run")
		}
	})
}

func (load *load) runs(ctx context.Context, request string) (int, error) {
	total := 0
	for _, address := range load.config.Counters {
		var answer struct {
			Runs int `json:"runs"`
		}
		if err := load.ask(ctx, address, "/runs?request="+url.QueryEscape(request), &answer); err != nil {
			return 0, err
		}
		total += answer.Runs
	}
	return total, nil
}

func (load *load) ask(ctx context.Context, address, path string, answer any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return fmt.Errorf("load: %w", err)
	}
	response, err := load.client.Do(request)
	if err != nil {
		return fmt.Errorf("load: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(answer); err != nil {
		return fmt.Errorf("load: %w", err)
	}
	return nil
}

// auditCaches waits until no engine holds memory for a program that has ended,
// and counts those that are still held when the wait is over.
func (load *load) auditCaches(ctx context.Context) {
	ended := make(map[endedProgram]bool)
	for _, program := range load.measure.endings {
		ended[program] = true
	}
	deadline := time.Now().Add(releaseWait)
	for {
		held := 0
		for _, address := range load.config.Engines {
			held += load.heldAt(ctx, address, ended)
		}
		load.measure.locked(func() { load.measure.held = held })
		if held == 0 || time.Now().After(deadline) || !pause(ctx, releasePoll) {
			return
		}
	}
}

func (load *load) heldAt(ctx context.Context, address string, ended map[endedProgram]bool) int {
	var answer struct {
		Cached []bvstandin.CachedPrefix `json:"cached"`
	}
	if err := load.ask(ctx, address, "/cache", &answer); err != nil {
		return 0 // an engine that is gone holds nothing
	}
	held := 0
	for _, cached := range answer.Cached {
		if ended[endedProgram{cached.Salt, cached.Prefix}] {
			held++
		}
	}
	return held
}
