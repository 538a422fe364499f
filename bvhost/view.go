// Package bvhost is this host's view of the other hosts: the platform's
// lagging list, corrected by what this host saw itself.
//
// # Usage
//
//	view := &bvhost.View{}
//	view.SetSelf(self)
//	view.Update(now, hosts)
//	for _, host := range view.Candidates(now, "program/piran/p1") {
//		// the first is where the key belongs
//	}
//
// Two hosts may have different views. Nothing is decided by a view that must
// hold: it only says where to ask first.
package bvhost

import (
	"sync"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
)

// distrustTime is how long a host that could not be reached is asked last.
// It covers the lag of the platform's list; a host that was only cut off for a
// moment is back after it.
const distrustTime = 3 * bvclock.Second

// View is one host's view of the hosts. The zero value knows of none. It is
// safe for concurrent use.
type View struct {
	mutex      sync.Mutex
	self       bvplatform.Host
	listed     []bvplatform.Host
	distrusted map[string]bvclock.Time
	updated    bvclock.Time
}

// SetSelf sets this host's own entry, which is in the view whether or not the
// list shows it yet.
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

// Update takes over a new list.
func (view *View) Update(now bvclock.Time, hosts []bvplatform.Host) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	view.listed = hosts
	view.updated = now
	for name, until := range view.distrusted {
		if now.After(until) {
			delete(view.distrusted, name)
		}
	}
}

// MarkUnreachable notes that a host could not be reached. The list shows a dead host
// for seconds; without this, each call in that time would try it first. It
// reports whether the host was trusted until now.
func (view *View) MarkUnreachable(now bvclock.Time, name string) bool {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	if view.distrusted == nil {
		view.distrusted = make(map[string]bvclock.Time)
	}
	until, found := view.distrusted[name]
	view.distrusted[name] = now.Add(distrustTime)
	return !found || now.After(until)
}

// MarkReachable notes that a host answered.
func (view *View) MarkReachable(name string) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	delete(view.distrusted, name)
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

// Candidates returns the first hosts to ask for a key, in order. Leaving hosts
// keep their place: they still finish what they have, and say so when they
// have nothing of the key. Hosts that could not be reached lately come last.
func (view *View) Candidates(now bvclock.Time, key string) []bvplatform.Host {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return rank(view.hosts(), key, MaxCandidates, func(name string) bool {
		until, found := view.distrusted[name]
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
