package bvrouter

import (
	"math/rand/v2"
	"sync/atomic"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvfront"
	"balsamvalve.example/bvroute"
)

// upToDateShare is the share of the bound within which a new version must be in force.
// For this long after the platform's last confirmation, a host may still answer that
// something is not in the desired state.
const upToDateShare = 0.9

// revokeMargin is the margin between the age from which keys are no longer accepted and
// the bound. It allows for clocks that run at different rates.
const revokeMargin = 100 * bvclock.Millisecond

// immediateShare is the share of requests for changes that don't wait, if keys must be
// confirmed by the answers.
const immediateShare = 0.125

// state is the desired state as known to this host.
type state struct {
	clock       bvclock.Clock
	apply       bvclock.Duration // bound within which a new version must be in force
	revoke      bvclock.Duration // bound within which a revoked key must be refused; 0: none
	table       atomic.Pointer[bvroute.Table]
	confirmedAt atomic.Int64 // as of when the platform last confirmed the newest version
}

// Current implements bvfront.State.
func (state *state) Current() *bvroute.Table { return state.table.Load() }

// View implements bvfront.State.
func (state *state) View() bvfront.View {
	table, age, known := state.Confirmed()
	return bvfront.View{
		Table:         table,
		UpToDate:      known && float64(age) < upToDateShare*float64(state.apply),
		KeysConfirmed: state.revoke == 0 || known && age < state.revoke-revokeMargin,
	}
}

// Age returns the time since the request to the store whose answer last confirmed that the
// version in force here is the newest one. It includes suspensions, and is not known
// before the first answer.
func (state *state) Age() (age bvclock.Duration, known bool) {
	confirmed := bvclock.Time(state.confirmedAt.Load())
	return state.clock.Now().Sub(confirmed), confirmed != 0
}

// Confirmed returns the version in force and the age of its confirmation. A version comes
// into force before it is confirmed, so the age is read first: in the other order, an older
// version could be returned with the confirmation of a newer one.
func (state *state) Confirmed() (table *bvroute.Table, age bvclock.Duration, known bool) {
	age, known = state.Age()
	return state.Current(), age, known
}

// recordConfirmation records that the platform confirmed the newest version as of a time.
func (state *state) recordConfirmation(at bvclock.Time) {
	for {
		known := state.confirmedAt.Load()
		if int64(at) <= known || state.confirmedAt.CompareAndSwap(known, int64(at)) {
			return
		}
	}
}

// nextWait returns how long the store may hold the next request for changes; answeredEarly
// means that the last answer came before the end of its wait. A request does not wait if
// the state is older than it can be while the store answers; some requests of each host
// don't wait either, so that some host has a recent answer when an outage starts.
//
// A change answers the requests of all hosts early. Without a random wait after it, all
// hosts would send their requests at the same times from then on.
func (state *state) nextWait(answeredEarly bool) bvclock.Duration {
	wait := stateWait(state.apply)
	age, known := state.Age()
	old := known && age > maxConfirmedAge(state.apply, state.revoke)
	switch {
	case old || state.revoke > 0 && rand.Float64() < immediateShare:
		return minWait
	case answeredEarly:
		return minWait + rand.N(wait)
	}
	return wait
}

// replace puts a newer version in force. Older versions are ignored: a version that has
// affected callers is never rolled back.
func (state *state) replace(table *bvroute.Table) bool {
	current := state.table.Load()
	if current != nil && table.Version() <= current.Version() {
		return false
	}
	state.table.Store(table)
	return true
}
