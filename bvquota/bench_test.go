package bvquota

import (
	"fmt"
	"testing"

	"balsamvalve.example/bvclock"
)

func manyCaps(workspaces int) []Cap {
	caps := make([]Cap, workspaces)
	for i := range caps {
		caps[i] = Cap{Workspace: fmt.Sprintf("workspace-%d", i), Rate: 1e6, Burst: 1e6}
	}
	return caps
}

// BenchmarkTake measures the cost of a request that is far below its cap.
func BenchmarkTake(b *testing.B) {
	limiter := newLimiter(bvclock.Boot(), manyCaps(1700)...)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		limiter.Take(Request{Workspace: "workspace-7"})
	}
}

// BenchmarkDecideClaim measures an allocator's cost of a request of another host.
func BenchmarkDecideClaim(b *testing.B) {
	limiter := newLimiter(bvclock.Boot(), manyCaps(1700)...)
	use := Usage{Workspace: HashWorkspace("workspace-7")}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		limiter.DecideClaim(uint64(i%730), use, Request{})
	}
}

// BenchmarkRecordUsage measures the cost of one digest of another host, with 20 workspaces.
func BenchmarkRecordUsage(b *testing.B) {
	for _, hosts := range []int{30, 100, 300, 730} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			limiter := newLimiter(bvclock.Boot(), manyCaps(1700)...)
			uses := make([]Usage, 20)
			for j := range uses {
				uses[j].Workspace = HashWorkspace(fmt.Sprintf("workspace-%d", j))
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				uses[i%20].Count++ // one request since the last digest
				limiter.RecordUsage(uint64(i%hosts), uses)
			}
		})
	}
}
