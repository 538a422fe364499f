package bvgossip

import (
	"fmt"
	"net/netip"
	"testing"

	"google.golang.org/protobuf/proto"
)

func newBegin() *Begin {
	return &Begin{
		Key: make([]byte, 16), Content: 1 << 60, Service: "agent-pool", Version: "v1.1", Endpoint: "i-0123456789",
		Host: "abcd12.example", Retain: 60_000,
	}
}

// BenchmarkBeginBytes reports the size of a begin and of its reply.
func BenchmarkBeginBytes(b *testing.B) {
	begin, _ := proto.Marshal(&Datagram{Message: &Datagram_Probe{Probe: &Probe{Number: 1 << 60, Begin: newBegin()}}})
	begun, _ := proto.Marshal(&Datagram{Message: &Datagram_Counts{Counts: &Counts{Number: 1 << 60, Begun: &Begun{OriginFor: 40_000}}}})
	b.ReportMetric(float64(len(begin)), "bytes/begin")
	b.ReportMetric(float64(len(begun)), "bytes/reply")
}

// BenchmarkRankHolders ranks all hosts of a fleet for a begin.
func BenchmarkRankHolders(b *testing.B) {
	zones := []string{"a", "b", "c", "d", "e", "f"}
	addresses := make([]netip.AddrPort, 1000)
	for i := range addresses {
		addresses[i] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)
	}
	for _, hosts := range []int{12, 100, 1000} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			for number := range b.N {
				ranking := ranking{limit: beginRounds * beginCopies}
				for i := range hosts {
					ranking.add(zones[i%len(zones)], holder{addresses[i], uint64(i*2654435761) * uint64(number+1)})
				}
				ranking.addresses()
			}
		})
	}
}
