package bvlease

import (
	"fmt"
	"testing"
)

// BenchmarkHolder measures the cost of finding a program's grantor.
func BenchmarkHolder(b *testing.B) {
	for _, size := range []int{13, 80, 730} {
		b.Run(fmt.Sprint("hosts=", size), func(b *testing.B) {
			leases := New(Host{Name: "host-0"}, true, 1)
			hosts := make([]Host, size)
			for i := range hosts {
				hosts[i] = Host{Name: fmt.Sprint("host-", i)}
			}
			leases.UpdateList(1, 1, hosts)
			for b.Loop() {
				leases.Holder("3fa81c9de0")
			}
		})
	}
}
