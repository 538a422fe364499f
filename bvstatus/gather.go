package bvstatus

import (
	"context"
	"sync"

	"balsamvalve.example/bvclock"
)

// gatherLimit bounds how long the hosts are waited for. A frozen host, or one
// that was cut off, never answers; the operator needs the others' state then.
const gatherLimit = bvclock.Second

// Gather asks all hosts at once. The answer holds a report for each of them:
// its own, or the one given if the host doesn't answer in time.
func Gather(ctx context.Context, hosts []Report, ask func(ctx context.Context, host string) (Report, error)) []Report {
	ctx, cancel := context.WithTimeout(ctx, gatherLimit.Std())
	defer cancel()
	reports := make([]Report, len(hosts))
	var asked sync.WaitGroup
	for i, host := range hosts {
		asked.Go(func() {
			report, err := ask(ctx, host.Host)
			if err != nil {
				report = host
			}
			reports[i] = report
		})
	}
	asked.Wait()
	return reports
}
