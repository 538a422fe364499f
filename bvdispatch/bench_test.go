package bvdispatch

import (
	"fmt"
	"testing"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvroute"
)

// BenchmarkChoose measures the cost of one decision, by the number of endpoints.
func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{12, 48, 56, 400, 4200, 10_000, 20_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			pool := NewPool(1, "z")
			listed := make([]bvplatform.Endpoint, count)
			for i := range listed {
				listed[i] = bvplatform.Endpoint{Name: fmt.Sprintf("e%05d", i), Slots: 16, CacheTokens: 250_000, Zone: "z"}
			}
			pool.SetEndpoints(listed)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				request := prompt(uint64(i%16), uint64(1000+i%500))
				chosen, _ := pool.Choose(0, request)
				pool.BeginCall(0, chosen.Name, request)
				pool.EndCall(0, chosen.Name, Result{Outcome: Served, Duration: 300})
			}
		})
	}
}

// BenchmarkShortlist measures the cost of drawing up a shortlist, by the number of endpoints.
func BenchmarkShortlist(b *testing.B) {
	for _, count := range []int{128, 4200, 20_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			pool := NewPool(1, "z")
			listed := make([]bvplatform.Endpoint, count)
			for i := range listed {
				listed[i] = bvplatform.Endpoint{Name: fmt.Sprintf("e%05d", i), Slots: 6, CacheTokens: 175_000, Zone: "z"}
			}
			pool.SetEndpoints(listed)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				pool.Shortlist(0, prompt(uint64(i%16), uint64(1000+i%500)))
			}
		})
	}
}

// BenchmarkChooseByPace measures the cost of one decision, and of the load report and the
// response that follow it, without and with a reported pace.
func BenchmarkChooseByPace(b *testing.B) {
	for _, count := range []int{56, 10_000} {
		for name, pace := range map[string]int{"without": 0, "with": 90} {
			b.Run(fmt.Sprint(count, name), func(b *testing.B) {
				pool := NewPool(1, "z")
				listed := make([]bvplatform.Endpoint, count)
				for i := range listed {
					listed[i] = bvplatform.Endpoint{Name: fmt.Sprintf("e%05d", i), Slots: 16, CacheTokens: 250_000, Zone: "z"}
				}
				pool.SetEndpoints(listed)
				for i := range listed {
					pool.SetLoad(0, listed[i].Name, bvroute.Load{Slots: 16, Pace: pace})
				}
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					request, now := prompt(uint64(i%16), uint64(1000+i%500)), bvclock.Time(i)
					chosen, _ := pool.Choose(now, request)
					pool.BeginCall(now, chosen.Name, request)
					pool.SetLoad(now, chosen.Name, bvroute.Load{Slots: 16, Pace: pace})
					pool.EndCall(now, chosen.Name, Result{Outcome: Served, Duration: 300, Pace: 30, ReportedPace: pace})
				}
			})
		}
	}
}
