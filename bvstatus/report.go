// Package bvstatus shows operators what the hosts do: which of them answer
// and what version of the table they have in force, what the endpoints run,
// and what each member got.
//
// Each host describes itself in a Report. The host that an operator asks
// gathers the reports of all hosts, merges them into a Status and leaves out
// what the operator's member may not see.
//
// # Usage
//
//	reports := bvstatus.Gather(ctx, hosts, ask)
//	status := bvstatus.Merge(member, endpoints, shares, reports)
//	err := status.Print(os.Stdout)
package bvstatus

import "balsamvalve.example/bvclock"

// Report is what a host says of itself, and of the one member whose operator
// asks: no rival's figures leave the host.
type Report struct {
	Host      string           `json:"host"`
	Zone      string           `json:"zone"`
	State     string           `json:"state"`
	Version   int64            `json:"version"`          // of the table in force
	Confirmed bvclock.Duration `json:"confirmed_ago_ms"` // since somebody confirmed the version
	Refusing  bool             `json:"refusing"`         // not confirmed for too long: takes no new work
	Member    MemberReport     `json:"member"`
	Endpoints []EndpointReport `json:"endpoints,omitempty"`

	silent bool // did not answer; only Host, Zone and State are known
}

// MemberReport is what a host holds and decides for a member.
type MemberReport struct {
	Known    bool             `json:"known,omitempty"` // the host has anything of it
	Programs int              `json:"programs"`
	Running  int              `json:"running"` // calls
	Queued   int              `json:"queued"`  // calls
	Work     float64          `json:"work"`    // granted in the last 10 s, in generated tokens
	Refusals map[string]int64 `json:"refusals,omitempty"`
}

// EndpointReport is what a host that decides for an endpoint knows of it.
type EndpointReport struct {
	Endpoint string `json:"endpoint"`
	Running  int    `json:"running"` // calls that this host granted
	Ejected  bool   `json:"ejected,omitempty"`
}

// NewSilentReport returns the report of a host that did not answer, as the platform's list
// shows it.
func NewSilentReport(host, zone, state string) Report {
	return Report{Host: host, Zone: zone, State: state, silent: true}
}
