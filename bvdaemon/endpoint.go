package bvdaemon

import (
	"sync"

	"balsamvalve.example/bvpermit"
	"balsamvalve.example/bvplatform"
)

// endpointTable is the last list of endpoints.
type endpointTable struct {
	mutex  sync.Mutex
	byName map[string]bvplatform.Endpoint
	listed []bvplatform.Endpoint
	served map[string]bool // pools that any endpoint has served since this start
}

// list returns the endpoints as they were listed.
func (table *endpointTable) list() []bvplatform.Endpoint {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	return table.listed
}

func (table *endpointTable) update(endpoints []bvplatform.Endpoint) {
	byName := make(map[string]bvplatform.Endpoint, len(endpoints))
	for _, endpoint := range endpoints {
		byName[endpoint.Name] = endpoint
	}
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.byName = byName
	if table.served == nil {
		table.served = make(map[string]bool)
	}
	for _, endpoint := range endpoints {
		table.served[bvpermit.PoolOf(endpoint)] = true
	}
	table.listed = endpoints
}

// Endpoint returns the endpoint with a name.
func (table *endpointTable) Endpoint(name string) (bvplatform.Endpoint, bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	endpoint, found := table.byName[name]
	return endpoint, found
}

// serves reports whether any endpoint serves the model or service.
func (table *endpointTable) serves(kind bvplatform.EndpointKind, name string) bool {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	for _, endpoint := range table.byName {
		if endpoint.Kind == kind && endpoint.Serves == name {
			return true
		}
	}
	return false
}

// hasServed reports whether any endpoint has served the model or service since
// this start. One whose endpoints have all failed is not unknown: its callers
// are told to come back.
func (table *endpointTable) hasServed(kind bvplatform.EndpointKind, name string) bool {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	return table.served[bvpermit.PoolName(kind, name)]
}

// Engines returns the names of all model engines.
func (table *endpointTable) Engines() []string {
	var names []string
	for _, endpoint := range table.list() {
		if endpoint.Kind == bvplatform.Engine {
			names = append(names, endpoint.Name)
		}
	}
	return names
}
