// Package bvroute is the part of the desired state that determines where a request is sent
// and who may send it: routes by host name and path, the services behind them, workspaces
// with their keys, and the limits on client requests. A Table is one immutable version of
// it; a newer version is another Table.
//
// # Usage
//
//	table, err := bvroute.NewTable(bvroute.Rows{Version: version, Routes: routes, Services: services, Limits: limits})
//	route, found := table.Match("ficu95.example", "/lohu930/2f")
//	service := route.Service(bvroute.HashKey(programID))
//
// # Rules
//
// Among the routes of a host name, the one with the longest prefix of the path applies
// (operators' manual, "Routes"). Prefixes begin and end with a slash.
package bvroute

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"balsamvalve.example/bvclock"
)

// Route is a row of the table of routes.
type Route struct {
	Name      string
	Host      string // host name of the request, without a port
	Prefix    string // of the path; begins and ends with a slash
	Kind      Kind
	Timeout   bvclock.Duration // longest time that a client is kept waiting; 0 means no bound
	Goal      bvclock.Duration // time within which an answer counts as in time
	Priority  int              // rank; 0 is the most urgent
	Targets   []Target
	Attempts  int              // endpoints that may run one client request; at least 1
	Retained  bool             // turns' input and output are retained, and later turns refer to them
	Retain    bvclock.Duration // how long turns and budgets are retained
	Sticky    bool             // endpoints answer faster for objects that they had before
	Resumable bool             // a stream may continue at another endpoint after its last event
	Open      bool             // requests need no key
	Gap       bvclock.Duration // longest pause between two events of a stream that is on time
}

// Target is a service and its weight among a route's targets.
type Target struct {
	Service string
	Weight  int // relative to the other targets
}

// MayRepeat reports whether a request of the route may run more than once.
func (route *Route) MayRepeat() bool {
	return route.Kind == Idempotent
}

// Service returns the service for a hash: the targets' weights divide the range of hashes.
// It returns "" for a route without weighted targets.
func (route *Route) Service(hash uint64) string {
	total := 0
	for _, target := range route.Targets {
		total += target.Weight
	}
	if total <= 0 {
		return ""
	}
	rest := int(hash % uint64(total))
	for _, target := range route.Targets {
		if rest < target.Weight {
			return target.Service
		}
		rest -= target.Weight
	}
	return ""
}

// HasTarget reports whether requests of the route may go to a service.
func (route *Route) HasTarget(service string) bool {
	return slices.ContainsFunc(route.Targets, func(target Target) bool {
		return target.Service == service && target.Weight > 0
	})
}

// HashKey returns the hash of a key, such as a program's ID. It is the same on every host,
// so that a program's turns stay with one service and its caches.
func HashKey(key string) uint64 {
	return xxhash.Sum64String(key)
}
