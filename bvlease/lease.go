// Package bvlease decides which single host may grant a share of a program's budget
// from memory, without a request to the platform's store.
//
// Hosts list themselves in the store as grantors, and each program is assigned to one
// of them, its holder, by rendezvous hashing over their names. Hosts read the list at
// different times and continue while the store is unavailable, so two hosts can both
// assume that they are a program's holder. Two rules prevent conflicting grants: a host
// grants only for leaseTime after it last read the list, and a host that becomes a
// program's holder waits until its predecessor must have stopped granting and all
// programs of that time have ended. So no program receives grants from two hosts,
// whatever fails. During this wait, and after its holder has failed, a program is
// limited to the stored part of its budget.
//
// Only the first start of the whole system has no predecessors: hosts then wait until
// all of them have read the same list. A host that stops as planned hands over what it
// has granted, and its next process continues from there.
//
// # Usage
//
//	leases := bvlease.New(self, firstStart, clock.Now())
//	leases.RecordWrite(clock.Now())              // this host's row is in the store
//	leases.UpdateList(began, clock.Now(), hosts) // the list; its read began then
//	if leases.MayGrant(clock.Now(), program, retain) { ... }
package bvlease

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvhost"
)

const (
	// leaseTime is how long after reading the list a host may grant: some reads may
	// fail in an outage of the store.
	leaseTime = 30 * bvclock.Second
	// MaxProgramTime is how long a program may run, or return after it was stopped,
	// beyond the retention time of its route.
	MaxProgramTime = bvclock.Minute
	// maxRetain is the longest retention time of a route's turns for which grants
	// are made.
	maxRetain = 5 * bvclock.Minute
	// TakeoverDelay is how long a new holder waits before it grants: after it, the
	// previous holder must have stopped granting, and no program that it granted for
	// can return.
	TakeoverDelay = leaseTime + MaxProgramTime + maxRetain + maxReadGap
	// maxReadGap is the longest time between two reads of the list in which a departed
	// host may have been listed and removed again unseen without its delay being
	// restarted; TakeoverDelay includes it.
	maxReadGap = 15 * bvclock.Second
	// resetGap is the time between two reads of the list after which this host starts
	// over as if newly listed. A host that was never seen here waits for TakeoverDelay
	// before its first grant, so it can't have granted unseen within a shorter gap.
	resetGap = 2 * bvclock.Minute
	// MaxHandoverAge is the age up to which the next process of a host may continue
	// from a handover: other hosts wait for TakeoverDelay.
	MaxHandoverAge = leaseTime
	// maxFirstWriteDelay is how soon after its start a host must have written its row
	// to be part of the first list.
	maxFirstWriteDelay = 3 * bvclock.Second
	// FirstReadDelay is how long after a host's start its read of the list shows all
	// hosts of the first list, including those whose processes started 3 s later.
	FirstReadDelay = 6 * bvclock.Second
)

// Host is a row of the list of grantors.
type Host struct {
	Name        string
	Incarnation string // differs with each start of the process
	Address     string // IP:port for requests of other hosts
}

//go:generate stringer -type=Rule -linecomment

// Rule states how much of a budget hosts of a build grant from memory. The rest is in the program's row.
type Rule int

// The rules, from that of the oldest builds to that of this build.
const (
	GrantHalf                Rule = iota // half
	GrantThird                           // third
	GrantThirdUnlessRetained             // third, one turn where turns are retained

	CurrentRule = GrantThirdUnlessRetained
)

// row is a listed host and the hash of its name, the seed of its rendezvous weights.
type row struct {
	Host
	seed uint64
}

// departedHost is a host that is no longer listed.
type departedHost struct {
	seed       uint64
	departedAt bvclock.Time // when the list was first read without the host
}

// Leases is one host's view of the grantors. Create it with New; it is safe for
// concurrent use.
type Leases struct {
	self         Host
	isFirstStart bool // the whole system started for the first time
	startedAt    bvclock.Time

	mutex         sync.Mutex
	writtenAt     bvclock.Time // when this host's row was written; 0 if it was not
	readAt        bvclock.Time // when the last successful read of the list began; 0 before the first
	rows          []row
	departedHosts []departedHost
	ruleUntil     [CurrentRule]bvclock.Time // until when programs may run for which hosts have granted by earlier rules
	inherited     bool                      // this host continues from the handover of its previous process
	stopped       bool
}

// New returns the view of a host that has not read the list yet.
func New(self Host, firstStart bool, startedAt bvclock.Time) *Leases {
	return &Leases{self: self, isFirstStart: firstStart, startedAt: startedAt}
}

// RecordWrite records that the store has this host's row.
func (leases *Leases) RecordWrite(now bvclock.Time) {
	leases.mutex.Lock()
	defer leases.mutex.Unlock()
	leases.writtenAt = now
}

// KnownHosts are the hosts that a host knows, by the hashes of their names.
type KnownHosts struct {
	Listed   []uint64 `json:"listed"`
	Departed []uint64 `json:"former"` // no longer listed, but their delay has not passed
}

// Stop ends all grants of this host. Call it before the host removes itself from the
// list. It returns the state that the next process of this host continues from, and
// whether it may: not if this process is itself still waiting before its first grant.
func (leases *Leases) Stop(now bvclock.Time) (known KnownHosts, inheritable bool) {
	leases.mutex.Lock()
	defer leases.mutex.Unlock()
	leases.stopped = true
	leases.dropExpired(now)
	for _, row := range leases.rows {
		known.Listed = append(known.Listed, row.seed)
	}
	for _, departed := range leases.departedHosts {
		known.Departed = append(known.Departed, departed.seed)
	}
	return known, leases.writtenAt != 0 && leases.isConfirmed(now) && leases.hasNoPredecessor(now)
}

// Inherit records that this host continues from where its previous process stopped.
// Call it within MaxHandoverAge of that stop, before another host may take over its
// programs. All hosts known at the stop count as departed until the next list shows
// them.
func (leases *Leases) Inherit(now bvclock.Time, known KnownHosts) {
	leases.mutex.Lock()
	defer leases.mutex.Unlock()
	leases.inherited = true
	for _, seed := range slices.Concat(known.Listed, known.Departed) {
		leases.departedHosts = append(leases.departedHosts, departedHost{seed: seed, departedAt: now})
	}
}

// UpdateList replaces the list. The lease starts at readAt, when the read of the list
// began, since the list may be as old as that.
func (leases *Leases) UpdateList(readAt, now bvclock.Time, hosts []Host) {
	leases.mutex.Lock()
	defer leases.mutex.Unlock()
	listed := make(map[uint64]bool, len(hosts))
	rows := make([]row, 0, len(hosts))
	for _, host := range hosts {
		seed := xxhash.Sum64String(host.Name)
		listed[seed] = true
		rows = append(rows, row{Host: host, seed: seed})
	}
	leases.handleGap(readAt, now)
	for _, previous := range leases.rows {
		if !listed[previous.seed] {
			leases.departedHosts = append(leases.departedHosts, departedHost{seed: previous.seed, departedAt: now})
		}
	}
	leases.rows, leases.readAt = rows, readAt
	leases.departedHosts = slices.DeleteFunc(leases.departedHosts, func(departedHost departedHost) bool { return listed[departedHost.seed] })
	leases.dropExpired(now)
}

// handleGap handles events that this host may have missed between two reads of the
// list. A departed host may have been listed, granted and departed again: its delay
// restarts. After a long gap this may apply to a host that was never seen here, so
// this host starts over as if it had just been listed.
func (leases *Leases) handleGap(readAt, now bvclock.Time) {
	if leases.readAt == 0 {
		return
	}
	gap := readAt.Sub(leases.readAt)
	if gap > maxReadGap {
		for i := range leases.departedHosts {
			leases.departedHosts[i].departedAt = now
		}
	}
	if gap > resetGap {
		leases.isFirstStart, leases.inherited, leases.writtenAt = false, false, now
	}
}

// dropExpired removes the departed hosts whose delay has passed.
func (leases *Leases) dropExpired(now bvclock.Time) {
	leases.departedHosts = slices.DeleteFunc(leases.departedHosts, func(departed departedHost) bool {
		return now.Sub(departed.departedAt) >= TakeoverDelay
	})
}

// IsConfirmed reports whether the list was read recently enough to be relied on.
func (leases *Leases) IsConfirmed(now bvclock.Time) bool {
	leases.mutex.Lock()
	defer leases.mutex.Unlock()
	return leases.isConfirmed(now)
}

func (leases *Leases) isConfirmed(now bvclock.Time) bool {
	return leases.readAt != 0 && now.Sub(leases.readAt) < leaseTime
}

// Holder returns the host that may grant for a program, by the list that this host
// last read; false before the first read.
func (leases *Leases) Holder(program string) (Host, bool) {
	leases.mutex.Lock()
	defer leases.mutex.Unlock()
	best, _ := leases.holder(program)
	if best == nil {
		return Host{}, false
	}
	return best.Host, true
}

func (leases *Leases) holder(program string) (best *row, highest uint64) {
	key := xxhash.Sum64String(program)
	for i := range leases.rows {
		if weight := bvhost.Weight(leases.rows[i].seed, key); best == nil || weight > highest {
			best, highest = &leases.rows[i], weight
		}
	}
	return best, highest
}

// MayGrant reports whether this host, and no other, may grant for a program now.
// Retain is the retention time of the program's route.
func (leases *Leases) MayGrant(now bvclock.Time, program string, retain bvclock.Duration) bool {
	leases.mutex.Lock()
	defer leases.mutex.Unlock()
	if retain > maxRetain || leases.stopped || leases.writtenAt == 0 || !leases.isConfirmed(now) || !leases.hasNoPredecessor(now) {
		return false
	}
	best, highest := leases.holder(program)
	return best != nil && best.Incarnation == leases.self.Incarnation && !leases.isHeldByDeparted(now, program, highest)
}

// ExtendRule records that programs for which a host has granted by a rule may run until a time.
func (leases *Leases) ExtendRule(rule Rule, until bvclock.Time) {
	leases.mutex.Lock()
	defer leases.mutex.Unlock()
	if rule >= 0 && rule < CurrentRule {
		leases.ruleUntil[rule] = max(leases.ruleUntil[rule], until)
	}
}

// OldestRule returns the oldest rule by which hosts grant, or have granted for programs that may still run.
func (leases *Leases) OldestRule(now bvclock.Time) Rule {
	leases.mutex.Lock()
	defer leases.mutex.Unlock()
	for rule, until := range leases.ruleUntil {
		if now.Before(until) {
			return Rule(rule)
		}
	}
	return CurrentRule
}

// hasNoPredecessor reports whether no host can have granted for this host's programs
// before it was listed, or those programs have ended.
func (leases *Leases) hasNoPredecessor(now bvclock.Time) bool {
	if leases.inherited || now.Sub(leases.writtenAt) >= TakeoverDelay {
		return true
	}
	return leases.isFirstStart && leases.writtenAt.Sub(leases.startedAt) <= maxFirstWriteDelay && leases.readAt.Sub(leases.startedAt) >= FirstReadDelay
}

// isHeldByDeparted reports whether a host that is no longer listed was the program's
// holder and may still be granting, or programs that it granted for may be running.
func (leases *Leases) isHeldByDeparted(now bvclock.Time, program string, ownWeight uint64) bool {
	key := xxhash.Sum64String(program)
	return slices.ContainsFunc(leases.departedHosts, func(departed departedHost) bool {
		return bvhost.Weight(departed.seed, key) > ownWeight && now.Sub(departed.departedAt) < TakeoverDelay
	})
}
