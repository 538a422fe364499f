package bvgate

import "balsamvalve.example/bvclock"

// Snapshot is the state of a pool for status pages.
type Snapshot struct {
	Members   []MemberStatus
	Endpoints []EndpointStatus
}

// MemberStatus is a member's state in a pool.
type MemberStatus struct {
	Member        string
	Queued        int
	Running       int
	EstimatedWait bvclock.Duration // of a new program's first request
	ServedWork    Work             // since this host started to decide for the pool
}

// EndpointStatus is an endpoint's state in a pool.
type EndpointStatus struct {
	Name         string
	Running      int
	Slots        int
	CachedTokens int // of programs without a running call
	Leaving      bool
	Ejected      bool // after failed calls, until it is probed
}

// Snapshot returns the state at the last Tick; members and endpoints are sorted by
// name.
func (pool *Pool) Snapshot() Snapshot {
	var snapshot Snapshot
	for _, found := range pool.membersByName {
		snapshot.Members = append(snapshot.Members, MemberStatus{
			Member:        found.name,
			Queued:        found.queued,
			Running:       found.running,
			EstimatedWait: pool.estimateWait(pool.now, found, 0, 0),
			ServedWork:    found.servedWork,
		})
	}
	for _, name := range pool.endpointNames {
		target := pool.endpoints[name]
		if target.removed {
			continue
		}
		snapshot.Endpoints = append(snapshot.Endpoints, EndpointStatus{
			Name:         name,
			Running:      target.running(),
			Slots:        target.report.Slots,
			CachedTokens: target.cache.tokens,
			Leaving:      target.report.Leaving,
			Ejected:      target.health.ejected,
		})
	}
	return snapshot
}
