package bvshare

import (
	"testing"

	"balsamvalve.example/bvclock"
)

// BenchmarkStanding measures a decision with the reports of 1,000 hosts on 1,700 workspaces,
// with and without adding them up again.
func BenchmarkStanding(b *testing.B) {
	for name, step := range map[string]bvclock.Duration{"new": bvclock.Second, "same": 0} {
		b.Run(name, func(b *testing.B) {
			shares := &Shares{}
			shares.SetHosts(1000, 6000)
			var now bvclock.Time
			for i := 0; b.Loop(); i++ {
				if i%15 == 0 {
					b.StopTimer()
					for host := range uint64(1000) {
						usages := make([]Usage, maxReported+1)
						for j := range maxReported {
							usages[j] = Usage{Workspace: uint32((host*7+uint64(j)*101)%1700 + 1), Asked: 0.1, Used: 0.1}
						}
						shares.SetPeerUsage(now, host, usages)
					}
					b.StartTimer()
				}
				now = now.Add(step)
				shares.Standing(now, 1, 100)
			}
		})
	}
}
