package bvbudget

// Reservation is what one turn may spend. It is not safe for concurrent use.
type Reservation struct {
	allocator *Allocator
	account   *account
	left      int
}

// Spend counts tokens that are about to be handed to the caller. It reports
// whether the reservation held them; if not, they must not be handed on.
func (reservation *Reservation) Spend(tokens int) bool {
	if tokens > reservation.left {
		return false
	}
	reservation.left -= tokens
	reservation.allocator.mutex.Lock()
	defer reservation.allocator.mutex.Unlock()
	reservation.account.open -= tokens
	return true
}

// Close gives back what the turn did not spend.
func (reservation *Reservation) Close() {
	reservation.allocator.mutex.Lock()
	defer reservation.allocator.mutex.Unlock()
	reservation.account.open -= reservation.left
	reservation.account.free += reservation.left
	reservation.account.usedAt = reservation.allocator.clock.Now()
	reservation.left = 0
}
