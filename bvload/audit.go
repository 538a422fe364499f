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
	releaseTimeout      = 15 * time.Second
	releasePollInterval = 200 * time.Millisecond
	auditTimeout        = 30 * time.Second
)

// audit queries services and engines to check the promises that an answer alone can't
// prove.
func (load *load) audit(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), auditTimeout)
	defer cancel()
	if len(load.config.ServiceAddresses) > 0 {
		for _, request := range load.measure.unrepeatableRequests {
			load.auditRuns(ctx, request)
		}
	}
	if len(load.config.EngineAddresses) > 0 {
		load.auditCaches(ctx)
	}
}

// auditRuns checks how often an unrepeatable request ran: at most once, exactly once if
// it was answered, and never if the system reported it as not run.
func (load *load) auditRuns(ctx context.Context, sent unrepeatableRequest) {
	runs, err := load.countRuns(ctx, sent.request)
	load.measure.withLock(func() {
		switch {
		case err != nil:
			load.measure.unverified++
		case runs > 1:
			load.measure.duplicateRuns++
			load.measure.addBrokenPromise("twice", sent.request, fmt.Sprintf("ran %d times", runs))
		case runs == 1 && sent.notRun:
			load.measure.falseRefusals++
			load.measure.addBrokenPromise("false refusal", sent.request, "reported as not run, but ran")
		case runs == 0 && sent.answered:
			load.measure.lost++
			load.measure.addBrokenPromise("lost", sent.request, "answered, but no service counted a run")
		}
	})
}

func (load *load) countRuns(ctx context.Context, request string) (int, error) {
	total := 0
	for _, address := range load.config.ServiceAddresses {
		var answer struct {
			Runs int `json:"runs"`
		}
		if err := load.getJSON(ctx, address, "/runs?request="+url.QueryEscape(request), &answer); err != nil {
			return 0, err
		}
		total += answer.Runs
	}
	return total, nil
}

func (load *load) getJSON(ctx context.Context, address, path string, answer any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return fmt.Errorf("load: %w", err)
	}
	response, err := load.client.Do(request)
	if err != nil {
		return fmt.Errorf("load: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("load: status %d", response.StatusCode)
	}
	if err := json.NewDecoder(response.Body).Decode(answer); err != nil {
		return fmt.Errorf("load: %w", err)
	}
	return nil
}

// auditCaches waits until no engine caches a prefix of an ended program, and counts the
// prefixes that are still cached at the timeout.
func (load *load) auditCaches(ctx context.Context) {
	ended := make(map[endedProgram]bool)
	for _, program := range load.measure.endedPrograms {
		ended[program] = true
	}
	deadline := time.Now().Add(releaseTimeout)
	for {
		heldPrefixes := 0
		for _, address := range load.config.EngineAddresses {
			heldPrefixes += load.countHeldPrefixes(ctx, address, ended)
		}
		load.measure.withLock(func() { load.measure.heldPrefixes = heldPrefixes })
		if heldPrefixes == 0 || time.Now().After(deadline) || !pause(ctx, releasePollInterval) {
			return
		}
	}
}

func (load *load) countHeldPrefixes(ctx context.Context, address string, ended map[endedProgram]bool) int {
	var answer struct {
		Cached []bvstandin.CachedPrefix `json:"cached"`
	}
	if err := load.getJSON(ctx, address, "/cache", &answer); err != nil {
		return 0 // an unreachable engine counts as caching nothing
	}
	heldPrefixes := 0
	for _, cached := range answer.Cached {
		if ended[endedProgram{cached.Salt, cached.Prefix}] {
			heldPrefixes++
		}
	}
	return heldPrefixes
}
