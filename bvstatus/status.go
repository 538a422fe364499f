package bvstatus

import (
	"slices"
	"strings"

	"balsamvalve.example/bvclock"
)

// Status is what an operator sees.
type Status struct {
	Member    string           `json:"member"`  // of the operator's key
	Host      string           `json:"host"`    // that was asked
	Version   int64            `json:"version"` // highest in force
	Hosts     []Host           `json:"hosts"`
	Endpoints []Endpoint       `json:"endpoints"`
	Members   []Member         `json:"members"`
	Counters  map[string]int64 `json:"counters"` // of the host that was asked
}

// Host is a host of the platform's list.
type Host struct {
	Name      string           `json:"name"`
	Zone      string           `json:"zone"`
	State     string           `json:"state"` // live or leaving
	Answered  bool             `json:"answered"`
	Version   int64            `json:"version,omitempty"`          // 0: not known
	Confirmed bvclock.Duration `json:"confirmed_ago_ms,omitempty"` // since somebody confirmed the version
	Refusing  bool             `json:"refusing,omitempty"`         // not confirmed for too long: takes no new work
	Behind    bool             `json:"behind,omitempty"`           // has an older version than another host
}

// Endpoint is an endpoint of the platform's list.
type Endpoint struct {
	Name    string `json:"name"`
	Kind    string `json:"kind"`   // engine or service
	Serves  string `json:"serves"` // model or service
	Zone    string `json:"zone"`
	State   string `json:"state"` // live or leaving
	Running int    `json:"running"`
	Slots   int    `json:"slots"`
	Ejected bool   `json:"ejected,omitempty"` // failed calls, probed later
}

// Member is a member. Of rivals only the share is shown.
type Member struct {
	Name    string         `json:"name"`
	Share   float64        `json:"share"` // percent; 0 before the first table
	Details *MemberDetails `json:"own,omitempty"`
}

// MemberDetails are the figures that only the member's own operators see.
type MemberDetails struct {
	Work     float64          `json:"work"`     // granted in the last 10 s, in generated tokens
	Queued   int              `json:"queued"`   // calls
	Running  int              `json:"running"`  // calls
	Programs int              `json:"programs"` // held by hosts that answered
	Refusals map[string]int64 `json:"refusals"` // by verdict/code, since the hosts started
}

// Merge builds what an operator of the given member sees from the reports of
// all hosts. Endpoints and members come with what the lists and the table
// say; Merge fills in the rest.
func Merge(member string, endpoints []Endpoint, members []Member, reports []Report) Status {
	status := Status{Member: member, Endpoints: slices.Clone(endpoints), Members: slices.Clone(members)}
	status.addHosts(reports)
	status.addEndpoints(reports)
	status.addOwn(reports)
	return status
}

func (status *Status) addHosts(reports []Report) {
	for _, report := range reports {
		status.Version = max(status.Version, report.Version)
	}
	for _, report := range reports {
		status.Hosts = append(status.Hosts, Host{
			Name:      report.Host,
			Zone:      report.Zone,
			State:     report.State,
			Answered:  !report.silent,
			Version:   report.Version,
			Confirmed: report.Confirmed,
			Refusing:  report.Refusing,
			Behind:    !report.silent && report.Version < status.Version,
		})
	}
	slices.SortFunc(status.Hosts, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
}

// addEndpoints adds up the calls of all hosts: while the decision for a pool
// moves from one host to another, both have granted some.
func (status *Status) addEndpoints(reports []Report) {
	places := make(map[string]*Endpoint, len(status.Endpoints))
	for i := range status.Endpoints {
		places[status.Endpoints[i].Name] = &status.Endpoints[i]
	}
	for _, report := range reports {
		for _, known := range report.Endpoints {
			endpoint := places[known.Endpoint]
			if endpoint == nil {
				continue
			}
			endpoint.Running += known.Running
			endpoint.Ejected = endpoint.Ejected || known.Ejected
		}
	}
	slices.SortFunc(status.Endpoints, func(a, b Endpoint) int { return strings.Compare(a.Name, b.Name) })
}

func (status *Status) addOwn(reports []Report) {
	slices.SortFunc(status.Members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	own := &MemberDetails{Refusals: make(map[string]int64)}
	known := false
	for _, report := range reports {
		known = known || report.Member.Known
		own.add(report.Member)
	}
	at := slices.IndexFunc(status.Members, func(member Member) bool { return member.Name == status.Member })
	switch {
	case at >= 0:
		status.Members[at].Details = own
	case known:
		// Before the first table, members with a key are served although no
		// row gives them a share.
		status.Members = append(status.Members, Member{Name: status.Member, Details: own})
	}
}

func (own *MemberDetails) add(report MemberReport) {
	own.Work += report.Work
	own.Queued += report.Queued
	own.Running += report.Running
	own.Programs += report.Programs
	for kind, count := range report.Refusals {
		own.Refusals[kind] += count
	}
}
