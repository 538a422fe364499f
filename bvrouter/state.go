package bvrouter

import (
	"math/rand/v2"
	"sync/atomic"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvfront"
	"balsamvalve.example/bvroute"
)

// certainShare is the share of the bound within which a new version must be in
// force, for which a host may still say after the platform's last word that
// something is not in the desired state.
const upToDateShare = 0.9

// revokeMargin is kept between the age at which keys are no longer gone by and the
// bound, for clocks that run at different rates.
const revokeMargin = 100 * bvclock.Millisecond

// promptShare is the share of the questions for changes whose answers are wanted at once,
// where keys can be confirmed by them.
const immediateShare = 0.125

// state is the desired state as far as this host knows it.
type state struct {
	clock       bvclock.Clock
	apply       bvclock.Duration // bound within which a new version must be in force
	revoke      bvclock.Duration // bound within which a key that was taken away must be refused; 0: none
	table       atomic.Pointer[bvroute.Table]
	confirmedAt atomic.Int64 // when the platform last said what is newest
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

// Age returns the time since the store was asked for the newest version and said
// that it is the one in force here. It counts suspensions, and is not known before
// the first answer.
func (state *state) Age() (age bvclock.Duration, known bool) {
	confirmed := bvclock.Time(state.confirmedAt.Load())
	return state.clock.Now().Sub(confirmed), confirmed != 0
}

// Confirmed returns the version in force and the age of what is confirmed. A version comes
// into force before it counts as confirmed, so the age is read first: the other way round,
// an older version could go with a newer one's confirmation.
func (state *state) Confirmed() (table *bvroute.Table, age bvclock.Duration, known bool) {
	age, known = state.Age()
	return state.Current(), age, known
}

// noteConfirmed notes that the platform said what is newest, as of the given time.
func (state *state) noteConfirmed(at bvclock.Time) {
	for {
		known := state.confirmedAt.Load()
		if int64(at) <= known || state.confirmedAt.CompareAndSwap(known, int64(at)) {
			return
		}
	}
}

// nextWait returns for how long the store may hold the next question for changes; early
// tells that the last answer came before its wait was over. The answer is wanted at once
// where the state is older than it becomes while the store answers, and now and then by each
// host, so that at the beginning of an outage some host has a new one.
//
// What makes one answer early makes all hosts' early. Without a random wait after it they
// would all ask at the same moments from then on.
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

// replace puts a newer version in force. An older one is ignored: a version that
// callers have seen the effect of is never gone back on.
func (state *state) replace(table *bvroute.Table) bool {
	current := state.table.Load()
	if current != nil && table.Version() <= current.Version() {
		return false
	}
	state.table.Store(table)
	return true
}
