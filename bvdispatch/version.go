package bvdispatch

import (
	"maps"
	"slices"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvmechanism"
	"balsamvalve.example/bvplatform"
)

// Endpoints of several software versions may serve side by side. A stream can go on only at the
// version that began it, so streams should start at a version that stays.
const (
	// decliningVersionCostMs is the cost of an endpoint for a new stream if its version is about
	// to go and another one stays: about what reading a shared prefix takes.
	decliningVersionCostMs = 40
	// unstoredVersionCostMs is the cost of an endpoint for a new stream that would have to wait for
	// the platform's store.
	unstoredVersionCostMs = 1000
	// minContinuable is the number of endpoints of a version from which its streams can go on at
	// another one.
	minContinuable = 2
)

// versionCount is the number of listed endpoints of a software version.
type versionCount struct {
	live    int
	leaving int
}

// countVersion adds an entry to the number of endpoints of its version, or subtracts it.
func (pool *Pool) countVersion(entry bvplatform.Endpoint, delta int) {
	count := pool.versions[entry.Version]
	if entry.State == bvplatform.HostLive {
		count.live += delta
	} else {
		count.leaving += delta
	}
	if count == (versionCount{}) {
		delete(pool.versions, entry.Version)
		return
	}
	pool.versions[entry.Version] = count
}

// allows reports whether an endpoint may be chosen for the request.
func (request *Request) allows(row *endpoint) bool {
	return !request.Excluded[row.entry.Name] && (!request.Pinned || row.entry.Version == request.Version)
}

// versionCost returns the cost of an endpoint's version for a new stream, in milliseconds.
func (pool *Pool) versionCost(version string, request *Request) float64 {
	if len(pool.versions) < 2 {
		return 0
	}
	cost := 0.0
	if request.Unstored[version] {
		cost += unstoredVersionCostMs
	}
	if request.StartsStream && !pool.disabled.Has(bvmechanism.Versions) && pool.versions[version].isDeclining() && pool.hasStayingVersion() {
		cost += decliningVersionCostMs
	}
	return cost
}

// isDeclining reports whether endpoints of the version are leaving, or too few are left.
func (count versionCount) isDeclining() bool { return count.leaving > 0 || count.live < minContinuable }

func (pool *Pool) hasStayingVersion() bool {
	for _, count := range pool.versions {
		if !count.isDeclining() {
			return true
		}
	}
	return false
}

// OpenVersions returns the software versions of the endpoints that accept calls, with the
// number of endpoints of each.
func (pool *Pool) OpenVersions(now bvclock.Time) map[string]int {
	versions := make(map[string]int)
	for _, row := range pool.rows {
		if row.entry.AcceptsCalls(now) {
			versions[row.entry.Version]++
		}
	}
	return versions
}

// OpenVersions returns the software versions of a service's endpoints that accept calls, with
// the number of endpoints of each.
func (dispatcher *Dispatcher) OpenVersions(service string) map[string]int {
	now := dispatcher.clock.Now()
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	return dispatcher.pool(service).OpenVersions(now)
}

// Versions returns the software versions of a service's listed endpoints.
func (dispatcher *Dispatcher) Versions(service string) []string {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	return slices.Collect(maps.Keys(dispatcher.pool(service).versions))
}

// EndpointByName returns the entry of an endpoint of a service.
func (dispatcher *Dispatcher) EndpointByName(service, name string) (bvplatform.Endpoint, bool) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	if row := dispatcher.pool(service).byName[name]; row != nil {
		return row.entry, true
	}
	return bvplatform.Endpoint{}, false
}
