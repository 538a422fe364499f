package bvstatus

import (
	"slices"
	"strings"

	"balsamvalve.example/bvclock"
)

// Status is the state of the system as operators of one member see it.
type Status struct {
	Member    string           `json:"member"`  // of the operator's key
	Host      string           `json:"host"`    // that was queried
	Version   int64            `json:"version"` // highest in force
	Hosts     []Host           `json:"hosts"`
	Endpoints []Endpoint       `json:"endpoints"`
	Members   []Member         `json:"members"`
	Counters  map[string]int64 `json:"counters"` // of the host that was queried
}

// Host is a host of the platform's list.
type Host struct {
	Name      string           `json:"name"`
	Zone      string           `json:"zone"`
	State     string           `json:"state"` // live or leaving
	Answered  bool             `json:"answered"`
	Version   int64            `json:"version,omitempty"`          // 0: not known
	Confirmed bvclock.Duration `json:"confirmed_ago_ms,omitempty"` // since the version was last confirmed
	Refusing  bool             `json:"refusing,omitempty"`         // not confirmed for too long: refuses new calls
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
	Ejected bool   `json:"ejected,omitempty"` // because calls failed; probed later
}

// Member is a member. Only the share of other members is shown.
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

// Merge builds the status for operators of the given member from the reports of all
// hosts. Endpoints and members have the fields of the lists and the table set; Merge
// sets the others.
func Merge(member string, endpoints []Endpoint, members []Member, reports []Report) Status {
	status := Status{Member: member, Endpoints: slices.Clone(endpoints), Members: slices.Clone(members)}
	status.addHosts(reports)
	status.addEndpoints(reports)
	status.addMemberDetails(reports)
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

// addEndpoints sums the calls of all hosts: while the role of a pool's grantor moves
// from one host to another, both have granted some of the running calls.
func (status *Status) addEndpoints(reports []Report) {
	byName := make(map[string]*Endpoint, len(status.Endpoints))
	for i := range status.Endpoints {
		byName[status.Endpoints[i].Name] = &status.Endpoints[i]
	}
	for _, report := range reports {
		for _, endpointReport := range report.Endpoints {
			endpoint := byName[endpointReport.Endpoint]
			if endpoint == nil {
				continue
			}
			endpoint.Running += endpointReport.Running
			endpoint.Ejected = endpoint.Ejected || endpointReport.Ejected
		}
	}
	slices.SortFunc(status.Endpoints, func(a, b Endpoint) int { return strings.Compare(a.Name, b.Name) })
}

func (status *Status) addMemberDetails(reports []Report) {
	slices.SortFunc(status.Members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	details := &MemberDetails{Refusals: make(map[string]int64)}
	isKnown := false
	for _, report := range reports {
		isKnown = isKnown || report.Member.Known
		details.add(report.Member)
	}
	at := slices.IndexFunc(status.Members, func(member Member) bool { return member.Name == status.Member })
	switch {
	case at >= 0:
		status.Members[at].Details = details
	case isKnown:
		// Before the first table, members with a key are served although no
		// row gives them a share.
		status.Members = append(status.Members, Member{Name: status.Member, Details: details})
	}
}

func (details *MemberDetails) add(report MemberReport) {
	details.Work += report.Work
	details.Queued += report.Queued
	details.Running += report.Running
	details.Programs += report.Programs
	for kind, count := range report.Refusals {
		details.Refusals[kind] += count
	}
}
