// Package bvhost is this host's view of the other hosts: the platform's list, which
// lags, corrected by which hosts this host could reach itself.
//
// # Usage
//
//	view := &bvhost.View{}
//	view.SetSelf(self)
//	view.Update(now, hosts)
//	for _, host := range view.Candidates(now, "program/piran/p1") {
//		// the first host is the key's owner
//	}
//
// Two hosts may have different views, so no invariant may depend on a view: it only
// gives the order in which to query hosts.
package bvhost

import (
	"sync"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
)

// unreachableTime is how long a host that could not be reached is ranked last. It covers
// the lag of the platform's list, and is short for a host that was only cut off for a
// moment.
const unreachableTime = 3 * bvclock.Second

// View is one host's view of the hosts. The zero value is empty. It is safe for
// concurrent use.
type View struct {
	mutex            sync.Mutex
	self             bvplatform.Host
	listed           []bvplatform.Host
	unreachableUntil map[string]bvclock.Time
	updated          bvclock.Time
}

// SetSelf sets this host's own entry, which is in the view whether or not the list
// contains it yet.
func (view *View) SetSelf(self bvplatform.Host) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	view.self = self
}

// Self returns this host's own entry.
func (view *View) Self() bvplatform.Host {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return view.self
}

// Update replaces the list of hosts with a newer one.
func (view *View) Update(now bvclock.Time, hosts []bvplatform.Host) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	view.listed = hosts
	view.updated = now
	for name, until := range view.unreachableUntil {
		if now.After(until) {
			delete(view.unreachableUntil, name)
		}
	}
}

// MarkUnreachable records that a host could not be reached. The list contains a failed
// host for seconds; without this, each call in that time would go to it first. It
// reports whether the host counted as reachable until now.
func (view *View) MarkUnreachable(now bvclock.Time, name string) bool {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	if view.unreachableUntil == nil {
		view.unreachableUntil = make(map[string]bvclock.Time)
	}
	until, found := view.unreachableUntil[name]
	view.unreachableUntil[name] = now.Add(unreachableTime)
	return !found || now.After(until)
}

// MarkReachable records that a host answered.
func (view *View) MarkReachable(name string) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	delete(view.unreachableUntil, name)
}

// Hosts returns all hosts of the view, this one included.
func (view *View) Hosts() []bvplatform.Host {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return view.hosts()
}

func (view *View) hosts() []bvplatform.Host {
	hosts := make([]bvplatform.Host, 0, len(view.listed)+1)
	for _, host := range view.listed {
		if host.Name != view.self.Name {
			hosts = append(hosts, host)
		}
	}
	if view.self.Name != "" {
		hosts = append(hosts, view.self)
	}
	return hosts
}

// LiveCount returns how many hosts are live, this one included.
func (view *View) LiveCount() int {
	count := 0
	for _, host := range view.Hosts() {
		if host.State == bvplatform.HostLive {
			count++
		}
	}
	return max(count, 1)
}

// MaxCandidates is how many hosts Candidates returns at most.
const MaxCandidates = 8

// Candidates returns the first hosts to query for a key, in order. Leaving hosts keep
// their rank: they finish the work they have, and answer when they have none for the
// key. Hosts that could not be reached recently come last.
func (view *View) Candidates(now bvclock.Time, key string) []bvplatform.Host {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return rankHosts(view.hosts(), key, MaxCandidates, func(name string) bool {
		until, found := view.unreachableUntil[name]
		return found && !now.After(until)
	})
}

// ByName returns the host with a name.
func (view *View) ByName(name string) (bvplatform.Host, bool) {
	for _, host := range view.Hosts() {
		if host.Name == name {
			return host, true
		}
	}
	return bvplatform.Host{}, false
}
