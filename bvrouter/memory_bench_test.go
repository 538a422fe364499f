package bvrouter

import (
	"fmt"
	"runtime"
	"testing"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvdispatch"
	"balsamvalve.example/bvplatform"
)

// BenchmarkListMemory reports the memory that a host uses for each endpoint of its list,
// including the dispatcher's state.
func BenchmarkListMemory(b *testing.B) {
	for _, count := range []int{1000, 10_000, 20_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				list := &endpointList{}
				list.update(1, bvplatform.EndpointChanges{Whole: true, Listed: manyEndpoints(count), Next: 1})
				dispatcher := bvdispatch.NewDispatcher(bvclock.Boot(), 1, "z1")
				dispatcher.SetEndpoints(list.all())
				b.ReportMetric(float64(heap()-before)/float64(count), "B/endpoint")
				runtime.KeepAlive(list)
				runtime.KeepAlive(dispatcher)
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// manyEndpoints returns endpoints as decoded, each with its own copies of strings.
func manyEndpoints(count int) []bvplatform.Endpoint {
	endpoints := make([]bvplatform.Endpoint, count)
	for i := range endpoints {
		endpoints[i] = bvplatform.Endpoint{
			Name: fmt.Sprintf("i-%010x", i*7919), Serves: string(fmt.Appendf(nil, "service-%d", i%2)),
			Zone: string(fmt.Appendf(nil, "zone-%d", i%6)), Address: fmt.Sprintf("10.%d.%d.%d:8405", i%6, i/256%256, i%256),
			Incarnation: fmt.Sprint(1_757_721_572_000 + i), Started: bvclock.Time(1_757_721_572_000 + i), Slots: 6,
		}
	}
	return endpoints
}
