// Package bvdemo runs the whole system in one process on loopback: a stand-in for
// the platform, engines, services, three daemons and the programs of both members.
// It checks the promises to callers.
//
// # Usage
//
//	summary, err := bvdemo.Run(ctx, bvdemo.Config{Output: os.Stdout})
//	if err == nil && !summary.AllPromisesHold() {
//		// a promise was broken
//	}
package bvdemo

import (
	"context"
	"fmt"
	"io"
	"time"

	"balsamvalve.example/bvload"
)

// Sizes of the demonstration.
const (
	daemons      = 3
	programs     = 60
	concurrency  = 12
	readyTimeout = 10 * time.Second
	readyPoll    = 20 * time.Millisecond
)

// Config configures the demonstration. The zero value writes no output.
type Config struct {
	Output io.Writer // receives progress and the report; nil: none
	Seed   uint64    // of the random programs
}

// Run runs the programs and returns the report of the run. An error means that the
// system could not be started or the programs could not be run.
func Run(ctx context.Context, config Config) (bvload.Report, error) {
	if config.Output == nil {
		config.Output = io.Discard
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	system, err := start(ctx, config.Output)
	if err != nil {
		return bvload.Report{}, err
	}
	defer system.stop()
	report, err := bvload.Run(ctx, bvload.Config{
		Addresses:        system.callerAddresses(),
		Members:          bvload.Members(map[string]string{bvload.Piran: piranKey, bvload.Brindley: brindleyKey}),
		Programs:         programs,
		Concurrency:      concurrency,
		Seed:             config.Seed,
		ServiceAddresses: system.services,
		EngineAddresses:  system.engines,
		Progress:         func(progress bvload.Progress) { printProgress(config.Output, progress) },
	})
	if err != nil {
		return bvload.Report{}, err
	}
	_, _ = fmt.Fprintf(config.Output, "\n%s\n%s\n", report.Text(), summaryLine(report))
	return report, nil
}

func printProgress(output io.Writer, progress bvload.Progress) {
	_, _ = fmt.Fprintf(output, "%d of %d programs finished, %d requests\n", progress.Finished, programs, progress.Requests)
}

func summaryLine(report bvload.Report) string {
	return fmt.Sprintf("demo: programs=%d finished=%d requests=%d lost=%d mixed=%d twice=%d p50_ms=%.0f p99_ms=%.0f",
		report.Programs, report.Finished, report.Requests, report.Lost, report.Mixed, report.DuplicateRuns,
		report.All.Program.P50, report.All.Program.P99)
}
