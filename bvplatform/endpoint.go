package bvplatform

import (
	"context"

	"balsamvalve.example/bvclock"
)

//go:generate stringer -type=EndpointKind -linecomment -output=endpointkind_string.go

// EndpointKind distinguishes model engines from plain services.
type EndpointKind int

// The kinds of endpoints.
const (
	Engine  EndpointKind = iota // engine
	Service                     // service
)

// Endpoint is a model engine or a plain service.
type Endpoint struct {
	Name        string
	Kind        EndpointKind
	Serves      string           // model of an engine, or name of a service
	Address     string           // IP and port of its HTTP listener
	Zone        string           // availability zone
	Version     string           // of its software; has no order; empty if unknown
	Incarnation string           // differs with each start of the process; empty if unknown
	Started     bvclock.Time     // start time since 1970; 0 if unknown
	State       HostState        // live or leaving
	Slots       int              // calls that it runs concurrently
	CacheTokens int              // size of an engine's prefix cache
	Fencing     bool             // rejects requests with an outdated fencing number
	Cold        bvclock.Duration // remaining warm-up time, during which it is slow
	// RetainedUntil is set if the endpoint is missing from the list, and in use only because
	// its entry may have expired in an outage. From then on it must get no calls.
	RetainedUntil bvclock.Time
}

// IsRetained reports whether the endpoint is missing from the list, and in use only because
// its entry may have expired.
func (endpoint Endpoint) IsRetained() bool { return endpoint.RetainedUntil != 0 }

// AcceptsCalls reports whether new calls may be sent to the endpoint.
func (endpoint Endpoint) AcceptsCalls(now bvclock.Time) bool {
	return endpoint.State == HostLive && (!endpoint.IsRetained() || now.Before(endpoint.RetainedUntil))
}

// IsEmpty reports whether nothing has changed.
func (changes EndpointChanges) IsEmpty() bool {
	return !changes.Whole && len(changes.Listed) == 0 && len(changes.Gone) == 0 && len(changes.Unusable) == 0
}

// ID identifies one incarnation of an endpoint: the endpoint may restart under its
// name, or at another address, and has then lost its state. State that hosts hold
// about an endpoint must be keyed by its ID.
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

// EndpointChanges holds the changes of a list of endpoints since an earlier poll. A
// name is in one of its lists only, the one of its latest change.
type EndpointChanges struct {
	Whole  bool       // Listed is the full list, since the single changes are unknown
	Listed []Endpoint // new or changed
	Gone   []string   // names that are no longer on the list
	// Unusable are names whose entries can't be decoded or lack a field. Earlier
	// content of such an entry is no longer valid.
	Unusable []string
	Next     int64 // change sequence number to continue from
}
