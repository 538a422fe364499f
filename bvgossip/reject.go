package bvgossip

import (
	"net/netip"
	"sync/atomic"

	"balsamvalve.example/bvclock"
)

// rejectionLogInterval is the time between two log lines about datagrams that can't be read.
const rejectionLogInterval = 10 * bvclock.Second

// rejections are datagrams that can't be read. The zero value has none.
type rejections struct {
	count    atomic.Int64
	loggedAt atomic.Int64 // 0: never
}

// reject records a datagram that can't be read. It logs one of them at a time.
func (gossip *Gossip) reject(from netip.AddrPort, err error) {
	count, now := gossip.rejections.count.Add(1), gossip.clock.Now()
	last := gossip.rejections.loggedAt.Load()
	if last != 0 && now.Sub(bvclock.Time(last)) < rejectionLogInterval || !gossip.rejections.loggedAt.CompareAndSwap(last, int64(now)) {
		return
	}
	gossip.log.WithError(err).WithFields(map[string]any{"from": from.String(), "rejected": count}).Warn("datagram can't be read")
}
