package bvgossip

import (
	"fmt"
	"net/netip"
	"testing"

	"google.golang.org/protobuf/proto"
)

func newStart() *StreamStart {
	return &StreamStart{
		Key: make([]byte, 16), Content: 1 << 60, Service: "agent-pool", Version: "v1.1", Endpoint: "i-0123456789",
		HostName: "abcd12.example", Retain: 60_000,
	}
}

// BenchmarkStartBytes reports the size of a start and of its reply.
func BenchmarkStartBytes(b *testing.B) {
	start, _ := proto.Marshal(&Datagram{Message: &Datagram_Probe{Probe: &Probe{Number: 1 << 60, Start: newStart()}}})
	started, _ := proto.Marshal(&Datagram{Message: &Datagram_Counts{Counts: &Counts{Number: 1 << 60, Copy: &StreamCopy{OriginFor: 40_000}}}})
	b.ReportMetric(float64(len(start)), "bytes/start")
	b.ReportMetric(float64(len(started)), "bytes/reply")
}

// BenchmarkRankHolders ranks all hosts of a fleet for a start.
func BenchmarkRankHolders(b *testing.B) {
	zones := []string{"a", "b", "c", "d", "e", "f"}
	addresses := make([]netip.AddrPort, 1000)
	for i := range addresses {
		addresses[i] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)
	}
	for _, hosts := range []int{12, 100, 1000} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			for number := range b.N {
				ranking := ranking{limit: startRounds * startCopies}
				for i := range hosts {
					ranking.add(zones[i%len(zones)], holder{addresses[i], uint64(i*2654435761) * uint64(number+1)})
				}
				ranking.addresses()
			}
		})
	}
}
