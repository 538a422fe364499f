// Package bvstatus shows operators the state of the system: which hosts answer and
// which version of the table they have in force, the running calls of the endpoints,
// and each member's usage.
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

// Report is a host's report on itself and on the one member whose operator asks: no
// other member's figures leave the host.
type Report struct {
	Host      string           `json:"host"`
	Zone      string           `json:"zone"`
	State     string           `json:"state"`
	Version   int64            `json:"version"`          // of the table in force
	Confirmed bvclock.Duration `json:"confirmed_ago_ms"` // since the version was last confirmed
	Refusing  bool             `json:"refusing"`         // not confirmed for too long: refuses new calls
	Member    MemberReport     `json:"member"`
	Endpoints []EndpointReport `json:"endpoints,omitempty"`

	silent bool // did not answer; only Host, Zone and State are set
}

// MemberReport holds a member's figures on one host.
type MemberReport struct {
	Known    bool             `json:"known,omitempty"` // the host has programs or refusals of the member
	Programs int              `json:"programs"`
	Running  int              `json:"running"` // calls
	Queued   int              `json:"queued"`  // calls
	Work     float64          `json:"work"`    // granted in the last 10 s, in generated tokens
	Refusals map[string]int64 `json:"refusals,omitempty"`
}

// EndpointReport is the state of an endpoint at the host that grants its calls.
type EndpointReport struct {
	Endpoint string `json:"endpoint"`
	Running  int    `json:"running"` // calls that this host granted
	Ejected  bool   `json:"ejected,omitempty"`
}

// NewSilentReport returns the report of a host that did not answer, with the data of
// the platform's list.
func NewSilentReport(host, zone, state string) Report {
	return Report{Host: host, Zone: zone, State: state, silent: true}
}
