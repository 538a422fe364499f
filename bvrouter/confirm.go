package bvrouter

import (
	"context"
	"net/http"
	"slices"
	"strconv"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgossip"
	"balsamvalve.example/bvmechanism"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvroute"
)

const (
	// confirmInterval is the time between two looks at the age of the desired state.
	confirmInterval = 200 * bvclock.Millisecond
	// lateAnswer is how much longer than the wait for a change an answer of the
	// store takes before another host is asked.
	lateAnswer = 300 * bvclock.Millisecond
	// borrowShare is the part of the bound on keys that were taken away after which
	// another host is asked at the latest.
	borrowShare = 0.7
)

// keepConfirmed has the desired state confirmed by another host, or a newer one handed
// on, while the store does not answer this one. A silent store holds this host's own
// question for seconds, and keys must be refused before it ends.
func (router *Router) keepConfirmed(ctx context.Context) {
	limit := confirmWithin(router.settings.Apply, router.settings.Revoke)
	for ctx.Err() == nil {
		pause(ctx, confirmInterval)
		age, known := router.state.Age()
		if !known || age > limit || !router.store.up() && router.toldOfNewer() {
			if !router.borrowRoutes(ctx, router.helpers()) && known && age < router.settings.Revoke {
				router.borrowRoutes(ctx, router.confirmers())
			}
		}
	}
}

// confirmers returns another host, drawn at random, for while no host reaches the store.
// Hosts last asked it at different times, so that in a few rounds all go by the answer
// that came last, and good keys are served for longer.
func (router *Router) confirmers() []string {
	if router.settings.Without.Has(bvmechanism.Relays) {
		return nil
	}
	return draw(router.gossip.LivePeers(), 1, func(digest *bvgossip.Digest) bool { return !digest.GetLeaving() })
}

// toldOfNewer reports whether another host has a newer version than is in force here.
func (router *Router) toldOfNewer() bool {
	version := router.version()
	return slices.ContainsFunc(router.gossip.LivePeers(), func(digest *bvgossip.Digest) bool {
		return digest.GetStateVersion() > version
	})
}

// confirmWithin returns the age of the desired state from which another host is asked.
// While the store answers, the state is as old as one wait for a change when the answer
// comes, and as two before the next one.
func confirmWithin(apply, revoke bvclock.Duration) bvclock.Duration {
	limit := 2*stateWait(apply) + lateAnswer
	if revoke > 0 {
		limit = min(limit, bvclock.Duration(borrowShare*float64(revoke)))
	}
	return limit
}

// borrowRoutes takes the desired state, and how long ago the store confirmed it,
// from the first of some hosts that knows it. It reports whether one did.
func (router *Router) borrowRoutes(ctx context.Context, hosts []string) bool {
	_, found := router.routesFrom(ctx, hosts, relayTimeout)
	return found
}

// routesOf does the same in place of a question to the store. It reports whether the state
// is as new as by such a question.
func (router *Router) routesOf(ctx context.Context, hosts []string) bool {
	age, found := router.routesFrom(ctx, hosts, sourceTimeout)
	return found && age <= confirmWithin(router.settings.Apply, router.settings.Revoke)
}

// routesFrom returns how long ago the store confirmed what the first of some hosts gave.
func (router *Router) routesFrom(ctx context.Context, hosts []string, limit bvclock.Duration) (age bvclock.Duration, found bool) {
	for _, address := range hosts {
		asked := router.clock.Now()
		confirmed, err := fetchRoutes(ctx, address, router.version(), limit)
		if err != nil {
			router.log.WithError(err).Debug("desired state not read from another host")
			continue
		}
		if confirmed.table != nil {
			router.apply(confirmed.table)
		}
		// The other host's age is of a moment after the question, so that time spent
		// on the way, or suspended, makes the state older here and never younger.
		router.state.noteConfirmed(asked.Add(-confirmed.age))
		return confirmed.age, true
	}
	return 0, false
}

// version returns the version in force here, or 0 before the first.
func (router *Router) version() int64 {
	if table := router.state.Current(); table != nil {
		return table.Version()
	}
	return 0
}

// confirmedState is a desired state as another host knows it.
type confirmedState struct {
	age   bvclock.Duration // since the store confirmed it
	table *bvroute.Table   // nil where it is no newer than what the asker has
}

// relayRoutes gives the desired state that is in force here, unless the asker has
// it, and how long ago the store confirmed it.
func (router *Router) relayRoutes(writer http.ResponseWriter, request *http.Request) {
	table, age, known := router.state.Confirmed()
	if table == nil || !known {
		bvplatform.WriteAnswer(writer, nil, bvplatform.ErrUnavailable)
		return
	}
	answer := struct {
		Age  bvclock.Duration
		Rows *bvroute.Rows `json:",omitempty"`
	}{Age: age}
	after, err := strconv.ParseInt(request.URL.Query().Get("after"), 10, 64)
	if err != nil || after < table.Version() {
		rows := table.Rows()
		answer.Rows = &rows
	}
	bvplatform.WriteAnswer(writer, answer, nil)
}

// fetchRoutes reads from another host the desired state, if it is newer than a
// version, and its age.
func fetchRoutes(ctx context.Context, address string, after int64, limit bvclock.Duration) (confirmedState, error) {
	var answer struct {
		Age  bvclock.Duration
		Rows *bvroute.Rows
	}
	_, err := fetch(ctx, address, "/routes?after="+strconv.FormatInt(after, 10), limit, &answer)
	if err != nil {
		return confirmedState{}, err
	}
	confirmed := confirmedState{age: answer.Age}
	if answer.Rows != nil {
		confirmed.table, err = bvroute.NewTable(*answer.Rows)
	}
	return confirmed, err
}
