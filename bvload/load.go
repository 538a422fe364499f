// Package bvload sends agent programs to running daemons, as their callers
// would, and checks the system's promises on the way.
//
// A program is a chain of model calls with tool calls, pauses and sub-agents
// in between. All programs are drawn from one seed before they run. The model
// endpoints must be stand-in engines, whose answers begin with a digest of the
// messages that they were sent: so each answer proves whether it belongs to
// exactly the history that its caller knows.
//
// In a closed loop a fixed number of programs is under way at any time. In an
// open loop programs begin at a rate, whether or not earlier ones have ended;
// their latency counts from the planned moment, so that a stall of the system
// is seen in full.
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
//	if !report.Kept() {
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
)

// Values that a zero Config stands for.
const (
	defaultPrograms    = 20
	defaultConcurrency = 4
	defaultDeadline    = 60 * bvclock.Second
	defaultTries       = 30
	progressInterval   = time.Second
)

// Config describes a load. A zero field stands for its default.
type Config struct {
	Addresses   []string         // caller API of the daemons; each request goes to any of them
	Members     []Member         // whose programs are sent
	Programs    int              // in all; 20
	Concurrency int              // closed loop: programs under way; 4
	Rate        float64          // open loop: programs that begin a second; 0: closed loop
	Seed        uint64           // of all that is drawn
	Deadline    bvclock.Duration // of each request, its repeats included; 60 s
	Tries       int              // of each request; 30
	Pauses      float64          // factor on all pauses; 0: 1, negative: none
	Run         string           // begins the ids of programs; empty: drawn anew
	Counters    []string         // services that are asked how often a request ran
	Engines     []string         // engines that are asked what they hold at the end
	Progress    func(Progress)   // called every second
}

// Progress is how far a load has come.
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
	if config.Tries <= 0 {
		config.Tries = defaultTries
	}
	if config.Pauses == 0 {
		config.Pauses = 1
	}
	if config.Run == "" {
		config.Run = strings.ToLower(rand.Text()[:8])
	}
	return config
}

// load is a run under way.
type load struct {
	config  Config
	planner planner
	client  *http.Client
	next    atomic.Uint64 // picks the daemon of the next request
	measure measure
	started time.Time
}

// Run sends the programs and returns the report when all have ended. An error
// means that the load could not be sent at all; broken promises are found in
// the report.
func Run(ctx context.Context, config Config) (Report, error) {
	config = config.withDefaults()
	if len(config.Addresses) == 0 {
		return Report{}, errors.New("load: no daemon's address")
	}
	if err := checkMembers(config.Members); err != nil {
		return Report{}, err
	}
	load := startLoad(config)
	defer load.client.CloseIdleConnections()
	stop := load.showProgress()
	load.send(ctx)
	duration := time.Since(load.started)
	stop()
	load.audit(ctx)
	return load.report(duration), nil
}

const idleConnections = 64

func startLoad(config Config) *load {
	transport := &http.Transport{MaxIdleConnsPerHost: max(config.Concurrency, idleConnections), DisableCompression: true}
	load := &load{
		config:  config.withDefaults(),
		planner: planner{seed: config.Seed, members: config.Members},
		client:  &http.Client{Transport: transport},
		started: time.Now(),
	}
	load.measure.start(config.Members)
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

// pause reports false when ctx ended first.
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
	var shown sync.WaitGroup
	shown.Go(func() {
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
		shown.Wait()
	}
}
