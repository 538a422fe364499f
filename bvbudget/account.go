package bvbudget

import (
	"balsamvalve.example/bvclock"
)

// account is this host's part of a program's budget. A turn moves tokens from free to
// reserved, lending moves them to other hosts, and spending consumes them. Free only ever
// grows by tokens that the record grants to this host or that another host has deducted.
// So the tokens delivered by all hosts never exceed the sum of the record.
type account struct {
	program string
	lock    chan struct{} // semaphore; held to read or write the record

	// The fields below are guarded by the allocator's mutex.
	record         Record
	version        int64 // of the record; 0: absent
	known          bool  // the record was read or written
	credited       int   // tokens of the record's entry for this host that were added to free
	writeUncertain bool  // the answer to a write was lost, and it may still take effect
	free           int   // tokens that may be reserved here without a request
	reserved       int   // tokens of turns in flight here, not yet delivered
	waiting        int   // sum of the maxima of the turns that wait
	maxTokens      int   // of the last turn
	budget         int   // tokens of the part in the record
	split          bool  // a part of the budget is granted from memory, as the grantor replied
	lastUsed       bvclock.Time
	retain         bvclock.Duration
	rowRetain      bvclock.Duration // how long the row is kept after its last write
}

// isIdle reports whether no turn waits or has reserved tokens left.
func (account *account) isIdle() bool {
	return account.reserved == 0 && account.waiting == 0
}

// isExpired reports whether the account is no longer needed. While the row may have an entry
// of this host, the account knows how much of it is spent: a new one would be credited with
// all of it.
func (account *account) isExpired(paused bvclock.Duration) bool {
	if account.credited > 0 || account.writeUncertain {
		return paused > account.rowRetain
	}
	return paused > account.retain+expiryMargin
}

// applyRecord updates the account with the record in the store. If the entry for this host
// is above credited, a write whose answer was lost took effect, and the difference is
// credited. While the row still has the version that an uncertain write expects, nothing
// is credited: that write may still take effect, and may lower the entry.
func (account *account) applyRecord(incarnation string, record Record, version int64) {
	if account.writeUncertain && version == account.version {
		account.record, account.known = record, true
		return
	}
	account.writeUncertain = false
	account.record, account.version, account.known = record, version, true
	if extra := record.Granted[incarnation] - account.credited; extra > 0 {
		account.credited += extra
		account.free += extra
	}
}

// minUnreservedTurns is how many turns must fit into the unreserved rest of a budget so
// that a host may keep unspent tokens.
const minUnreservedTurns = 3

// returnableTokens returns how many unspent tokens here another host may need.
func (account *account) returnableTokens() int {
	if available := account.budget - account.record.totalGranted(); available >= minUnreservedTurns*account.maxTokens {
		return 0
	}
	return account.unspentTokens()
}

// unspentTokens returns how many tokens here can be deducted from the record.
func (account *account) unspentTokens() int {
	if !account.known || account.writeUncertain || !account.isIdle() {
		return 0
	}
	return min(account.free, account.credited)
}
