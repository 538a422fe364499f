package bvdaemon

import (
	"slices"
	"sync"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvpermit"
	"balsamvalve.example/bvplatform"
)

// removalDelay is how long an endpoint must be missing from the list before it
// counts as removed, together with its cache.
const removalDelay = bvclock.Minute

// endpointTable holds the last list of endpoints, and the endpoints that were
// listed within removalDelay. The zero value is empty.
//
// It compensates for the lag of the list: an endpoint that is briefly missing, or
// that a host which has just started has not seen yet, still holds its cache. If
// it counted as removed, its cache would never be released.
type endpointTable struct {
	mutex       sync.Mutex
	listed      []bvplatform.Endpoint
	seen        map[string]sighting
	servedPools map[string]bool // pools that any endpoint has served since the process started
	firstUpdate bvclock.Time
	lastUpdate  bvclock.Time // not advanced while the list can't be read
}

// sighting is an endpoint and the time at which it was last listed.
type sighting struct {
	endpoint   bvplatform.Endpoint
	lastListed bvclock.Time
}

// update replaces the list with a new one.
func (table *endpointTable) update(now bvclock.Time, endpoints []bvplatform.Endpoint) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if table.seen == nil {
		table.seen = make(map[string]sighting)
		table.servedPools = make(map[string]bool)
		table.firstUpdate = now
	}
	table.listed = endpoints
	table.lastUpdate = now
	for _, endpoint := range endpoints {
		table.seen[endpoint.Name] = sighting{endpoint: endpoint, lastListed: now}
		table.servedPools[bvpermit.PoolOf(endpoint)] = true
	}
	for name, sighting := range table.seen {
		if now.Sub(sighting.lastListed) > removalDelay {
			delete(table.seen, name)
		}
	}
}

// list returns the endpoints of the last list.
func (table *endpointTable) list() []bvplatform.Endpoint {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	return table.listed
}

// Endpoint returns the endpoint with the name, if it was listed within removalDelay.
func (table *endpointTable) Endpoint(name string) (bvplatform.Endpoint, bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	sighting, found := table.seen[name]
	return sighting.endpoint, found
}

// IsGone reports whether the endpoint was on no list for longer than removalDelay.
func (table *endpointTable) IsGone(name string) bool {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	_, found := table.seen[name]
	return !found && table.seen != nil && table.lastUpdate.Sub(table.firstUpdate) > removalDelay
}

// serves reports whether any listed endpoint serves the model or service.
func (table *endpointTable) serves(kind bvplatform.EndpointKind, name string) bool {
	return slices.ContainsFunc(table.list(), func(endpoint bvplatform.Endpoint) bool {
		return endpoint.Kind == kind && endpoint.Serves == name
	})
}

// hasServed reports whether any endpoint has served the model or service since
// the process started. One whose endpoints have all failed is not unknown: its
// callers get an error that asks them to retry.
func (table *endpointTable) hasServed(kind bvplatform.EndpointKind, name string) bool {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	return table.servedPools[bvpermit.PoolName(kind, name)]
}

// Engines returns the names of all model engines listed within removalDelay.
func (table *endpointTable) Engines() []string {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	var names []string
	for name, sighting := range table.seen {
		if sighting.endpoint.Kind == bvplatform.Engine {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
