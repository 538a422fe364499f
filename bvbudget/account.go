package bvbudget

import (
	"balsamvalve.example/bvclock"
)

// account is a program's budget as this host sees it.
type account struct {
	program string
	turn    chan struct{} // held by who reads or writes the record

	// Below, guarded by the keeper's mutex.
	record  Record
	version int64 // of the record; 0: absent
	known   bool  // the record was read or written
	doubt   bool  // a write's answer was lost, and it may still take effect
	spent   int   // tokens handed to callers here
	open    int   // most that turns under way here may still spend
	wanted  int   // most of the turns that wait
	most    int   // of the last turn
	usedAt  bvclock.Time
	retain  bvclock.Duration
	budget  int
}

// free is what may be spent here without asking. After a write whose answer was
// lost it is nothing: the write may have lowered this host's block, and may do
// so seconds later, when another host has long reserved what was given back.
func (account *account) free(host string) int {
	if !account.known || account.doubt {
		return 0
	}
	return account.record.Granted[host] - account.spent - account.open
}

// idle reports whether nothing is under way.
func (account *account) idle() bool {
	return account.open == 0 && account.wanted == 0
}

// scarceTurns is how many turns must fit beside what is reserved, so that a
// host may leave what it has reserved and not spent.
const scarceTurns = 3

// returnable reports whether unspent tokens lie here that another host may
// need.
func (account *account) returnable(host string) bool {
	left := account.budget - account.record.total()
	return account.known && account.idle() && account.free(host) > 0 && left < scarceTurns*account.most
}
