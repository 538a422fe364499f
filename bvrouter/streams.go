package bvrouter

import (
	"context"
	"encoding/binary"
	"math/rand/v2"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgossip"
	"balsamvalve.example/bvlog"
	"balsamvalve.example/bvstream"
)

// streamPeers are the other hosts, which keep copies of the starts of streams.
type streamPeers struct{ *Router }

// ReplicateStart implements bvstream.Peers.
func (peers streamPeers) ReplicateStart(start bvstream.Start, retain bvclock.Duration) []bvstream.Copy {
	rank := rankOf(start.Key)
	if start.Key == (bvstream.Key{}) {
		rank = rand.Uint64() // any hosts
	}
	replies := peers.gossip.SendStart(rank, encodeStart(start, retain))
	copies := make([]bvstream.Copy, len(replies))
	for i, reply := range replies {
		copies[i] = bvstream.Copy{State: bvstream.Known, OriginFor: bvclock.Duration(reply.GetOriginFor()) * bvclock.Second}
		if reply.GetAmbiguous() {
			copies[i].State = bvstream.Ambiguous
		}
	}
	return copies
}

// FindStart implements bvstream.Peers.
func (peers streamPeers) FindStart(key bvstream.Key, content uint64) bvstream.Inquiry {
	inquiry := bvstream.Inquiry{IsPartial: !peers.awaitHosts()}
	replies, asked := peers.gossip.QueryStream(rankOf(key), &bvgossip.StreamQuery{Key: key[:], Content: content})
	for _, reply := range replies {
		inquiry.Findings = append(inquiry.Findings, bvstream.PeerFinding{Finding: decodeFinding(reply.Start), Host: reply.Host})
	}
	inquiry.Asked = asked
	return inquiry
}

const (
	// maxHostsWait is how long a host that has just started waits for the list of hosts, before it
	// asks those that it knows.
	maxHostsWait      = 100 * bvclock.Millisecond
	hostsWaitInterval = 5 * bvclock.Millisecond
)

// awaitHosts waits for the list of hosts, and reports whether it is known.
func (router *Router) awaitHosts() bool {
	for waited := bvclock.Duration(0); waited < maxHostsWait && !router.hostsKnown.Load(); waited += hostsWaitInterval {
		bvclock.Sleep(hostsWaitInterval)
	}
	return router.hostsKnown.Load()
}

// StoreOrigins implements bvstream.Peers.
func (peers streamPeers) StoreOrigins() bool {
	shared := peers.hosts.Load()
	if shared == nil || shared.asOf == 0 {
		return false
	}
	for _, host := range shared.hosts {
		if !host.Row.Origins {
			return false
		}
	}
	return true
}

// rankOf returns the number by which hosts are ranked for a start.
func rankOf(key bvstream.Key) uint64 { return binary.LittleEndian.Uint64(key[:]) }

func encodeStart(start bvstream.Start, retain bvclock.Duration) *bvgossip.StreamStart {
	return &bvgossip.StreamStart{
		Key: start.Key[:], Content: start.Content, Service: start.Service, Version: start.Version,
		Endpoint: start.Endpoint, HostName: start.HostName, Retain: uint32(retain),
	}
}

// decodeStart returns false if the start has no valid key.
func decodeStart(message *bvgossip.StreamStart) (start bvstream.Start, valid bool) {
	start = bvstream.Start{
		Content: message.GetContent(), Origin: bvstream.Origin{Service: message.GetService(), Version: message.GetVersion()},
		Endpoint: message.GetEndpoint(), HostName: message.GetHostName(),
	}
	return start, copy(start.Key[:], message.GetKey()) == len(start.Key) && len(message.GetKey()) == len(start.Key)
}

func decodeFinding(message *bvgossip.StreamFinding) bvstream.Finding {
	finding := bvstream.Finding{Age: bvclock.Duration(message.GetAge())}
	start, valid := decodeStart(message.GetStart())
	switch {
	case message.GetAmbiguous():
		finding.State = bvstream.Ambiguous
	case message.GetKnown() && valid:
		finding.State, finding.Start = bvstream.Known, start
	}
	return finding
}

// KeepStart implements bvgossip.Handler.
func (handler peerHandler) KeepStart(message *bvgossip.StreamStart) *bvgossip.StreamCopy {
	start, valid := decodeStart(message)
	if !valid {
		return nil
	}
	copied := handler.streams.AddCopy(start, bvclock.Duration(message.GetRetain()))
	return &bvgossip.StreamCopy{Ambiguous: copied.State == bvstream.Ambiguous, OriginFor: uint32(copied.OriginFor / bvclock.Second)}
}

// FindStart implements bvgossip.Handler.
func (handler peerHandler) FindStart(query *bvgossip.StreamQuery) *bvgossip.StreamFinding {
	var key bvstream.Key
	if len(query.GetKey()) != len(key) {
		return &bvgossip.StreamFinding{}
	}
	copy(key[:], query.GetKey())
	found := handler.streams.Lookup(key, query.GetContent())
	reply := &bvgossip.StreamFinding{
		Known: found.State == bvstream.Known, Ambiguous: found.State == bvstream.Ambiguous, Age: uint32(found.Age),
	}
	if reply.GetKnown() {
		reply.Start = encodeStart(found.Start, 0)
	}
	return reply
}

const (
	// originDelayPerHost spreads the hosts' writes of the origins of a new version over time: the
	// first one writes, and the others find them.
	originDelayPerHost = 10 * bvclock.Millisecond
	maxOriginDelay     = 5 * bvclock.Second
	// originRetryInterval is the time until origins that could not be stored are stored again.
	originRetryInterval = bvclock.Second
)

// requestOrigins makes storeOrigins check which origins have to be stored.
func (router *Router) requestOrigins() {
	select {
	case router.originsDue <- struct{}{}:
	default: // a check is due already
	}
}

// storeOrigins stores the services and versions at which streams may start, before they do.
func (router *Router) storeOrigins(ctx context.Context) {
	outage := bvlog.Outage{Dependency: "origins of streams", Log: router.log}
	for {
		select {
		case <-router.originsDue:
		case <-ctx.Done():
			return
		}
		pause(ctx, rand.N(min(bvclock.Duration(router.HostCount()+1)*originDelayPerHost, maxOriginDelay)))
		err := router.streams.StoreOrigins(ctx, router.streamOrigins())
		outage.Record(unlessCanceled(ctx, err))
		if err != nil {
			pause(ctx, originRetryInterval)
			router.requestOrigins()
		}
	}
}

// streamOrigins returns the services and versions at which streams may start now.
func (router *Router) streamOrigins() []bvstream.HostOrigin {
	table := router.state.Current()
	if table == nil {
		return nil
	}
	var origins []bvstream.HostOrigin
	for _, target := range table.StreamTargets() {
		for _, version := range router.dispatcher.Versions(target.Service) {
			if version != "" {
				origins = append(origins, bvstream.HostOrigin{HostName: target.Host, Origin: bvstream.Origin{Service: target.Service, Version: version}})
			}
		}
	}
	return origins
}
