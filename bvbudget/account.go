package bvbudget

import (
	"balsamvalve.example/bvclock"
)

// account is a program's budget as this host sees it. What is free here moves
// to open with a turn, to other hosts by lending, and to nowhere by spending;
// it only ever grows by what the record holds for this host or what another
// host has given up. So the tokens handed out by all hosts never pass the sum
// of the record.
type account struct {
	program string
	turn    chan struct{} // held by who reads or writes the record

	// Below, guarded by the allocator's mutex.
	record   Record
	version  int64 // of the record; 0: absent
	known    bool  // the record was read or written
	credited int   // of the record's entry for this host, what went into free
	doubt    bool  // a write's answer was lost, and it may still take effect
	free     int   // tokens that may be reserved here without asking
	open     int   // tokens of turns under way here, not handed out yet
	wanted   int   // most of the turns that wait
	most     int   // of the last turn
	budget   int
	usedAt   bvclock.Time
	retain   bvclock.Duration
}

// idle reports whether nothing is under way.
func (account *account) idle() bool {
	return account.open == 0 && account.wanted == 0
}

// learn takes in the record as the store has it. An entry for this host above
// what was credited is a write whose answer was lost and that took effect. But
// while the row has the version that a write in doubt expects, that write may
// still come, and it may be one that lowers the entry: nothing is credited.
func (account *account) learn(host string, record Record, version int64) {
	if account.doubt && version == account.version {
		account.record, account.known = record, true
		return
	}
	account.doubt = false
	account.record, account.version, account.known = record, version, true
	if extra := record.Granted[host] - account.credited; extra > 0 {
		account.credited += extra
		account.free += extra
	}
}

// scarceTurns is how many turns must fit beside what is reserved, so that a
// host may leave what it has reserved and not spent.
const scarceTurns = 3

// returnable is how many unspent tokens lie here that another host may need.
func (account *account) returnable() int {
	if left := account.budget - account.record.total(); left >= scarceTurns*account.most {
		return 0
	}
	return account.unspent()
}

// unspent is how many tokens lie here that can be taken off the record.
func (account *account) unspent() int {
	if !account.known || account.doubt || !account.idle() {
		return 0
	}
	return min(account.free, account.credited)
}
