package bvstatus

import (
	"context"
	"sync"

	"balsamvalve.example/bvclock"
)

// gatherTimeout bounds the wait for the hosts' reports. A frozen or unreachable host
// never answers; the operator needs the others' state in that case.
const gatherTimeout = bvclock.Second

// Gather queries all hosts concurrently. It returns a report for each of them: the
// host's own, or the one in hosts if the host doesn't answer in time.
func Gather(ctx context.Context, hosts []Report, query func(ctx context.Context, host string) (Report, error)) []Report {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout.Std())
	defer cancel()
	reports := make([]Report, len(hosts))
	var queries sync.WaitGroup
	for i, host := range hosts {
		queries.Go(func() {
			report, err := query(ctx, host.Host)
			if err != nil {
				report = host
			}
			reports[i] = report
		})
	}
	queries.Wait()
	return reports
}
