// Package bvload generates load: it runs agent programs against running daemons through
// the caller API and checks the system's promises.
//
// A program is a chain of model calls with tool calls, pauses and sub-agents
// in between. All programs are drawn from one seed before they run. The model
// endpoints must be stand-in engines, whose answers begin with a digest of the
// messages in the request: each answer proves whether it belongs to exactly the
// caller's history.
//
// In a closed loop a fixed number of programs is in flight at any time. In an open loop
// programs start at a given rate, whether or not earlier ones have ended; their latency
// counts from the planned start, so that it includes any stall of the system.
//
// # Usage
//
//	report, err := bvload.Run(ctx, bvload.Config{
//		Addresses:   []string{"10.0.0.1:8080", "10.0.0.2:8080"},
//		Members:     bvload.Members(map[string]string{"piran": key1, "brindley": key2}),
//		Programs:    100,
//		Concurrency: 20,
//		Seed:        1,
//	})
//	fmt.Print(report.Text())
//	if !report.AllPromisesHold() {
//		// a promise was broken
//	}
package bvload

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvresponse"
)

// Defaults of Config.
const (
	defaultPrograms    = 20
	defaultConcurrency = 4
	defaultDeadline    = 60 * bvclock.Second
	defaultMaxAttempts = 30
	progressInterval   = time.Second
)

// Config configures a load. A zero field means its default.
type Config struct {
	Addresses        []string         // caller API of the daemons; requests use them in turn
	Members          []Member         // members whose programs run
	Programs         int              // total number; 20
	Concurrency      int              // closed loop: programs in flight; 4
	Rate             float64          // open loop: programs started per second; 0: closed loop
	Seed             uint64           // seed of all random draws
	Deadline         bvclock.Duration // of each request, including its retries; 60 s
	MaxAttempts      int              // attempts of each request; 30
	PauseFactor      float64          // factor on all pauses; 0: 1, negative: none
	RunID            string           // prefix of the ids of programs; empty: random
	ServiceAddresses []string         // services queried for the runs of a request
	EngineAddresses  []string         // engines queried for cached prefixes at the end
	Progress         func(Progress)   // called every second
}

// Progress is the progress of a load.
type Progress struct {
	Programs int
	Finished int
	Failed   int
	Requests int
}

func (config Config) withDefaults() Config {
	if config.Programs <= 0 {
		config.Programs = defaultPrograms
	}
	if config.Concurrency <= 0 {
		config.Concurrency = defaultConcurrency
	}
	if config.Deadline <= 0 {
		config.Deadline = defaultDeadline
	}
	if config.MaxAttempts <= 0 {
		config.MaxAttempts = defaultMaxAttempts
	}
	if config.PauseFactor == 0 {
		config.PauseFactor = 1
	}
	if config.RunID == "" {
		config.RunID = strings.ToLower(rand.Text()[:8])
	}
	return config
}

// load is a load in progress.
type load struct {
	config     Config
	planner    planner
	client     *http.Client
	nextDaemon atomic.Uint64 // selects the daemon of the next request
	measure    measure
	started    time.Time
}

// Run runs the programs and returns the report when all have ended. An error means that
// the load could not start; broken promises are in the report.
func Run(ctx context.Context, config Config) (Report, error) {
	config = config.withDefaults()
	if len(config.Addresses) == 0 {
		return Report{}, errors.New("load: no daemon's address")
	}
	if err := checkMembers(config.Members); err != nil {
		return Report{}, err
	}
	load := newLoad(config)
	defer load.client.CloseIdleConnections()
	stop := load.showProgress()
	load.send(ctx)
	duration := time.Since(load.started)
	stop()
	load.audit(ctx)
	return load.report(duration), nil
}

const minIdleConnections = 64

func newLoad(config Config) *load {
	transport := bvresponse.NewTransport(&http.Transport{MaxIdleConnsPerHost: max(config.Concurrency, minIdleConnections), DisableCompression: true})
	load := &load{
		config:  config.withDefaults(),
		planner: planner{seed: config.Seed, members: config.Members},
		client:  &http.Client{Transport: transport},
		started: time.Now(),
	}
	load.measure.initialize(config.Members)
	return load
}

func checkMembers(members []Member) error {
	if len(members) == 0 {
		return errors.New("load: no member")
	}
	for _, member := range members {
		if member.Key == "" || len(member.Classes) == 0 {
			return fmt.Errorf("load: member %q needs a key and a class", member.Name)
		}
	}
	return nil
}

func (load *load) send(ctx context.Context) {
	if load.config.Rate > 0 {
		load.sendOpen(ctx)
		return
	}
	load.sendClosed(ctx)
}

func (load *load) sendClosed(ctx context.Context) {
	var workers sync.WaitGroup
	var next atomic.Int64
	for range load.config.Concurrency {
		workers.Go(func() {
			for index := int(next.Add(1)) - 1; index < load.config.Programs && ctx.Err() == nil; index = int(next.Add(1)) - 1 {
				load.runProgram(ctx, index, time.Now())
			}
		})
	}
	workers.Wait()
}

func (load *load) sendOpen(ctx context.Context) {
	var programs sync.WaitGroup
	arrival := load.started
	arrivals := load.planner.arrivals()
	for index := range load.config.Programs {
		arrival = arrival.Add(time.Duration(arrivals.ExpFloat64() / load.config.Rate * float64(time.Second)))
		if !pause(ctx, time.Until(arrival)) {
			break
		}
		planned := arrival
		programs.Go(func() { load.runProgram(ctx, index, planned) })
	}
	programs.Wait()
}

// pause returns false if ctx is done before the pause is over.
func pause(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (load *load) showProgress() (stop func()) {
	if load.config.Progress == nil {
		return func() {}
	}
	done := make(chan struct{})
	var reporter sync.WaitGroup
	reporter.Go(func() {
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				load.config.Progress(load.measure.progress(load.config.Programs))
			case <-done:
				return
			}
		}
	})
	return func() {
		close(done)
		reporter.Wait()
	}
}
