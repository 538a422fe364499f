// Package bvlease decides which host alone may grant a share of a program's
// budget from its memory, without asking the platform's store first.
//
// Hosts list themselves in the store as grantors, and each program belongs to one
// of these by rendezvous hashing over their names. Hosts read the list at
// different times and go on while the store is away, so two of them can take
// themselves for a program's holder. Two rules keep their grants apart: a host
// grants only for leaseTime after it last read the list, and one that has become
// a program's holder waits until the one before it has surely stopped granting
// and all programs of that time are over. So no program gets grants of two hosts,
// whatever fails; while it waits, and after the loss of its holder, a program has
// to do with what the store records.
//
// Only when the whole system starts for the first time is there nobody before:
// hosts wait then until all of them have read the same list. A host that stops as
// planned hands over what it has granted, and its next process goes on from
// there.
//
// # Usage
//
//	leases := bvlease.New(self, firstStart, clock.Now())
//	leases.RecordWrite(clock.Now())              // this host's row is in the store
//	leases.UpdateList(asked, clock.Now(), hosts) // the list as it was read
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
	// leaseTime is how long after reading the list a host may grant: some readings
	// may fail in an outage of the store.
	leaseTime = 30 * bvclock.Second
	// MaxProgramTime is how long a program may be under way, or come back after
	// it was stopped, beyond the time for which its route keeps turns.
	MaxProgramTime = bvclock.Minute
	// longestRetain is the longest time of a route that keeps turns for which
	// grants are made.
	longestRetain = 5 * bvclock.Minute
	// longestTakeover is how long a new holder waits: until the one before it has
	// surely stopped granting, and no program that it granted for can come back.
	longestTakeover = leaseTime + MaxProgramTime + longestRetain + readGap
	// readGap is the longest time between two readings in which a departed host
	// that was back and left again is not noticed.
	readGap = 15 * bvclock.Second
	// blindGap is the time between two readings after which this host begins
	// anew. A host that was never seen here needs longestTakeover before its
	// first grant.
	blindGap = 2 * bvclock.Minute
	// MaxHandoverAge is how old what a process left behind may be for the next one of
	// its host to go on from there: others wait for longestTakeover.
	MaxHandoverAge = leaseTime
	// firstListed is how soon after its start a host must be listed to take part
	// in the first list.
	firstListed = 3 * bvclock.Second
	// FirstReadDelay is when after its start a host's reading of the list shows all
	// hosts of the first list, also of those whose processes came up 3 s later.
	FirstReadDelay = 6 * bvclock.Second
)

// Host is a row of the list of grantors.
type Host struct {
	Name        string
	Incarnation string // differs with each start of the process
	Address     string // IP:port for questions
}

// row is a host with the seed of its weights.
type row struct {
	Host
	seed uint64
}

// departed is a host that is no longer listed.
type departed struct {
	seed uint64
	gone bvclock.Time // when the list was first read without it
}

// Leases is one host's view. Make one with New; it is safe for concurrent use.
type Leases struct {
	self    Host
	first   bool // the whole system started for the first time
	started bvclock.Time

	mutex         sync.Mutex
	wrote         bvclock.Time // when this host's row was written; 0: not yet
	asked         bvclock.Time // when the last reading of the list began; 0: not yet
	rows          []row
	departedHosts []departed
	succeeded     bool // this host goes on from what its last process handed over
	stopped       bool
}

// New returns the view of a host that knows no list yet.
func New(self Host, firstStart bool, started bvclock.Time) *Leases {
	return &Leases{self: self, first: firstStart, started: started}
}

// RecordWrite notes that the store has this host's row.
func (leases *Leases) RecordWrite(now bvclock.Time) {
	leases.mutex.Lock()
	defer leases.mutex.Unlock()
	leases.wrote = now
}

// KnownHosts is what a host knows of the others, by the seeds of their names.
type KnownHosts struct {
	Listed   []uint64 `json:"listed"`
	Departed []uint64 `json:"former"` // no longer listed, and still to be waited for
}

// Stop ends all grants of this host. It is called before the host takes itself
// off the list. It returns what the next process of this host needs to go on from
// here, and whether it may: not if this one still had to wait itself.
func (leases *Leases) Stop(now bvclock.Time) (known KnownHosts, heritable bool) {
	leases.mutex.Lock()
	defer leases.mutex.Unlock()
	leases.stopped = true
	leases.dropDeparted(now)
	for _, row := range leases.rows {
		known.Listed = append(known.Listed, row.seed)
	}
	for _, departed := range leases.departedHosts {
		known.Departed = append(known.Departed, departed.seed)
	}
	return known, leases.wrote != 0 && leases.confirmed(now) && leases.alone(now)
}

// Inherit notes that this host goes on from where its last process stopped. It is
// called soon after that stop, before another host may take its programs over.
// All hosts that were known then are waited for until the next list shows them.
func (leases *Leases) Inherit(now bvclock.Time, known KnownHosts) {
	leases.mutex.Lock()
	defer leases.mutex.Unlock()
	leases.succeeded = true
	for _, seed := range slices.Concat(known.Listed, known.Departed) {
		leases.departedHosts = append(leases.departedHosts, departed{seed: seed, gone: now})
	}
}

// UpdateList takes over the list. Asked is when its reading began, before which
// nothing that it shows may be relied on.
func (leases *Leases) UpdateList(asked, now bvclock.Time, hosts []Host) {
	leases.mutex.Lock()
	defer leases.mutex.Unlock()
	listed := make(map[uint64]bool, len(hosts))
	rows := make([]row, 0, len(hosts))
	for _, host := range hosts {
		seed := xxhash.Sum64String(host.Name)
		listed[seed] = true
		rows = append(rows, row{Host: host, seed: seed})
	}
	leases.noteGap(asked, now)
	for _, before := range leases.rows {
		if !listed[before.seed] {
			leases.departedHosts = append(leases.departedHosts, departed{seed: before.seed, gone: now})
		}
	}
	leases.rows, leases.asked = rows, asked
	leases.departedHosts = slices.DeleteFunc(leases.departedHosts, func(departed departed) bool { return listed[departed.seed] })
	leases.dropDeparted(now)
}

// noteGap guards against what happened unseen since the last reading. A departed
// host may have been back, granted and left again: its time begins anew. After a
// long gap this may be true of a host that was never seen here, so that this one
// begins as if it had just been listed.
func (leases *Leases) noteGap(asked, now bvclock.Time) {
	if leases.asked == 0 {
		return
	}
	gap := asked.Sub(leases.asked)
	if gap > readGap {
		for i := range leases.departedHosts {
			leases.departedHosts[i].gone = now
		}
	}
	if gap > blindGap {
		leases.first, leases.succeeded, leases.wrote = false, false, now
	}
}

// dropDeparted forgets those whose time is over.
func (leases *Leases) dropDeparted(now bvclock.Time) {
	leases.departedHosts = slices.DeleteFunc(leases.departedHosts, func(departed departed) bool {
		return now.Sub(departed.gone) >= longestTakeover
	})
}

// IsConfirmed reports whether the list was read lately enough to go by it.
func (leases *Leases) IsConfirmed(now bvclock.Time) bool {
	leases.mutex.Lock()
	defer leases.mutex.Unlock()
	return leases.confirmed(now)
}

func (leases *Leases) confirmed(now bvclock.Time) bool {
	return leases.asked != 0 && now.Sub(leases.asked) < leaseTime
}

// Holder returns the host that may grant for a program, as far as this host
// knows; false while it knows no list.
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

// MayGrant reports whether this host alone may grant for a program now, whose
// route keeps turns for the given time.
func (leases *Leases) MayGrant(now bvclock.Time, program string, retain bvclock.Duration) bool {
	leases.mutex.Lock()
	defer leases.mutex.Unlock()
	if retain > longestRetain || leases.stopped || leases.wrote == 0 || !leases.confirmed(now) || !leases.alone(now) {
		return false
	}
	best, highest := leases.holder(program)
	return best != nil && best.Incarnation == leases.self.Incarnation && !leases.followsDeparted(now, program, highest)
}

// alone reports whether no host can have granted for this one's programs before
// it was listed, or those programs are over.
func (leases *Leases) alone(now bvclock.Time) bool {
	if leases.succeeded || now.Sub(leases.wrote) >= longestTakeover {
		return true
	}
	return leases.first && leases.wrote.Sub(leases.started) <= firstListed && leases.asked.Sub(leases.started) >= FirstReadDelay
}

// followsDeparted reports whether a host that is no longer listed was the program's
// holder, and may still be granting, or its programs be under way.
func (leases *Leases) followsDeparted(now bvclock.Time, program string, own uint64) bool {
	key := xxhash.Sum64String(program)
	return slices.ContainsFunc(leases.departedHosts, func(departed departed) bool {
		return bvhost.Weight(departed.seed, key) > own && now.Sub(departed.gone) < longestTakeover
	})
}
