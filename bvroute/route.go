// Package bvroute is the part of the desired state that says which request
// goes where and who may send it: routes by host name and path, the services
// behind them, workspaces with their keys, and the limits of what a client may send. A Table is one version of it and never
// changes; a newer version is another Table.
//
// # Usage
//
//	table, err := bvroute.NewTable(bvroute.Rows{Version: version, Routes: routes, Services: services, Limits: limits})
//	route, found := table.Match("ficu95.example", "/lohu930/2f")
//	service := route.Service(bvroute.HashKey(programID))
//
// # Rules
//
// Among the routes of a host name, the one with the longest prefix that begins
// the path is taken (operators' manual, "Routes"). Prefixes begin and end with
// a slash.
package bvroute

import (
	"github.com/cespare/xxhash/v2"

	"balsamvalve.example/bvclock"
)

// Route is a row of the table of routes.
type Route struct {
	Name      string
	Host      string // host name that clients ask for, without a port
	Prefix    string // of the path; begins and ends with a slash
	Kind      Kind
	Timeout   bvclock.Duration // longest time that a client is kept waiting; 0 means no bound
	Goal      bvclock.Duration // time within which an answer is of full use
	Priority  int              // rank; 0 is the most urgent
	Targets   []Target
	Attempts  int              // endpoints that may run one client request; at least 1
	Retained  bool             // the turns' input and output are kept, and later turns name them
	Retain    bvclock.Duration // how long turns and budgets are kept
	Sticky    bool             // endpoints answer faster what they had before
	Resumable bool             // a stream may go on at another endpoint after its last event
	Open      bool             // requests need no key
	Gap       bvclock.Duration // longest pause between two events of a stream that is on time
}

// Target is a service with its share of a route's requests.
type Target struct {
	Service string
	Weight  int // relative to the other targets
}

// MayRepeat reports whether a request of the route may run more than once.
func (route *Route) MayRepeat() bool {
	return route.Kind == Idempotent
}

// Service returns the service for a draw: the targets' weights divide the
// range of draws. A route without a target gives none.
func (route *Route) Service(draw uint64) string {
	total := 0
	for _, target := range route.Targets {
		total += target.Weight
	}
	if total <= 0 {
		return ""
	}
	rest := int(draw % uint64(total))
	for _, target := range route.Targets {
		if rest < target.Weight {
			return target.Service
		}
		rest -= target.Weight
	}
	return ""
}

// HashKey returns the draw of a key, such as a program's id: the same on every
// host, so that a program's turns stay with one service and its caches.
func HashKey(key string) uint64 {
	return xxhash.Sum64String(key)
}
