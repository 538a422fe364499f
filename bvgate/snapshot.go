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
	ServedWork    Work             // since this pool was first decided here
}

// EndpointStatus is an endpoint's state in a pool.
type EndpointStatus struct {
	Name         string
	Running      int
	Slots        int
	CachedTokens int // of programs that wait for their next turn
	Leaving      bool
	Ejected      bool // failed calls; probed later
}

// Snapshot returns the state at the last Tick, members and endpoints sorted by name.
func (pool *Pool) Snapshot() Snapshot {
	var snapshot Snapshot
	for _, found := range pool.byName {
		snapshot.Members = append(snapshot.Members, MemberStatus{
			Member:        found.name,
			Queued:        found.queued,
			Running:       found.running,
			EstimatedWait: pool.wait(pool.now, found, 0, 0),
			ServedWork:    found.served,
		})
	}
	for _, name := range pool.names {
		at := pool.endpoints[name]
		if at.gone {
			continue
		}
		snapshot.Endpoints = append(snapshot.Endpoints, EndpointStatus{
			Name:         name,
			Running:      at.running(),
			Slots:        at.report.Slots,
			CachedTokens: at.cache.tokens,
			Leaving:      at.report.Leaving,
			Ejected:      at.health.ejected,
		})
	}
	return snapshot
}
