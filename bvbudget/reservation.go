package bvbudget

// Reservation holds the tokens that one turn may spend. It is not safe for concurrent use.
type Reservation struct {
	allocator *Allocator
	account   *account
	remaining int
}

// Spend counts tokens that are about to be delivered to the caller. It reports whether the
// reservation covers them; if not, they must not be delivered.
func (reservation *Reservation) Spend(tokens int) bool {
	if tokens > reservation.remaining {
		return false
	}
	reservation.remaining -= tokens
	reservation.allocator.mutex.Lock()
	defer reservation.allocator.mutex.Unlock()
	reservation.account.reserved -= tokens
	return true
}

// Close returns the tokens that the turn did not spend to the account.
func (reservation *Reservation) Close() {
	reservation.allocator.mutex.Lock()
	defer reservation.allocator.mutex.Unlock()
	reservation.account.reserved -= reservation.remaining
	reservation.account.free += reservation.remaining
	reservation.account.lastUsed = reservation.allocator.clock.Now()
	reservation.remaining = 0
}
