package bvdaemon

import (
	"slices"
	"sync"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvpermit"
	"balsamvalve.example/bvplatform"
)

// forgetTime is how long an endpoint must be missing from the list before it
// counts as gone, with all that it held.
const forgetTime = bvclock.Minute

// endpointTable is the last list of endpoints, and those that were on it a
// moment ago. The zero value knows of none.
//
// It guards against the lag of the list: an endpoint that is missing for a
// moment, or that a host which has just started has not seen yet, still holds
// its memory. Taken for gone, its cache would never be released.
type endpointTable struct {
	mutex   sync.Mutex
	listed  []bvplatform.Endpoint
	seen    map[string]sighting
	served  map[string]bool // pools that any endpoint has served since this start
	first   bvclock.Time    // of the lists
	updated bvclock.Time    // time of the last list; stands still while lists can't be had
}

// sighting is when an endpoint was last on the list.
type sighting struct {
	endpoint bvplatform.Endpoint
	at       bvclock.Time
}

// update takes over a new list.
func (table *endpointTable) update(now bvclock.Time, endpoints []bvplatform.Endpoint) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if table.seen == nil {
		table.seen = make(map[string]sighting)
		table.served = make(map[string]bool)
		table.first = now
	}
	table.listed = endpoints
	table.updated = now
	for _, endpoint := range endpoints {
		table.seen[endpoint.Name] = sighting{endpoint: endpoint, at: now}
		table.served[bvpermit.PoolOf(endpoint)] = true
	}
	for name, sighting := range table.seen {
		if now.Sub(sighting.at) > forgetTime {
			delete(table.seen, name)
		}
	}
}

// list returns the endpoints as they were listed.
func (table *endpointTable) list() []bvplatform.Endpoint {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	return table.listed
}

// Endpoint returns the endpoint with a name, listed now or a moment ago.
func (table *endpointTable) Endpoint(name string) (bvplatform.Endpoint, bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	sighting, found := table.seen[name]
	return sighting.endpoint, found
}

// IsGone reports whether the lists of a whole forgetTime were without the
// endpoint.
func (table *endpointTable) IsGone(name string) bool {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	_, found := table.seen[name]
	return !found && table.seen != nil && table.updated.Sub(table.first) > forgetTime
}

// serves reports whether any listed endpoint serves the model or service.
func (table *endpointTable) serves(kind bvplatform.EndpointKind, name string) bool {
	return slices.ContainsFunc(table.list(), func(endpoint bvplatform.Endpoint) bool {
		return endpoint.Kind == kind && endpoint.Serves == name
	})
}

// hasServed reports whether any endpoint has served the model or service since
// this start. One whose endpoints have all failed is not unknown: its callers
// are told to come back.
func (table *endpointTable) hasServed(kind bvplatform.EndpointKind, name string) bool {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	return table.served[bvpermit.PoolName(kind, name)]
}

// Engines returns the names of all model engines, listed now or a moment ago.
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
