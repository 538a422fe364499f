package bvplatform

import (
	"context"

	"balsamvalve.example/bvclock"
)

//go:generate stringer -type=EndpointKind -linecomment -output=endpointkind_string.go

// EndpointKind tells model engines from plain services.
type EndpointKind int

// The kinds of endpoints.
const (
	Engine  EndpointKind = iota // engine
	Service                     // service
)

// Endpoint is a back end: a model engine or a plain service.
type Endpoint struct {
	Name        string
	Kind        EndpointKind
	Serves      string           // model of an engine, or name of a service
	Address     string           // IP and port of its HTTP listener
	Zone        string           // availability zone
	Incarnation string           // differs with each start of the process; empty where it is not told
	Started     bvclock.Time     // when it started, since 1970; 0 where it is not told
	State       HostState        // live or leaving
	Slots       int              // calls that it batches at once
	CacheTokens int              // prefix cache of an engine
	Fencing     bool             // refuses orders with an old fencing number
	Cold        bvclock.Duration // how much longer it is slow after its start
}

// Empty reports whether nothing has changed.
func (changes EndpointChanges) Empty() bool {
	return !changes.Whole && len(changes.Listed) == 0 && len(changes.Gone) == 0 && len(changes.Unusable) == 0
}

// ID tells one start of an endpoint from all others: it may start again under its
// name, or at another address, and then knows nothing of before. Whatever is
// remembered of an endpoint is to be kept under its ID.
func (endpoint Endpoint) ID() string {
	id := endpoint.Name
	if endpoint.Incarnation != "" {
		id += "#" + endpoint.Incarnation
	}
	if endpoint.Address != "" {
		id += "@" + endpoint.Address
	}
	return id
}

// EndpointList is the platform's lagging list of live and leaving endpoints.
type EndpointList interface {
	Endpoints(ctx context.Context) ([]Endpoint, error)
}

// EndpointChanges is what changed on a list of endpoints since an earlier look. A name
// is in one of its lists only: what was said of it last.
type EndpointChanges struct {
	Whole  bool       // Listed is the whole list: the changes since are not known
	Listed []Endpoint // new, or not as before
	Gone   []string   // names that are no longer on the list
	// Unusable are names whose entries can't be read or miss something. What an
	// entry said before does not hold any more.
	Unusable []string
	Next     int64 // point of the list's history to go on from
}
